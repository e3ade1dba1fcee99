// Reads the objects in the JSON answers of the platform's object API. Objects
// may be written by others, so any part of them may be missing or of another
// type.
//
//   for (const json& item : ArrayAt(body, "items")) {
//     if (std::optional<StoredObject> object = ReadObject(item, version)) ...
//   }
#ifndef FILBERTHOLLOW_PLATFORM_OBJECT_JSON_H_
#define FILBERTHOLLOW_PLATFORM_OBJECT_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "filberthollow/platform/object_store.h"

namespace filberthollow::platform {

// FindField returns a field of a JSON object, or null if `in` has no such field
// or is of another type.
const nlohmann::json* FindField(const nlohmann::json& in, const char* name);

// ArrayAt returns the array that is the field `name` of an answer; null stands
// for an empty one. Throws json::exception if there is none.
const nlohmann::json::array_t& ArrayAt(const nlohmann::json& body,
                                       const char* name);

// FindRevision returns the revision in the metadata of an object, or 0 if it is
// missing or not a revision.
uint64_t FindRevision(const nlohmann::json& object);

// ReadObject reads an object of an answer that covers the store up to the
// version `answer_version`, which stands for a missing version. The result has
// the platform's name; its value is "null" if there is no content. Returns
// nullopt if the object has no readable name.
std::optional<StoredObject> ReadObject(const nlohmann::json& in,
                                       uint64_t answer_version);

// ReadChange reads an event of the answer to a watch, as ReadObject() does. A
// removed object has no value.
std::optional<StoredObject> ReadChange(const nlohmann::json& event,
                                       uint64_t answer_version);

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_OBJECT_JSON_H_
