// Sealed datagrams: a payload, not encrypted, with a message authentication
// code (MAC) that proves that the sender belongs to the same fleet.
//
//   std::string datagram = SealPayload(payload, keys);
//   std::optional<std::string_view> payload = OpenSealed(datagram, keys);
#ifndef FILBERTHOLLOW_WIRE_SEALED_H_
#define FILBERTHOLLOW_WIRE_SEALED_H_

#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/flow/token.h"

namespace filberthollow::wire {

// kSealBytes is the size of a seal: key epoch and MAC, each padded to a 64-bit
// word so that the payload stays aligned.
inline constexpr size_t kSealBytes = 16;

// SealPayload returns the seal followed by the payload.
std::string SealPayload(std::string_view payload, const flow::KeyRing& keys);
// OpenSealed returns the payload, or nullopt if the seal is invalid. The
// result points into `datagram`.
std::optional<std::string_view> OpenSealed(std::string_view datagram,
                                           const flow::KeyRing& keys);

}  // namespace filberthollow::wire

#endif  // FILBERTHOLLOW_WIRE_SEALED_H_
