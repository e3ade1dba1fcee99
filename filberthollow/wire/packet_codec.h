// Encoding of the messages between balancers and agents in pass-through mode.
// The datagrams stay inside the fleet's own network and are not sealed.
//
//   std::string datagram = EncodePacketMessage(Forward{...});
//   Decoded<PacketMessage> message = DecodePacketMessage(bytes);
#ifndef FILBERTHOLLOW_WIRE_PACKET_CODEC_H_
#define FILBERTHOLLOW_WIRE_PACKET_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/wire/codec.h"

namespace filberthollow::wire {

using PacketMessage = std::variant<decision::flows::Forward,
                                   decision::flows::Locate,
                                   decision::flows::Located,
                                   decision::flows::FlowAnswer,
                                   decision::flows::UpstreamReport,
                                   decision::flows::BalancerHello,
                                   decision::flows::KnownAgents>;

// kMaxHelloBalancers is the maximum number of balancers in a BalancerHello, so
// that it fits one datagram. The encoder truncates longer lists.
inline constexpr size_t kMaxHelloBalancers = 128;

std::string EncodePacketMessage(const PacketMessage& message);
Decoded<PacketMessage> DecodePacketMessage(std::string_view datagram);

}  // namespace filberthollow::wire

#endif  // FILBERTHOLLOW_WIRE_PACKET_CODEC_H_
