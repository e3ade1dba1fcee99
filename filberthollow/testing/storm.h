// A deterministic simulation of a retry storm: callers that retry offer ten
// times the capacity of the targets, then the load falls back to normal.
//
// RunStorm() simulates the production decisions (caller library, router,
// agents) with a fake clock and seeded random numbers. RunNaiveStorm()
// simulates the baseline: callers resend on every timeout, and each target
// works off one unbounded queue in order, including requests that have timed
// out.
//
//   StormResult ours = RunStorm({});
//   StormResult naive = RunNaiveStorm({});
#ifndef FILBERTHOLLOW_TESTING_STORM_H_
#define FILBERTHOLLOW_TESTING_STORM_H_

#include <cstdint>
#include <vector>

#include "filberthollow/base/clock.h"

namespace filberthollow::testing {

// StormPlan describes the targets, the callers and the offered load.
// Percentages are of the capacity of the targets: `storm_percent` during the
// storm, `normal_percent` before and after it.
struct StormPlan {
  uint32_t targets = 2;
  uint32_t slots = 4;          // requests that a target runs at the same time
  base::Millis work_time{50};  // duration of each request
  base::Millis timeout{2000};  // of a job; in the baseline, of an attempt
  uint32_t clients = 100;
  uint32_t before_s = 5;
  uint32_t storm_s = 15;
  uint32_t after_s = 15;
  uint32_t normal_percent = 50;
  uint32_t storm_percent = 1000;
  uint32_t max_attempts = 4;
  uint64_t seed = 7;

  // Returns the requests per second that the targets can run.
  uint32_t Capacity() const {
    return static_cast<uint32_t>(int64_t{1000} * targets * slots /
                                 work_time.count());
  }
};

// StormSecond counts the requests that were submitted within one second.
struct StormSecond {
  uint64_t offered = 0;
  uint64_t answered = 0;        // answered within the timeout
  uint64_t answered_first = 0;  // answered by the first attempt
  friend bool operator==(const StormSecond&, const StormSecond&) = default;
};

// StormResult is the summary of a simulation.
struct StormResult {
  std::vector<StormSecond> seconds;
  uint64_t runs = 0;        // attempts started at the upstreams
  uint64_t retry_runs = 0;  // started attempts that were not the first
  // Requests of the storm that the first attempt answered, over the number that
  // the targets can run in that time.
  double storm_goodput = 0;
  // Seconds from the end of the storm to the first second whose requests are
  // all answered; `after_s` if there is none.
  uint32_t recovery_s = 0;
};

StormResult RunStorm(const StormPlan& plan);
StormResult RunNaiveStorm(const StormPlan& plan);

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_STORM_H_
