#include "filberthollow/passthrough/peer_config.h"

#include <zlib.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace filberthollow::passthrough {
namespace {

using nlohmann::json;

constexpr const char* kStep = "read configuration";
// Size of the header before the compressed data: the length of the uncompressed
// text, little-endian.
constexpr size_t kLengthBytes = 4;

std::string ToJsonText(const std::vector<platform::StoredObject>& objects) {
  json list = json::array();
  for (const platform::StoredObject& object : objects) {
    list.push_back({{"name", object.name},
                    {"version", object.version},
                    {"value", object.value ? json(*object.value) : json()}});
  }
  return list.dump();
}

base::Result<std::string> Inflate(std::string_view bytes, base::Address peer) {
  if (bytes.size() < kLengthBytes) {
    return base::MakeError(std::errc::protocol_error, kStep, peer.Text(),
                           "length header is truncated");
  }
  size_t length = 0;
  for (size_t i = kLengthBytes; i-- > 0;) {
    length = length << 8 | static_cast<uint8_t>(bytes[i]);
  }
  if (length > kMaxConfigBytes) {
    return base::MakeError(std::errc::message_size, kStep, peer.Text());
  }
  std::string text(length, '\0');
  uLongf inflated = length;
  bytes.remove_prefix(kLengthBytes);
  int outcome = uncompress(reinterpret_cast<Bytef*>(text.data()), &inflated,
                           reinterpret_cast<const Bytef*>(bytes.data()),
                           static_cast<uLong>(bytes.size()));
  if (outcome != Z_OK || inflated != length) {
    return base::MakeError(std::errc::protocol_error, kStep, peer.Text(),
                           "compressed data is corrupted");
  }
  return text;
}

}  // namespace

std::string EncodeObjects(const std::vector<platform::StoredObject>& objects) {
  std::string text = ToJsonText(objects);
  std::string bytes(kLengthBytes + compressBound(text.size()), '\0');
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>(text.size() >> (8 * i));
  }
  uLongf deflated = bytes.size() - kLengthBytes;
  // Fails only if memory runs out, since there is room for compressBound()
  // bytes.
  compress2(reinterpret_cast<Bytef*>(bytes.data() + kLengthBytes), &deflated,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            Z_BEST_SPEED);
  bytes.resize(kLengthBytes + deflated);
  return bytes;
}

base::Result<std::vector<platform::StoredObject>> DecodeObjects(
    std::string_view bytes,
    base::Address peer) {
  auto text = Inflate(bytes, peer);
  if (!text) {
    return text.error();
  }
  std::vector<platform::StoredObject> objects;
  try {
    for (const json& item : json::parse(*text)) {
      platform::StoredObject object{item.at("name").get<std::string>(),
                                    item.at("version").get<uint64_t>(),
                                    {}};
      if (!item.at("value").is_null()) {
        object.value = item.at("value").get<std::string>();
      }
      objects.push_back(std::move(object));
    }
  } catch (const json::exception& error) {
    return base::MakeError(std::errc::protocol_error, kStep, peer.Text(),
                           error.what());
  }
  return objects;
}

}  // namespace filberthollow::passthrough
