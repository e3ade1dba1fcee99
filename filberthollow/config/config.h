// The configuration in force: the settings tree with its revision, and the
// keys, as they are kept at the platform.
//
// ConfigState takes versions of objects in any order and from any source, and
// keeps the newest of each. A version that is not newer changes nothing, so a
// slow watch or a stale peer can't bring back an older state; an object that
// is not valid is reported and skipped.
//
//   ConfigState state;
//   ConfigChange change = state.Apply(objects);
//   if (change.tree) { ... }
#ifndef FILBERTHOLLOW_CONFIG_CONFIG_H_
#define FILBERTHOLLOW_CONFIG_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filberthollow/base/error.h"
#include "filberthollow/flow/token.h"
#include "filberthollow/platform/object_store.h"
#include "filberthollow/settings/routes.h"
#include "filberthollow/settings/tree.h"

namespace filberthollow::config {

// TreeVersion is an immutable tree, the routes and the revision that both
// stand for.
struct TreeVersion {
  uint64_t revision = 0;
  settings::Tree tree;
  std::vector<settings::Route> routes;
  std::map<std::string, std::string> health_paths;  // by service
  friend bool operator==(const TreeVersion&, const TreeVersion&) = default;
};

using TreePtr = std::shared_ptr<const TreeVersion>;

// KeysChanged and TreeChanged are the messages that tell other services.
struct KeysChanged {
  flow::KeyRing keys;
  friend bool operator==(const KeysChanged&, const KeysChanged&) = default;
};
struct TreeChanged {
  TreePtr tree;
  friend bool operator==(const TreeChanged&, const TreeChanged&) = default;
};

// ConfigChange is what a set of objects changed.
struct ConfigChange {
  bool tree = false;
  bool keys = false;
  std::vector<base::Error> refused;  // objects that were not valid
  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// SnapshotReader reads the text of platform::kSnapshotObject; `source` names it
// in errors.
using SnapshotReader =
    base::Result<settings::Snapshot> (*)(std::string_view text,
                                         std::string_view source);

// ConfigState belongs to one task.
class ConfigState {
 public:
  explicit ConfigState(SnapshotReader read_snapshot = &settings::ParseSnapshot)
      : m_read_snapshot(read_snapshot) {}

  // Apply takes every object that changed up to some point. The revision in
  // force becomes the highest version among the objects of the tree.
  ConfigChange Apply(const std::vector<platform::StoredObject>& objects);
  // ApplyAll takes every object that there was at `revision`: those held that
  // are not among them have been deleted since.
  ConfigChange ApplyAll(std::vector<platform::StoredObject> objects,
                        uint64_t revision);
  // ActivateKeys brings the keys up to the calendar time.
  void ActivateKeys(base::Millis wall_now);

  TreePtr tree() const { return m_tree; }
  const flow::KeyRing& keys() const { return m_keys; }
  uint64_t revision() const { return m_tree->revision; }
  // Returns the newest version held of each object.
  const std::map<std::string, platform::StoredObject>& objects() const {
    return m_objects;
  }

 private:
  base::Result<base::Done> ApplyOne(const platform::StoredObject& object,
                                    settings::Snapshot& snapshot,
                                    ConfigChange& change);

  const SnapshotReader m_read_snapshot;
  TreePtr m_tree = std::make_shared<const TreeVersion>();
  flow::KeyRing m_keys;
  std::map<std::string, platform::StoredObject> m_objects;
};

// kKeyWarmUp is the time between publishing a key and signing with it. Within
// it every process learns the key: a watch or heartbeat tells of it within
// seconds, and agents spread their reads over three.
inline constexpr base::Millis kKeyWarmUp{10'000};

// ParseKeys reads the keys object:
//   {"keys": [{"epoch": 1, "secret": "HEX", "active_from_ms": 0}]}
// as it is to be used at the calendar time `wall_now`. Errors never show a
// secret.
base::Result<flow::KeyRing> ParseKeys(std::string_view text,
                                      base::Millis wall_now);
// KeysText writes what ParseKeys() reads.
std::string KeysText(const std::vector<flow::Key>& keys);
// ListKeys returns the keys of a keys object.
base::Result<std::vector<flow::Key>> ListKeys(std::string_view text);

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_CONFIG_H_
