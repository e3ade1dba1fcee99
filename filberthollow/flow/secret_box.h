// Authenticated encryption of short secrets with a shared key, using
// AES-128-GCM from OpenSSL.
//
//   std::string encrypted = EncryptSecret(key.secret, text);
//   std::optional<std::string> text = DecryptSecret(key.secret, encrypted);
#ifndef FILBERTHOLLOW_FLOW_SECRET_BOX_H_
#define FILBERTHOLLOW_FLOW_SECRET_BOX_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filberthollow::flow {

// EncryptionKey is an AES-128 key.
using EncryptionKey = std::array<uint8_t, 16>;

// EncryptSecret returns a random nonce, the ciphertext and the authentication
// tag, concatenated; empty if the system provides no random bytes.
std::string EncryptSecret(const EncryptionKey& key, std::string_view text);
// DecryptSecret returns the plaintext, or nullopt if `encrypted` was altered or
// encrypted with another key.
std::optional<std::string> DecryptSecret(const EncryptionKey& key,
                                         std::string_view encrypted);

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_SECRET_BOX_H_
