#include "filberthollow/platform/packet_format.h"

#include <concepts>

namespace filberthollow::platform {
namespace {

// Offsets of the fields in the head.
constexpr size_t kSequenceAt = 0;
constexpr size_t kAcknowledgedAt = 4;
constexpr size_t kSourceAt = 8;
constexpr size_t kDestinationAt = 12;
constexpr size_t kDestinationPortAt = 16;
constexpr size_t kSourcePortAt = 18;
constexpr size_t kDataBytesAt = 20;
constexpr size_t kFlagsAt = 26;

enum Flag : uint8_t {
  kAcknowledges = 1,
  kResets = 8,
  kFinishes = 16,
  kOpens = 32,
  kBounced = 128,
};

template <std::unsigned_integral T>
T Load(std::string_view bytes, size_t at) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(T{static_cast<uint8_t>(bytes[at + i])} << (8 * i));
  }
  return value;
}

template <std::unsigned_integral T>
void Store(std::string& bytes, size_t at, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    bytes[at + i] = static_cast<char>(value >> (8 * i));
  }
}

}  // namespace

std::optional<flow::PacketHeader> PlatformPacketFormat::Read(
    std::string_view bytes) const {
  if (bytes.size() < kHeadBytes) {
    return std::nullopt;
  }
  auto flags = Load<uint8_t>(bytes, kFlagsAt);
  return flow::PacketHeader{
      .source = {Load<uint32_t>(bytes, kSourceAt),
                 Load<uint16_t>(bytes, kSourcePortAt)},
      .destination = {Load<uint32_t>(bytes, kDestinationAt),
                      Load<uint16_t>(bytes, kDestinationPortAt)},
      .sequence = Load<uint32_t>(bytes, kSequenceAt),
      .acknowledged = Load<uint32_t>(bytes, kAcknowledgedAt),
      .data_bytes = Load<uint16_t>(bytes, kDataBytesAt),
      .opens = (flags & kOpens) != 0,
      .acknowledges = (flags & kAcknowledges) != 0,
      .finishes = (flags & kFinishes) != 0,
      .resets = (flags & kResets) != 0,
      .bounced = (flags & kBounced) != 0};
}

std::string PlatformPacketFormat::MakeReset(const flow::FlowEnds& flow,
                                            uint32_t sequence) const {
  std::string bytes(kHeadBytes, '\0');
  Store(bytes, kSequenceAt, sequence);
  Store(bytes, kSourceAt, flow.route.ip);
  Store(bytes, kDestinationAt, flow.caller.ip);
  Store(bytes, kDestinationPortAt, flow.caller.port);
  Store(bytes, kSourcePortAt, flow.route.port);
  Store(bytes, kFlagsAt, uint8_t{kResets});
  return bytes;
}

}  // namespace filberthollow::platform
