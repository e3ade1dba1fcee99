// The packet head of the platform: 32 bytes, little-endian.
//
//   PlatformPacketFormat format;
//   std::optional<flow::PacketHeader> head = format.Read(datagram);
#ifndef FILBERTHOLLOW_PLATFORM_PACKET_FORMAT_H_
#define FILBERTHOLLOW_PLATFORM_PACKET_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/flow/packet.h"

namespace filberthollow::platform {

class PlatformPacketFormat final : public flow::PacketFormat {
 public:
  // kHeadBytes is the length of the head; data follows it.
  static constexpr size_t kHeadBytes = 32;

  std::optional<flow::PacketHeader> Read(std::string_view bytes) const override;
  std::string MakeReset(const flow::FlowEnds& flow,
                        uint32_t sequence) const override;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_PACKET_FORMAT_H_
