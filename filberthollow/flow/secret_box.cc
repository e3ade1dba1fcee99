#include "filberthollow/flow/secret_box.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <memory>

namespace filberthollow::flow {
namespace {

constexpr size_t kNonceBytes = 12;
constexpr size_t kTagBytes = 16;

using Context = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

Context NewContext() {
  return {EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free};
}

unsigned char* Bytes(std::string& text, size_t offset) {
  return reinterpret_cast<unsigned char*>(text.data()) + offset;
}

const unsigned char* Bytes(std::string_view text, size_t offset) {
  return reinterpret_cast<const unsigned char*>(text.data()) + offset;
}

}  // namespace

std::string EncryptSecret(const EncryptionKey& key, std::string_view text) {
  std::string encrypted(kNonceBytes + text.size() + kTagBytes, '\0');
  if (RAND_bytes(Bytes(encrypted, 0), kNonceBytes) != 1) {
    return "";
  }
  Context context = NewContext();
  int length = 0;
  EVP_EncryptInit_ex(context.get(), EVP_aes_128_gcm(), nullptr, key.data(),
                     Bytes(encrypted, 0));
  EVP_EncryptUpdate(context.get(), Bytes(encrypted, kNonceBytes), &length,
                    Bytes(text, 0), static_cast<int>(text.size()));
  EVP_EncryptFinal_ex(context.get(),
                      Bytes(encrypted, kNonceBytes + text.size()), &length);
  EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, kTagBytes,
                      Bytes(encrypted, kNonceBytes + text.size()));
  return encrypted;
}

std::optional<std::string> DecryptSecret(const EncryptionKey& key,
                                         std::string_view encrypted) {
  if (encrypted.size() < kNonceBytes + kTagBytes) {
    return std::nullopt;
  }
  size_t size = encrypted.size() - kNonceBytes - kTagBytes;
  std::string text(size, '\0');
  std::string tag(encrypted.substr(kNonceBytes + size));
  Context context = NewContext();
  int length = 0;
  EVP_DecryptInit_ex(context.get(), EVP_aes_128_gcm(), nullptr, key.data(),
                     Bytes(encrypted, 0));
  EVP_DecryptUpdate(context.get(), Bytes(text, 0), &length,
                    Bytes(encrypted, kNonceBytes), static_cast<int>(size));
  EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, kTagBytes,
                      Bytes(tag, 0));
  unsigned char unused = 0;
  if (EVP_DecryptFinal_ex(context.get(), &unused, &length) != 1) {
    return std::nullopt;
  }
  return text;
}

}  // namespace filberthollow::flow
