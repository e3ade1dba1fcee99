// Choice of the upstream that is offered a new passed-through flow.
//
// Of the upstreams that take new flows, the one with the least expected work
// for its slots is taken; one in another data centre counts as busier, since
// bytes between data centres cost. Expected work is what runs now, what the
// open flows are likely to bring, and what this balancer has placed_since_load
// there since it last heard of it.
//
//   std::optional<size_t> best = ChooseUpstream(choices, own_data_centre, key);
#ifndef FILBERTHOLLOW_DECISION_UPSTREAM_CHOICE_H_
#define FILBERTHOLLOW_DECISION_UPSTREAM_CHOICE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include "filberthollow/base/address.h"
#include "filberthollow/decision/packet_messages.h"

namespace filberthollow::decision {

// UpstreamCandidate is one upstream that may be offered the flow.
struct UpstreamCandidate {
  base::Address agent;
  uint64_t data_centre = 0;
  UpstreamLoad load;
  uint32_t placed_since_load = 0;  // by this balancer since `load` was reported
  friend bool operator==(const UpstreamCandidate&,
                         const UpstreamCandidate&) = default;
};

// kRemotePenalty is the work_per_slot of busy slots that another data centre
// must have less. Without it, two thirds of all bytes would cross between three
// data centres; far more would let queues grow at home before work is sent
// away.
inline constexpr double kRemotePenalty = 0.25;
// kColdFactor: an upstream that has just started works this much slower.
inline constexpr double kColdFactor = 1.6;

// ChooseUpstream returns the index of the best candidate, or nothing if there
// is none. `key` breaks ties, so that balancers do not all choose alike.
std::optional<size_t> ChooseUpstream(
    std::span<const UpstreamCandidate> candidates,
    uint64_t data_centre,
    uint64_t key);

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_UPSTREAM_CHOICE_H_
