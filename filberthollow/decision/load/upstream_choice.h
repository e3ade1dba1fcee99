// Chooses the upstream that is offered a new pass-through flow.
//
// The upstream with the least expected work per slot is chosen. An upstream in
// another data centre gets a penalty, since traffic between data centres has a
// cost. The expected work is the mean of the requests in progress and the
// requests expected from the open flows, plus the flows that this balancer has
// placed on the upstream since its load was last reported.
//
//   std::optional<size_t> best =
//       ChooseUpstream(candidates, own_data_centre, key);
#ifndef FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_CHOICE_H_
#define FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_CHOICE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include "filberthollow/base/address.h"
#include "filberthollow/decision/load/upstream_load.h"

namespace filberthollow::decision::load {

// UpstreamCandidate is an upstream that may be offered the flow.
struct UpstreamCandidate {
  base::Address agent;
  uint64_t data_centre = 0;
  UpstreamLoad load;
  uint32_t placed_since_load = 0;  // by this balancer since `load` was reported
  friend bool operator==(const UpstreamCandidate&,
                         const UpstreamCandidate&) = default;
};

// kRemotePenalty is added to the expected work per slot of an upstream in
// another data centre. Without it, two thirds of all bytes would cross between
// three data centres; with a far larger value, queues would grow in the own
// data centre before flows are placed in another.
inline constexpr double kRemotePenalty = 0.25;
// kColdFactor is how many times slower an upstream works just after its start.
inline constexpr double kColdFactor = 1.6;

// ChooseUpstream returns the index of the best candidate, or nullopt if there
// are no candidates. `data_centre` is that of the balancer. `key` breaks ties;
// it differs by flow, so that balancers do not all choose the same upstream.
std::optional<size_t> ChooseUpstream(
    std::span<const UpstreamCandidate> candidates,
    uint64_t data_centre,
    uint64_t key);

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_CHOICE_H_
