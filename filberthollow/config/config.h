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
//   if (change.snapshot) { ... }
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

// ConfigSnapshot is an immutable tree, the routes and the revision that both
// stand for.
struct ConfigSnapshot {
  uint64_t revision = 0;
  settings::Tree tree;
  std::vector<settings::Route> routes;
  std::map<std::string, std::string> health_paths;  // by service
  friend bool operator==(const ConfigSnapshot&,
                         const ConfigSnapshot&) = default;
};

using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

// KeysChanged and ConfigSnapshotChanged are the messages that tell other
// services.
struct KeysChanged {
  flow::KeyRing keys;
  friend bool operator==(const KeysChanged&, const KeysChanged&) = default;
};
struct ConfigSnapshotChanged {
  ConfigSnapshotPtr snapshot;
  friend bool operator==(const ConfigSnapshotChanged&,
                         const ConfigSnapshotChanged&) = default;
};

// ConfigChange is what a set of objects changed.
struct ConfigChange {
  bool snapshot = false;
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
  // ApplyFullState takes every object that there was at `revision`: those held
  // that are not among them have been deleted since.
  ConfigChange ApplyFullState(std::vector<platform::StoredObject> objects,
                              uint64_t revision);
  // ActivateKeys brings the keys up to the calendar time.
  void ActivateKeys(base::Millis wall_now);

  ConfigSnapshotPtr snapshot() const { return m_snapshot; }
  const flow::KeyRing& keys() const { return m_keys; }
  uint64_t revision() const { return m_snapshot->revision; }
  // Returns the newest version held of each object.
  const std::map<std::string, platform::StoredObject>& objects() const {
    return m_objects;
  }

 private:
  base::Result<base::Done> ApplyObject(const platform::StoredObject& object,
                                       settings::Snapshot& updated,
                                       ConfigChange& change);

  const SnapshotReader m_read_snapshot;
  ConfigSnapshotPtr m_snapshot = std::make_shared<const ConfigSnapshot>();
  flow::KeyRing m_keys;
  std::map<std::string, platform::StoredObject> m_objects;
};

// kKeyActivationDelay is the time between publishing a key and signing with it.
// Within it every process learns the key: a watch or heartbeat tells of it
// within seconds, and agents spread their reads over three.
inline constexpr base::Millis kKeyActivationDelay{10'000};

// ParseKeyRing reads the keys object:
//   {"keys": [{"epoch": 1, "secret": "HEX", "active_from_ms": 0}]}
// as it is to be used at the calendar time `wall_now`. Errors never show a
// secret.
base::Result<flow::KeyRing> ParseKeyRing(std::string_view text,
                                         base::Millis wall_now);
// KeysText writes what ParseKeyRing() reads.
std::string KeysText(const std::vector<flow::Key>& keys);
// ParseKeyList returns the keys of a keys object.
base::Result<std::vector<flow::Key>> ParseKeyList(std::string_view text);

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_CONFIG_H_
