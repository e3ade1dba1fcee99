#include "filberthollow/flow/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <memory>

namespace filberthollow::flow {
namespace {

constexpr size_t kMacBytes = 8;
constexpr size_t kHexPerByte = 2;

// SipHasher computes SipHash-2-4 (Aumasson and Bernstein, "SipHash: a fast
// short-input PRF", 2012) using OpenSSL. Fetching the algorithm is slow, so
// each thread keeps one instance with its context.
class SipHasher {
 public:
  SipHasher()
      : m_mac(EVP_MAC_fetch(nullptr, "SIPHASH", nullptr), &EVP_MAC_free),
        m_context(EVP_MAC_CTX_new(m_mac.get()), &EVP_MAC_CTX_free) {}

  uint64_t Hash(const Key& key, std::string_view bytes) {
    size_t mac_bytes = kMacBytes;
    std::array<OSSL_PARAM, 2> parameters{
        OSSL_PARAM_construct_size_t("size", &mac_bytes),
        OSSL_PARAM_construct_end()};
    EVP_MAC_init(m_context.get(), key.secret.data(), key.secret.size(),
                 parameters.data());
    EVP_MAC_update(m_context.get(),
                   reinterpret_cast<const unsigned char*>(bytes.data()),
                   bytes.size());
    std::array<unsigned char, kMacBytes> out{};
    size_t written = 0;
    EVP_MAC_final(m_context.get(), out.data(), &written, out.size());
    uint64_t mac = 0;
    std::memcpy(&mac, out.data(), sizeof(mac));
    return mac;
  }

 private:
  std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> m_mac;
  std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> m_context;
};

uint64_t SipHashMac(const Key& key, std::string_view bytes) {
  thread_local SipHasher hasher;
  return hasher.Hash(key, bytes);
}

// The input of a token's MAC: all fields of the token except the MAC itself,
// and the caller's address.
using TokenWords = std::array<uint64_t, 6>;

TokenWords WordsOf(const FlowToken& token, base::Address caller) {
  return {base::Value(token.service),
          base::Value(token.incarnation),
          (uint64_t{token.agent.ip} << 16) | token.agent.port,
          base::Value(token.flow),
          token.epoch,
          (uint64_t{caller.ip} << 16) | caller.port};
}

std::string_view BytesOf(const TokenWords& words) {
  return {reinterpret_cast<const char*>(words.data()), sizeof(words)};
}

// Compares in constant time, so that timing reveals nothing about a valid MAC.
bool MacsEqual(uint64_t a, uint64_t b) {
  return CRYPTO_memcmp(&a, &b, sizeof(a)) == 0;
}

}  // namespace

std::optional<std::array<uint8_t, 16>> ParseSecret(std::string_view hex) {
  std::array<uint8_t, 16> secret{};
  if (hex.size() != secret.size() * kHexPerByte) {
    return std::nullopt;
  }
  for (size_t i = 0; i < secret.size(); ++i) {
    const char* start = hex.data() + i * kHexPerByte;
    const char* end = start + kHexPerByte;
    auto [stop, error] = std::from_chars(start, end, secret.at(i), 16);
    if (error != std::errc{} || stop != end) {
      return std::nullopt;
    }
  }
  return secret;
}

KeyRing::KeyRing(const std::vector<Key>& keys, base::Millis wall_now) {
  for (const Key& key : keys) {
    m_keys.emplace(key.epoch, key);
  }
  // If no key is active yet, the oldest one signs.
  m_signing_epoch = m_keys.empty() ? 0 : m_keys.begin()->first;
  for (const auto& [epoch, key] : m_keys) {
    if (key.active_from <= wall_now) {
      m_signing_epoch = epoch;
    }
  }
}

base::Millis KeyRing::NextActivation() const {
  base::Millis next = base::kNever;
  for (const auto& [epoch, key] : m_keys) {
    if (epoch > m_signing_epoch) {
      next = std::min(next, key.active_from);
    }
  }
  return next;
}

KeyRing KeyRing::At(base::Millis wall_now) const {
  std::vector<Key> keys;
  for (const auto& [epoch, key] : m_keys) {
    keys.push_back(key);
  }
  return KeyRing(keys, wall_now);
}

uint32_t KeyRing::newest_epoch() const {
  return m_keys.empty() ? 0 : m_keys.rbegin()->first;
}

FlowToken KeyRing::Sign(FlowToken token, base::Address caller) const {
  token.epoch = m_signing_epoch;
  token.mac = ComputeMac(BytesOf(WordsOf(token, caller)));
  return token;
}

bool KeyRing::Verify(const FlowToken& token, base::Address caller) const {
  return VerifyMac(BytesOf(WordsOf(token, caller)), token.epoch, token.mac);
}

uint64_t KeyRing::ComputeMac(std::string_view bytes) const {
  return m_keys.empty() ? 0 : SipHashMac(m_keys.at(m_signing_epoch), bytes);
}

bool KeyRing::VerifyMac(std::string_view bytes,
                        uint32_t epoch,
                        uint64_t mac) const {
  auto key = m_keys.find(epoch);
  return key != m_keys.end() && MacsEqual(SipHashMac(key->second, bytes), mac);
}

}  // namespace filberthollow::flow
