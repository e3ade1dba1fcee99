#include "filberthollow/platform/packet_format.h"

#include <concepts>

namespace filberthollow::platform {
namespace {

// Byte offsets of the header's fields.
constexpr size_t kSequenceOffset = 0;
constexpr size_t kAcknowledgedOffset = 4;
constexpr size_t kSourceOffset = 8;
constexpr size_t kDestinationOffset = 12;
constexpr size_t kDestinationPortOffset = 16;
constexpr size_t kSourcePortOffset = 18;
constexpr size_t kDataBytesOffset = 20;
constexpr size_t kFlagsOffset = 26;

// Bits of the header's flag byte.
enum Flag : uint8_t {
  kAcknowledges = 1,
  kResets = 8,
  kFinishes = 16,
  kOpens = 32,
  kBounced = 128,
};

template <std::unsigned_integral T>
T LoadLittleEndian(std::string_view bytes, size_t offset) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |=
        static_cast<T>(T{static_cast<uint8_t>(bytes[offset + i])} << (8 * i));
  }
  return value;
}

template <std::unsigned_integral T>
void StoreLittleEndian(std::string& bytes, size_t offset, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    bytes[offset + i] = static_cast<char>(value >> (8 * i));
  }
}

}  // namespace

std::optional<flow::PacketHeader> PlatformPacketFormat::Read(
    std::string_view bytes) const {
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  auto flags = LoadLittleEndian<uint8_t>(bytes, kFlagsOffset);
  return flow::PacketHeader{
      .source = {LoadLittleEndian<uint32_t>(bytes, kSourceOffset),
                 LoadLittleEndian<uint16_t>(bytes, kSourcePortOffset)},
      .destination = {LoadLittleEndian<uint32_t>(bytes, kDestinationOffset),
                      LoadLittleEndian<uint16_t>(bytes,
                                                 kDestinationPortOffset)},
      .sequence = LoadLittleEndian<uint32_t>(bytes, kSequenceOffset),
      .acknowledged = LoadLittleEndian<uint32_t>(bytes, kAcknowledgedOffset),
      .data_bytes = LoadLittleEndian<uint16_t>(bytes, kDataBytesOffset),
      .opens = (flags & kOpens) != 0,
      .acknowledges = (flags & kAcknowledges) != 0,
      .finishes = (flags & kFinishes) != 0,
      .resets = (flags & kResets) != 0,
      .bounced = (flags & kBounced) != 0};
}

std::string PlatformPacketFormat::MakeReset(const flow::FlowEnds& flow,
                                            uint32_t sequence) const {
  std::string bytes(kHeaderBytes, '\0');
  StoreLittleEndian(bytes, kSequenceOffset, sequence);
  StoreLittleEndian(bytes, kSourceOffset, flow.route.ip);
  StoreLittleEndian(bytes, kDestinationOffset, flow.caller.ip);
  StoreLittleEndian(bytes, kDestinationPortOffset, flow.caller.port);
  StoreLittleEndian(bytes, kSourcePortOffset, flow.route.port);
  StoreLittleEndian(bytes, kFlagsOffset, uint8_t{kResets});
  return bytes;
}

}  // namespace filberthollow::platform
