#include "filberthollow/wire/sealed.h"

#include <array>
#include <cstdint>
#include <cstring>

namespace filberthollow::wire {
namespace {

using SealWords = std::array<uint64_t, 2>;
static_assert(sizeof(SealWords) == kSealBytes);

}  // namespace

std::string SealPayload(std::string_view payload, const flow::KeyRing& keys) {
  SealWords seal{keys.signing_epoch(), keys.ComputeMac(payload)};
  std::string datagram(kSealBytes + payload.size(), '\0');
  std::memcpy(datagram.data(), seal.data(), kSealBytes);
  std::memcpy(datagram.data() + kSealBytes, payload.data(), payload.size());
  return datagram;
}

std::optional<std::string_view> OpenSealed(std::string_view datagram,
                                           const flow::KeyRing& keys) {
  if (datagram.size() < kSealBytes) {
    return std::nullopt;
  }
  SealWords seal;
  std::memcpy(seal.data(), datagram.data(), kSealBytes);
  std::string_view payload = datagram.substr(kSealBytes);
  auto epoch = static_cast<uint32_t>(seal[0]);
  if (seal[0] != epoch || !keys.VerifyMac(payload, epoch, seal[1])) {
    return std::nullopt;
  }
  return payload;
}

}  // namespace filberthollow::wire
