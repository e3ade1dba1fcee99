// An upstream that may be offered a new pass-through flow.
//
//   UpstreamCandidate candidate{.agent = address, .load = report.load};
#ifndef FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_CANDIDATE_H_
#define FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_CANDIDATE_H_

#include <compare>
#include <cstdint>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/load/upstream_load.h"

namespace filberthollow::decision::load {

// UpstreamCandidate is an upstream that may be offered the flow.
struct UpstreamCandidate {
  base::Address agent;
  uint64_t data_centre = 0;
  UpstreamLoad load;
  uint32_t placed_since_load = 0;  // by this balancer since `load` was reported
  base::Millis load_age{0};        // time since `load` was reported
  friend bool operator==(const UpstreamCandidate&,
                         const UpstreamCandidate&) = default;
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_CANDIDATE_H_
