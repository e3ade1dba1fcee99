// Encryption of short secrets with a shared key: AES-128-GCM through OpenSSL.
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

using EncryptionKey = std::array<uint8_t, 16>;

// EncryptSecret returns a random nonce, the ciphertext and its tag; empty if
// the system has no random numbers.
std::string EncryptSecret(const EncryptionKey& key, std::string_view text);
// DecryptSecret returns the text, or nothing if the encrypted was altered or
// sealed with another key.
std::optional<std::string> DecryptSecret(const EncryptionKey& key,
                                         std::string_view encrypted);

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_SECRET_BOX_H_
