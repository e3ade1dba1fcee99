// Placement of new flows on the targets of a service.
//
// A placement policy maps a flow key to a target. Policies are pure functions:
// the same key and the same candidates give the same target on every balancer.
//
//   const PlacementPolicy& policy = PolicyFor(PlacementKind::kRendezvous);
//   const Candidate* target = policy.Place(key, candidates, avoid);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_PLACEMENT_H_
#define FILBERTHOLLOW_DECISION_FLOWS_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/ids.h"

namespace filberthollow::decision::flows {

// Candidate is a target that may receive new flows.
struct Candidate {
  base::TargetId id{};
  base::Incarnation incarnation{};
  base::Address agent;
  uint32_t weight = 0;         // relative share of new flows; 0 takes none
  uint32_t reported_load = 0;  // running and queued requests, as last reported
  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

// PlacementPolicy chooses a target for a new flow.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Place returns the target for `key` as a pointer into `candidates`, or null
  // if no candidate has a weight above 0. The target with incarnation `avoid`
  // is returned only if there is no other.
  virtual const Candidate* Place(uint64_t key,
                                 std::span<const Candidate> candidates,
                                 base::Incarnation avoid) const = 0;
};

// RendezvousPlacement is weighted rendezvous hashing: each target gets a score
// from a hash of key and target, and the highest score wins (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998; weights
// as in Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
// A target that joins or leaves moves only its own share of the keys. The cost
// is linear in the number of targets; no state is kept.
class RendezvousPlacement final : public PlacementPolicy {
 public:
  const Candidate* Place(uint64_t key,
                         std::span<const Candidate> candidates,
                         base::Incarnation avoid) const override;
};

// TwoChoicePlacement selects the two targets with the highest rendezvous scores
// and returns the one with the lower reported load relative to its weight
// (Mitzenmacher, "The power of two choices in randomized load balancing",
// 2001). It balances better than RendezvousPlacement, but moves more flows.
class TwoChoicePlacement final : public PlacementPolicy {
 public:
  const Candidate* Place(uint64_t key,
                         std::span<const Candidate> candidates,
                         base::Incarnation avoid) const override;
};

// PlacementKind is the setting that selects a policy.
enum class PlacementKind : uint8_t { kRendezvous, kTwoChoice };

// PolicyFor returns the policy of a kind. The object has static storage
// duration.
const PlacementPolicy& PolicyFor(PlacementKind kind);

// MaglevTable is the lookup table of Eisenbud et al., "Maglev: a fast and
// reliable software network load balancer", 2016. It exists for comparison with
// rendezvous hashing; no daemon uses it.
class MaglevTable {
 public:
  // Builds a table of `size` slots. `size` must be prime and larger than the
  // number of candidates; there must be at least one candidate. Weights are
  // ignored.
  MaglevTable(std::span<const Candidate> candidates, uint32_t size);
  // Lookup returns the index of the candidate for `key`.
  uint32_t Lookup(uint64_t key) const { return m_slots[key % m_slots.size()]; }
  // Returns the size of the table in bytes.
  size_t bytes() const { return m_slots.size() * sizeof(uint32_t); }

 private:
  std::vector<uint32_t> m_slots;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_PLACEMENT_H_
