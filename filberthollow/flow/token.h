// Flow tokens and the keys that authenticate them.
//
// A token names the service, the target incarnation, the agent's address and
// the flow. The caller receives it when the flow opens and sends it with every
// message, so that any balancer can relay the message without state about the
// flow. The message authentication code (MAC) also covers the caller's address:
// the token is useless from any other address, and a valid token proves that
// the caller receives datagrams at its address.
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

// FlowToken binds a flow to one target incarnation. It is opaque to callers.
struct FlowToken {
  base::ServiceId service{};
  base::Incarnation incarnation{};
  base::Address agent;
  base::FlowId flow{};
  uint32_t epoch = 0;  // of the key that signed the token
  uint64_t mac = 0;
  friend auto operator<=>(const FlowToken&, const FlowToken&) = default;
};

// Key is the secret of one epoch. It must never be logged or printed.
struct Key {
  uint32_t epoch = 0;
  std::array<uint8_t, 16> secret{};
  // Calendar time from which the key may be used for signing.
  base::Millis active_from;
  friend auto operator<=>(const Key&, const Key&) = default;
};

// ParseSecret parses a secret of exactly 32 hex digits; nullopt for other text.
std::optional<std::array<uint8_t, 16>> ParseSecret(std::string_view hex);

// KeyRing is an immutable set of valid keys. It signs with the newest active
// key and verifies with any key it holds. A new key becomes active some time
// after its publication, when all processes hold it, so that a key rotation
// breaks no flow.
class KeyRing {
 public:
  KeyRing() = default;
  // Keys whose `active_from` is not after the calendar time `wall_now` are
  // active.
  explicit KeyRing(const std::vector<Key>& keys,
                   base::Millis wall_now = base::kNever);
  friend bool operator==(const KeyRing&, const KeyRing&) = default;

  // Returns whether the ring holds no key.
  bool empty() const { return m_keys.empty(); }
  // Returns the newest epoch, whether active or not; 0 if there is no key.
  uint32_t newest_epoch() const;
  // Returns the epoch of the key that Sign() and ComputeMac() use; 0 if there
  // is no key.
  uint32_t signing_epoch() const { return m_signing_epoch; }
  // Returns the calendar time at which the next key newer than the signing key
  // becomes active; kNever if there is none.
  base::Millis NextActivation() const;
  // Returns a ring of the same keys with the signing key for `wall_now`.
  KeyRing At(base::Millis wall_now) const;

  // Sign returns `token` with epoch and MAC filled in, valid for `caller` only.
  FlowToken Sign(FlowToken token, base::Address caller) const;
  // Verify returns whether the token was signed for `caller` with a key of the
  // ring.
  bool Verify(const FlowToken& token, base::Address caller) const;

  // ComputeMac returns the MAC of `bytes` under the signing key; 0 if there is
  // no key. Also used for datagrams between processes.
  uint64_t ComputeMac(std::string_view bytes) const;
  // VerifyMac returns whether `mac` is the MAC of `bytes` under the key of
  // `epoch`; false if the ring holds no such key.
  bool VerifyMac(std::string_view bytes, uint32_t epoch, uint64_t mac) const;

 private:
  std::map<uint32_t, Key> m_keys;
  uint32_t m_signing_epoch = 0;
};

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_TOKEN_H_
