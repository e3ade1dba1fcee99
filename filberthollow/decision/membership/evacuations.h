// The evacuated data centres: no new flow is placed on an upstream there.
//
// The operator's entries in the platform's object store are the source. A list
// shows them as of a revision of the store, so the list with the higher
// revision replaces the other one as a whole, from whatever process it comes.
// Lists pass between balancers and agents, so that those that can't reach the
// store learn of them, too. This answers the load pattern of a data centre that
// is taken out of service while balancers start, are cut off or were told an
// older list.
//
//   Evacuations evacuations;
//   if (evacuations.Update(hello.evacuations)) { ... }
//   if (evacuations.Contains(data_centre)) { ... }
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_EVACUATIONS_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filberthollow::decision::membership {

// Limits of a list, so that a message that contains one fits in a datagram.
inline constexpr size_t kMaxEvacuations = 16;
inline constexpr size_t kMaxDataCentreBytes = 64;

// EvacuationList holds the names of the evacuated data centres.
struct EvacuationList {
  uint64_t revision = 0;                  // of the store; 0: nothing is known
  std::vector<std::string> data_centres;  // sorted
  friend bool operator==(const EvacuationList&,
                         const EvacuationList&) = default;
};

// Evacuations keeps the newest list that a process has received. It is not
// thread-safe; it is owned by one task.
class Evacuations {
 public:
  // Replaces the list if `list` is newer. Returns whether the names changed,
  // or the first list was received.
  bool Update(const EvacuationList& list);
  bool Contains(std::string_view data_centre) const;
  // Returns whether the data centre with this hash of its name
  // (base::HashBytes) is evacuated.
  bool ContainsHash(uint64_t data_centre) const;
  // Returns the revision of the list by which the names last changed. Whoever
  // has a list of this revision or a later one knows these names.
  uint64_t changed_revision() const { return m_changed_revision; }
  bool IsKnown() const { return m_list.revision > 0; }
  const EvacuationList& list() const { return m_list; }

 private:
  EvacuationList m_list;
  uint64_t m_changed_revision = 0;
  std::vector<uint64_t> m_hashes;  // of the names in m_list
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_EVACUATIONS_H_
