// Flow tokens and the keys that authenticate them.
//
// A token names the service, the target incarnation, the agent's address and
// the flow. It is handed to the caller when the flow opens and returns with
// every message, so that any balancer can relay the message without having
// heard of the flow. The keyed hash covers the caller's address too: a token
// is of no use to anyone else, and a valid token proves that the caller
// receives datagrams at that address.
//
//   FlowToken token = keys.Sign(unsigned_token, caller);
//   if (!keys.Verify(token, caller)) { drop; }
#ifndef FILBERTHOLLOW_FLOW_TOKEN_H_
#define FILBERTHOLLOW_FLOW_TOKEN_H_

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"

namespace filberthollow::flow {

// FlowToken is opaque to callers.
struct FlowToken {
  base::ServiceId service{};
  base::Incarnation incarnation{};
  base::Address agent;
  base::FlowId flow{};
  uint32_t epoch = 0;  // the key that signed it
  uint64_t mac = 0;
  friend auto operator<=>(const FlowToken&, const FlowToken&) = default;
};

// Key is the secret of one epoch. It is never printed.
struct Key {
  uint32_t epoch = 0;
  std::array<uint8_t, 16> secret{};
  base::Millis active_from;  // calendar time; used for signing from then on
  friend auto operator<=>(const Key&, const Key&) = default;
};

// ParseSecret reads 32 hex digits.
std::optional<std::array<uint8_t, 16>> ParseSecret(std::string_view hex);

// KeyRing holds the keys that are valid now. It signs with the newest active
// one and accepts every epoch it holds. A new key becomes active some time
// after it was published, when everyone has it, so that a rotation cuts no
// flow.
class KeyRing {
 public:
  KeyRing() = default;
  // `wall_now` is the calendar time that decides which keys are active.
  explicit KeyRing(const std::vector<Key>& keys,
                   base::Millis wall_now = base::kNever);
  friend bool operator==(const KeyRing&, const KeyRing&) = default;

  // Returns whether there is no key at all.
  bool empty() const { return m_keys.empty(); }
  // Returns the newest epoch, active or not; 0 if there is no key.
  uint32_t newest_epoch() const;
  // Returns the epoch that Sign() and ComputeMac() use.
  uint32_t signing_epoch() const { return m_signing_epoch; }
  // Returns the calendar time at which a newer key than the signing one becomes
  // active; kNever if there is none.
  base::Millis NextActivation() const;
  // Returns the same keys as they are to be used at `wall_now`.
  KeyRing At(base::Millis wall_now) const;

  // Sign returns `token` with its epoch and keyed hash filled in.
  FlowToken Sign(FlowToken token, base::Address caller) const;
  // Verify returns whether the token was signed for this caller.
  bool Verify(const FlowToken& token, base::Address caller) const;

  // ComputeMac returns the keyed hash of a datagram between processes.
  uint64_t ComputeMac(std::string_view bytes) const;
  // VerifyMac returns whether `mac` seals `bytes` under the key of `epoch`.
  bool VerifyMac(std::string_view bytes, uint32_t epoch, uint64_t mac) const;

 private:
  std::map<uint32_t, Key> m_keys;
  uint32_t m_signing_epoch = 0;
};

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_TOKEN_H_
