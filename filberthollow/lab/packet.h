// The packets of the lab: headers as values, and what the modelled ends tell
// each other. There is no codec: a packet's bytes are those of its value.
#ifndef FILBERTHOLLOW_LAB_PACKET_H_
#define FILBERTHOLLOW_LAB_PACKET_H_

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "filberthollow/flow/packet.h"

namespace filberthollow::lab {

struct LabPacket {
  flow::PacketHeader header;
  uint64_t request = 0;  // the request that it carries or answers; 0: none
  uint32_t work_ms = 0;  // of that request
  bool refused = false;  // the upstream says that it did not run the request
  friend bool operator==(const LabPacket&, const LabPacket&) = default;
};

// Returns the bytes of a packet, for messages between balancers and agents.
inline std::string PackBytes(const LabPacket& packet) {
  return {reinterpret_cast<const char*>(&packet), sizeof(packet)};
}

inline LabPacket UnpackBytes(std::string_view bytes) {
  LabPacket packet;
  std::memcpy(static_cast<void*>(&packet), bytes.data(), sizeof(packet));
  return packet;
}

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_PACKET_H_
