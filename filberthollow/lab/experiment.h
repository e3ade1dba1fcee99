// Experiments: runs of a pattern under a policy, and comparisons of policies.
//
//   RunResult result = RunPattern(pattern, *FindPolicy("product"), /*seed=*/1);
//   Comparison c = Compare(pattern, first, second, /*seeds=*/10);
#ifndef FILBERTHOLLOW_LAB_EXPERIMENT_H_
#define FILBERTHOLLOW_LAB_EXPERIMENT_H_

#include <string>
#include <vector>

#include "filberthollow/lab/caller_model.h"
#include "filberthollow/lab/fleet_model.h"
#include "filberthollow/lab/pattern.h"

namespace filberthollow::lab {

// Counts are of the requests that were offered in a span of time, or of a kind.
struct Count {
  std::string name;
  uint64_t asked = 0;
  uint64_t in_goal = 0;
  uint64_t late = 0;
  friend bool operator==(const Count&, const Count&) = default;
};

struct RunResult {
  std::string pattern;
  std::string policy;
  uint64_t seed = 0;
  double worth = 0;    // earned, of what was offered
  double optimum = 0;  // at most this could be earned; see UpperBound()
  std::vector<Count> kinds;
  std::vector<Count> seconds;
  uint64_t tries = 0;  // attempts after the first of a request
  uint64_t refusals = 0;
  uint64_t resets = 0;
  std::vector<uint64_t> work_done_ms;  // by each upstream
  // Work of the busiest upstream over the mean of all.
  double imbalance = 0;
  // Time in which the slots of the busiest upstream worked, over the mean.
  double busy_imbalance = 0;
  // Mean time that a request waits at the agent where that is longest.
  double worst_wait_ms = 0;
  uint64_t events = 0;  // that the engine has run
  friend bool operator==(const RunResult&, const RunResult&) = default;

  // Returns what was earned of what can be.
  double OfOptimum() const { return optimum > 0 ? worth / optimum : 1; }
};

RunResult RunPattern(const Pattern& pattern,
                     const Policy& policy,
                     uint64_t seed);

// Comparison holds the paired differences of two policies over some seeds.
struct Comparison {
  std::string pattern;
  std::string first;
  std::string second;
  double first_worth = 0;  // means
  double second_worth = 0;
  double difference = 0;     // of `second` to `first`
  double half_interval = 0;  // of the 95% confidence interval
  std::string verdict;       // "better", "worse" or "not shown"
  friend bool operator==(const Comparison&, const Comparison&) = default;
};

// Compares the worth of `second` to that of `first` on seeds 1 to `seeds`,
// which must be at least 2.
Comparison Compare(const Pattern& pattern,
                   const Policy& first,
                   const Policy& second,
                   uint64_t seeds);

// Return the results as JSON texts.
std::string ToJson(const RunResult& result);
std::string ToJson(const Comparison& comparison);

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_EXPERIMENT_H_
