// Encoding of control path datagrams: heartbeats, their acknowledgements and
// gossip. All are sealed.
//
//   std::string datagram = EncodeControl(Heartbeat{...}, keys);
//   Decoded<ControlMessage> message = DecodeControl(bytes, keys);
#ifndef FILBERTHOLLOW_WIRE_CONTROL_CODEC_H_
#define FILBERTHOLLOW_WIRE_CONTROL_CODEC_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "filberthollow/decision/membership/gossip.h"
#include "filberthollow/settings/fields.h"
#include "filberthollow/wire/codec.h"

namespace filberthollow::wire {

// Heartbeat reports the liveness and state of a target to its observer.
struct Heartbeat {
  decision::membership::MemberRecord record;
  uint64_t settings_revision = 0;  // revision of the agent's active settings
  std::string data_centre;
  std::string target;
  uint16_t admin_port = 0;
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// HeartbeatAck acknowledges a heartbeat and carries settings that the agent
// does not have yet.
struct HeartbeatAck {
  decision::membership::MemberId member{};
  base::Incarnation known_incarnation{};  // newest known to the observer
  bool suspected = false;  // to be refuted with a higher sequence
  uint32_t key_epoch = 0;
  base::Millis interval;  // until the next heartbeat
  uint64_t settings_revision = 0;
  std::optional<settings::Settings> settings;  // unset if the agent has them
  friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

using ControlMessage =
    std::variant<Heartbeat, HeartbeatAck, decision::membership::GossipMessage>;

std::string EncodeControl(const ControlMessage& message,
                          const flow::KeyRing& keys);
Decoded<ControlMessage> DecodeControl(std::string_view datagram,
                                      const flow::KeyRing& keys);

}  // namespace filberthollow::wire

#endif  // FILBERTHOLLOW_WIRE_CONTROL_CODEC_H_
