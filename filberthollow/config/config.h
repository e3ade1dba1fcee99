// The current configuration of a process: the settings tree and the routes with
// their revision, and the keys. Its source is the platform's object store.
//
// ConfigState accepts versions of objects in any order and from any source, and
// keeps the newest version of each object. Versions that are not newer are
// ignored, so a slow watch, a stale peer or a store that has come back from a
// copy cannot restore an older state. A snapshot that names its version
// (settings::Snapshot::version) is ordered by it, and other objects as
// CompareObjects() tells. What a restored store has lost is reported. An
// invalid object is reported, and the last valid version of it stays in use.
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

// An immutable version of the settings tree and the routes.
struct ConfigSnapshot {
  uint64_t revision = 0;  // see ConfigState::Apply()
  settings::Tree tree;
  std::vector<settings::Route> routes;
  std::map<std::string, std::string> health_paths;  // by service name
  settings::ColdLimits cold_limits;
  friend bool operator==(const ConfigSnapshot&,
                         const ConfigSnapshot&) = default;
};

using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

// Tells another service of the process that the keys changed, or that another
// key became active.
struct KeysChanged {
  flow::KeyRing keys;
  friend bool operator==(const KeysChanged&, const KeysChanged&) = default;
};
// Tells another service of the process that the configuration changed.
struct ConfigSnapshotChanged {
  ConfigSnapshotPtr snapshot;
  friend bool operator==(const ConfigSnapshotChanged&,
                         const ConfigSnapshotChanged&) = default;
};

// An object that the store had before it came back from a copy. The store now
// has an older version of it or none.
struct LostObject {
  // Version that the store has; 0 if the object is missing.
  uint64_t store_version = 0;
  platform::StoredObject held;  // as in ConfigState::objects()
  friend bool operator==(const LostObject&, const LostObject&) = default;
};

// The effect of applying a set of objects.
struct ConfigChange {
  bool snapshot = false;             // there is a new snapshot
  bool keys = false;                 // there are new keys
  std::vector<base::Error> refused;  // one error per invalid object
  // Held objects that the store has lost. An object is reported again whenever
  // an older version of it or its absence is found.
  std::vector<LostObject> lost;
  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// Parses the text of platform::kSnapshotObject. `source` is the object's name,
// for errors.
using SnapshotReader =
    base::Result<settings::Snapshot> (*)(std::string_view text,
                                         std::string_view source);

// ConfigState is not thread-safe. It is owned by one task.
class ConfigState {
 public:
  explicit ConfigState(SnapshotReader read_snapshot = &settings::ParseSnapshot)
      : m_read_snapshot(read_snapshot) {}

  // Applies objects that changed. The revision is the highest version that any
  // object below platform::kTreePrefix has had so far, valid or not, except for
  // an invalid snapshot, whose version isn't known.
  ConfigChange Apply(const std::vector<platform::StoredObject>& objects);
  // Applies a complete list of the objects that existed at `revision`. Objects
  // of an older version that are missing from the list are treated as deleted.
  // If their version is of an earlier generation, they are kept and reported as
  // lost, except for a snapshot that names its version: its author writes it
  // again.
  ConfigChange ApplyFullState(std::vector<platform::StoredObject> objects,
                              uint64_t revision);
  // Selects the signing key for the calendar time `wall_now`.
  void ActivateKeys(base::Millis wall_now);

  ConfigSnapshotPtr snapshot() const { return m_snapshot; }
  const flow::KeyRing& keys() const { return m_keys; }
  uint64_t revision() const { return m_snapshot->revision; }
  // Returns the newest version of each object seen so far, by name. Includes
  // deleted and invalid objects. The version of an object never decreases.
  const std::map<std::string, platform::StoredObject>& objects() const {
    return m_objects;
  }
  // Returns whether the object is still held as it was when it was reported.
  bool IsStillLost(const LostObject& lost) const;

 private:
  // Records an object if it is newer than the held one; returns whether it is.
  // Adds what the store has lost to `change`.
  bool Record(const platform::StoredObject& object, ConfigChange& change);
  // Applies an object if it is newer than the held one. Sets the members of
  // `change` and, if the object belongs to the tree, the revision.
  base::Result<base::Done> ApplyIfNewer(platform::StoredObject object,
                                        ConfigSnapshot& updated,
                                        ConfigChange& change);
  // Applies one object to `updated` or to m_keys, and sets the member of
  // `change` for it.
  base::Result<base::Done> ApplyObject(const platform::StoredObject& object,
                                       ConfigSnapshot& updated,
                                       ConfigChange& change);

  const SnapshotReader m_read_snapshot;
  ConfigSnapshotPtr m_snapshot = std::make_shared<const ConfigSnapshot>();
  flow::KeyRing m_keys;
  std::map<std::string, platform::StoredObject> m_objects;
};

// Time between publishing a key and signing with it. It must be long enough for
// every process to read the key: watches and heartbeats announce it within
// seconds, and agents delay their reads by up to 3 s (kMaxKeyReadJitter).
inline constexpr base::Millis kKeyActivationDelay{10'000};

// Parses the keys object and returns its keys as a ring whose signing key is
// the one for the calendar time `wall_now`. Errors never contain a secret.
// Format:
//   {"keys": [{"epoch": 1, "secret": "HEX", "active_from_ms": 0}]}
base::Result<flow::KeyRing> ParseKeyRing(std::string_view text,
                                         base::Millis wall_now);
// Returns the text of a keys object, which ParseKeyRing() and ParseKeyList()
// parse. It contains the secrets.
std::string KeysText(const std::vector<flow::Key>& keys);
// Parses the keys object like ParseKeyRing(), but returns the list of its keys.
base::Result<std::vector<flow::Key>> ParseKeyList(std::string_view text);

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_CONFIG_H_
