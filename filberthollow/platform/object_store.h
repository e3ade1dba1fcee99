// ObjectStore is the interface of the platform's object API: named objects with
// versions, conditional writes, and watches that wait for changes.
//
//   store.Write("config/keys", /*if_version=*/0, text,
//               [](const base::Result<WriteAnswer>& answer) { ... });
//   store.Watch({"config/", revision, kWatchWait},
//               [](const base::Result<WatchAnswer>& answer) { ... });
#ifndef FILBERTHOLLOW_PLATFORM_OBJECT_STORE_H_
#define FILBERTHOLLOW_PLATFORM_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/error.h"

namespace filberthollow::platform {

// Names of the objects in which balancers, agents and the operator's tool keep
// their data.
inline constexpr const char* kConfigPrefix = "config/";
inline constexpr const char* kKeysObject = "config/keys";
inline constexpr const char* kTreePrefix = "config/tree/";
inline constexpr const char* kRootObject = "config/tree/root";
inline constexpr const char* kServicePrefix = "config/tree/service/";
// kSnapshotObject holds the settings tree and the routes in one object; see
// settings/routes.h.
inline constexpr const char* kSnapshotObject = "config/tree/snapshot";
inline constexpr const char* kBootstrapPrefix = "bootstrap/";
// Below kEvacuationPrefix, the operator names the data centres that are
// evacuated.
inline constexpr const char* kEvacuationPrefix = "evacuations/";

// A store that comes back from a copy has lost its last changes and gives out
// their revisions again. Each time a new generation of the store begins.
// Versions contain the generation, so that they never decrease:
//
//   uint64_t version = VersionOf(/*generation=*/2, /*revision=*/57);
//   GenerationOf(version) == 2 && RevisionOf(version) == 57
//
// The text of a version stays readable: 2000000000057.
inline constexpr uint64_t kGenerationStride = 1'000'000'000'000;
constexpr uint64_t VersionOf(uint64_t generation, uint64_t revision) {
  return generation * kGenerationStride + revision;
}
constexpr uint64_t GenerationOf(uint64_t version) {
  return version / kGenerationStride;
}
constexpr uint64_t RevisionOf(uint64_t version) {
  return version % kGenerationStride;
}

// An object may contain a version that its author has given it. Such versions
// order above all versions of the store, so that processes that order an object
// by one kind and by the other agree on which is newer.
inline constexpr uint64_t kAuthorVersionBase = VersionOf(4000, 0);
constexpr uint64_t AuthorVersionOf(uint64_t author_version) {
  return kAuthorVersionBase + author_version;
}

// StoredObject is one version of an object. All objects of the store share one
// version counter, so versions also order the changes of different objects.
struct StoredObject {
  std::string name;
  uint64_t version = 0;
  // JSON text; nullopt if the object was deleted or does not exist.
  std::optional<std::string> value;
  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

// WatchQuery asks for the objects whose names start with `prefix` and that
// changed after a revision.
struct WatchQuery {
  std::string prefix;
  // Revision of the previous answer; 0 asks for all objects.
  uint64_t after_revision = 0;
  // If there is no such change yet, the platform answers upon the first one, at
  // the latest after this time.
  base::Millis wait;
  friend bool operator==(const WatchQuery&, const WatchQuery&) = default;
};

// WatchAnswer holds the changes up to `revision`.
struct WatchAnswer {
  // Version of the store that the answer covers; pass it as `after_revision` of
  // the next query.
  uint64_t revision = 0;
  std::vector<StoredObject> objects;
  // `objects` lists every existing object, so any other was deleted. This is
  // the case for a query after revision 0, and if the platform no longer has
  // the changes since the revision that was asked for, also since it is of an
  // earlier generation of the store.
  bool complete = false;
  // Number of objects or events that could not be read and are not among
  // `objects`.
  size_t unreadable = 0;
  friend bool operator==(const WatchAnswer&, const WatchAnswer&) = default;
};

// WriteAnswer is the outcome of a conditional write or deletion. A handler
// receives an error instead if the write is known not to have taken effect for
// another reason than a conflict, or if a conflict is known but the present
// version could not be read.
struct WriteAnswer {
  enum Kind : uint8_t {
    kWritten,   // `version` is the new version, or 0 if it was not reported
    kConflict,  // nothing was written; `version` is the present one, or 0 if
                // the object does not exist
    kUnknown,   // no answer or an unexpected one: may have taken effect
  };
  Kind kind = kUnknown;
  uint64_t version = 0;
  friend bool operator==(const WriteAnswer&, const WriteAnswer&) = default;
};

// ObjectStore is the platform's object API as tasks use it. All calls return at
// once. Each handler is called once, on the thread of the task that owns the
// store object.
class ObjectStore {
 public:
  template <class T>
  using Handler = std::function<void(const base::Result<T>&)>;

  virtual ~ObjectStore() = default;
  // Read passes the object to `done`; its value is nullopt if there is none.
  virtual void Read(const std::string& name, Handler<StoredObject> done) = 0;
  // Write replaces the value if the object's version is `if_version`, or
  // creates the object if `if_version` is 0. `value` is JSON text. A version of
  // an earlier generation is a conflict, unless the platform gave out its
  // revision again before this process knew of the new generation; the outcome
  // is then kUnknown.
  virtual void Write(const std::string& name,
                     uint64_t if_version,
                     const std::string& value,
                     Handler<WriteAnswer> done) = 0;
  // Delete removes the object if its version is `if_version`.
  virtual void Delete(const std::string& name,
                      uint64_t if_version,
                      Handler<WriteAnswer> done) = 0;
  // Watch waits for changes and passes them to `done`. It reports once; call it
  // again for later changes. An object without a readable name is skipped and
  // counted. An object without a readable version gets the answer's, one
  // without content the value "null".
  virtual void Watch(const WatchQuery& query, Handler<WatchAnswer> done) = 0;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_OBJECT_STORE_H_
