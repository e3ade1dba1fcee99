// Tells which of two versions of a configuration object was written on top of
// the other, from their contents.
//
// Within one generation of the store (see platform::VersionOf()), versions tell
// this. A store that came back from a copy gives older content a version of a
// later generation, so that contents must be compared.
//
//   if (CompareObjects(read, held) == ContentOrder::kNewer) { held = read; }
#ifndef FILBERTHOLLOW_CONFIG_CONTENT_ORDER_H_
#define FILBERTHOLLOW_CONFIG_CONTENT_ORDER_H_

#include <cstdint>
#include <string_view>

#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

enum class ContentOrder : uint8_t {
  kSame,
  kOlder,
  kNewer,
  kUnrelated,  // neither was written on top of the other, or it can't be told
};

// Compares two texts of the object `name`; the result says what `text` is, seen
// from `held_text`. Objects of the settings tree are ordered by their
// operations (see operator/tree_editor.h), the keys by their epochs. Equal
// texts of other objects are the same, different ones are unrelated.
ContentOrder CompareContent(std::string_view name,
                            std::string_view text,
                            std::string_view held_text);

// Compares two versions of one object; the result says what `object` is, seen
// from `held`, and is never kUnrelated. Versions of one generation are ordered
// by their numbers. Versions of two generations are ordered by their contents,
// and by generation if these are unrelated. A deletion is newer than an object
// of a later generation that can come from a copy made before the deletion.
ContentOrder CompareObjects(const platform::StoredObject& object,
                            const platform::StoredObject& held);

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_CONTENT_ORDER_H_
