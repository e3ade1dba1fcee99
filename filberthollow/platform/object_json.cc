#include "filberthollow/platform/object_json.h"

#include <algorithm>

namespace filberthollow::platform {

using nlohmann::json;

const json* FindField(const json& in, const char* name) {
  if (!in.is_object()) {
    return nullptr;
  }
  auto field = in.find(name);
  return field == in.end() ? nullptr : &*field;
}

const json::array_t& ArrayAt(const json& body, const char* name) {
  static const json::array_t empty;
  const json& field = body.at(name);
  return field.is_null() ? empty : field.get_ref<const json::array_t&>();
}

uint64_t FindRevision(const json& object) {
  const json* meta = FindField(object, "meta");
  const json* revision =
      meta == nullptr ? nullptr : FindField(*meta, "revision");
  if (revision == nullptr || !revision->is_number_unsigned()) {
    return 0;
  }
  uint64_t number = revision->get<uint64_t>();
  return number < kGenerationStride ? number : 0;
}

std::optional<StoredObject> ReadObject(const json& in,
                                       uint64_t answer_version) {
  const json* meta = FindField(in, "meta");
  const json* name = meta == nullptr ? nullptr : FindField(*meta, "name");
  if (name == nullptr || !name->is_string() ||
      name->get_ref<const std::string&>().empty()) {
    return std::nullopt;
  }
  uint64_t revision = FindRevision(in);
  const json* spec = FindField(in, "spec");
  return StoredObject{
      .name = name->get<std::string>(),
      .version = revision == 0
                     ? answer_version
                     : VersionOf(GenerationOf(answer_version), revision),
      .value = spec == nullptr ? "null" : spec->dump()};
}

std::optional<StoredObject> ReadChange(const json& event,
                                       uint64_t answer_version) {
  const json* in = FindField(event, "object");
  const json* removed = FindField(event, "removed");
  if (in == nullptr || (removed != nullptr && !removed->is_boolean())) {
    return std::nullopt;
  }
  std::optional<StoredObject> object = ReadObject(*in, answer_version);
  if (object && removed != nullptr && removed->get<bool>()) {
    object->value.reset();
    object->version = std::max(object->version, answer_version);
  }
  return object;
}

}  // namespace filberthollow::platform
