// PlatformPacketFormat reads and builds packets with the platform's header of
// 32 bytes, whose fields are little-endian.
//
//   PlatformPacketFormat format;
//   std::optional<flow::PacketHeader> header = format.Read(datagram);
#ifndef FILBERTHOLLOW_PLATFORM_PACKET_FORMAT_H_
#define FILBERTHOLLOW_PLATFORM_PACKET_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/flow/packet.h"

namespace filberthollow::platform {

// PlatformPacketFormat is stateless, so that any thread may use it.
class PlatformPacketFormat final : public flow::PacketFormat {
 public:
  // kHeaderBytes is the length of the header; data follows it.
  static constexpr size_t kHeaderBytes = 32;

  // Read parses the header. Returns nullopt if there are fewer than
  // kHeaderBytes.
  std::optional<flow::PacketHeader> Read(std::string_view bytes) const override;
  // Reset returns a packet without data that resets a flow at its caller.
  std::string MakeReset(const flow::FlowEnds& flow,
                        uint32_t sequence) const override;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_PACKET_FORMAT_H_
