// The operator's evacuation entries, as the answers of the store show them.
//
// A complete answer replaces the entries; the changes in any other answer are
// applied in their order. An entry is in force until it is removed, whatever
// its content and also while it is marked as being deleted. An answer that is
// older than the entries is refused.
//
//   EvacuationEntries entries;
//   std::optional<EvacuationChange> change = entries.Apply(answer, now);
//   if (change) { listener(entries.List()); }
#ifndef FILBERTHOLLOW_CONFIG_EVACUATION_ENTRIES_H_
#define FILBERTHOLLOW_CONFIG_EVACUATION_ENTRIES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/membership/evacuations.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// The entry of one data centre.
struct EvacuationEntry {
  uint64_t revision = 0;  // of its object in the store
  base::Millis since;     // when this process learned of it
  friend bool operator==(const EvacuationEntry&,
                         const EvacuationEntry&) = default;
};

// The effect of one answer of the store. Names are in the order of the answer.
// A name is among both `added` and `removed` if it was removed and written
// again, or the reverse.
struct EvacuationChange {
  std::vector<std::string> added;
  std::vector<std::string> removed;
  // The part of `removed` that a later generation of the store has lost.
  std::vector<std::string> lost;
  // Number of objects without a name of a data centre, which were skipped.
  size_t malformed = 0;
  // Whether the list is to be passed on: the answer is complete or changes an
  // object. This does not depend on the names: another process may have an
  // older list with other names, and the revision shows which entries a list
  // includes.
  bool has_news = false;
  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

// EvacuationEntries is not thread-safe; it is owned by one task.
class EvacuationEntries {
 public:
  // Applies an answer to a watch of platform::kEvacuationPrefix. Returns
  // nullopt, without a change, if the answer is older than the entries or has
  // no revision.
  std::optional<EvacuationChange> Apply(const platform::WatchAnswer& answer,
                                        base::Millis now);
  // Revision of the store that the entries reflect; 0 before the first answer.
  uint64_t revision() const { return m_revision; }
  // The entries by the name of the data centre.
  const std::map<std::string, EvacuationEntry>& entries() const {
    return m_entries;
  }
  // Returns the list for other processes: the first kMaxEvacuations names.
  decision::membership::EvacuationList List() const;
  // Returns the names that List() omits.
  std::vector<std::string> OmittedNames() const;

 private:
  void Replace(const std::vector<platform::StoredObject>& objects,
               base::Millis now,
               EvacuationChange& change);
  void ApplyChange(const platform::StoredObject& object,
                   base::Millis now,
                   EvacuationChange& change);

  uint64_t m_revision = 0;
  std::map<std::string, EvacuationEntry> m_entries;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_EVACUATION_ENTRIES_H_
