// A deterministic model of a retry storm: callers that retry offer ten times
// what the targets can do, then the load falls back to normal.
//
// RunStorm() drives the real decisions (caller library, router, agents) with a
// clock and random numbers under control. RunNaiveStorm() is the baseline:
// callers that resend on every timeout, and targets with one unbounded queue
// that work off everything in order.
//
//   StormResult ours = RunStorm({});
//   StormResult naive = RunNaiveStorm({});
#ifndef FILBERTHOLLOW_TESTING_STORM_H_
#define FILBERTHOLLOW_TESTING_STORM_H_

#include <cstdint>
#include <vector>

#include "filberthollow/base/clock.h"

namespace filberthollow::testing {

// StormPlan is the load. Before and after the storm the offered load is
// `normal_percent` of capacity.
struct StormPlan {
  uint32_t targets = 2;
  uint32_t slots = 4;
  base::Millis work_time{50};
  base::Millis timeout{2000};
  uint32_t clients = 100;
  uint32_t before_s = 5;
  uint32_t storm_s = 15;
  uint32_t after_s = 15;
  uint32_t normal_percent = 50;
  uint32_t storm_percent = 1000;
  uint32_t max_attempts = 4;
  uint64_t seed = 7;

  // Returns the requests a second that the targets can do.
  uint32_t Capacity() const {
    return static_cast<uint32_t>(int64_t{1000} * targets * slots /
                                 work_time.count());
  }
};

// StormSecond is one second of the run, by the time of submission.
struct StormSecond {
  uint64_t offered = 0;
  uint64_t answered = 0;        // within the timeout
  uint64_t answered_first = 0;  // of these, by the first attempt
  friend bool operator==(const StormSecond&, const StormSecond&) = default;
};

// StormResult sums a run up.
struct StormResult {
  std::vector<StormSecond> seconds;
  uint64_t runs = 0;        // requests started at the upstreams
  uint64_t retry_runs = 0;  // of these, second and later attempts
  // First attempts answered in the storm, as a share of capacity.
  double storm_goodput = 0;
  // Seconds after the storm until every request of a second is answered;
  // `after_s` if that never happens.
  uint32_t recovery_s = 0;
};

StormResult RunStorm(const StormPlan& plan);
StormResult RunNaiveStorm(const StormPlan& plan);

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_STORM_H_
