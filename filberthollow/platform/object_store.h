// The platform's object API as the fleet uses it: named objects with versions,
// conditional writes, and watches that wait for changes.
//
//   store.Write("config/keys", /*if_version=*/0, text, [](const auto& r)
//   {...}); store.Watch({"config/", revision, kWatchWait}, [](const auto& r)
//   {...});
#ifndef FILBERTHOLLOW_PLATFORM_OBJECT_STORE_H_
#define FILBERTHOLLOW_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/error.h"

namespace filberthollow::platform {

// Names of the fleet's objects.
inline constexpr const char* kConfigPrefix = "config/";
inline constexpr const char* kKeysObject = "config/keys";
inline constexpr const char* kTreePrefix = "config/tree/";
inline constexpr const char* kRootObject = "config/tree/root";
inline constexpr const char* kServicePrefix = "config/tree/service/";
// kSnapshotObject holds tree and routes together; see config/snapshot.h.
inline constexpr const char* kSnapshotObject = "config/tree/snapshot";
inline constexpr const char* kBootstrapPrefix = "bootstrap/";

// StoredObject is one version of an object. Versions are drawn from one
// counter for the whole store, so they also order changes of several objects.
struct StoredObject {
  std::string name;
  uint64_t version = 0;
  std::optional<std::string> value;  // JSON text; nothing once deleted
  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

// WatchQuery asks for the objects below a prefix that changed after a
// revision; the answer waits until there is one or `wait` has passed.
struct WatchQuery {
  std::string prefix;
  uint64_t after_revision = 0;
  base::Millis wait;
  friend bool operator==(const WatchQuery&, const WatchQuery&) = default;
};

// WatchAnswer holds the changes up to `revision`.
struct WatchAnswer {
  uint64_t revision = 0;
  std::vector<StoredObject> objects;
  // These are all objects that there are: others were deleted. So it is for a
  // query after revision 0, and where the platform has forgotten the changes.
  bool complete = false;
  friend bool operator==(const WatchAnswer&, const WatchAnswer&) = default;
};

// WriteAnswer tells what became of a conditional write.
struct WriteAnswer {
  enum Kind : uint8_t {
    kWritten,   // `version` is the new version
    kConflict,  // nothing was written; `version` is the present one
    kUnknown,   // the answer was lost: the write may have taken effect
  };
  Kind kind = kUnknown;
  uint64_t version = 0;
  friend bool operator==(const WriteAnswer&, const WriteAnswer&) = default;
};

// ObjectStore is what tasks need of the platform. Handlers are called once, on
// the thread of the task that owns the store object.
class ObjectStore {
 public:
  template <class T>
  using Handler = std::function<void(const base::Result<T>&)>;

  virtual ~ObjectStore() = default;
  // Read returns an object; its value is empty if there is none.
  virtual void Read(const std::string& name, Handler<StoredObject> done) = 0;
  // Write replaces the value if the version is still `if_version`; 0 creates.
  virtual void Write(const std::string& name,
                     uint64_t if_version,
                     const std::string& value,
                     Handler<WriteAnswer> done) = 0;
  // Delete removes an object if its version is still `if_version`.
  virtual void Delete(const std::string& name,
                      uint64_t if_version,
                      Handler<WriteAnswer> done) = 0;
  // Watch waits for changes.
  virtual void Watch(const WatchQuery& query, Handler<WatchAnswer> done) = 0;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_OBJECT_STORE_H_
