// Replays the load patterns of upstreams of uneven speed, of a flood of one
// kind of request and of a peak with timeouts. They are apart from lab_test.cc
// so that neither test comes near the time limit under a sanitizer.
#include "filberthollow/lab/pattern_fixtures.h"

namespace filberthollow::lab {
namespace {

// Returns the work that each upstream has done under the product.
std::vector<uint64_t> WorkOfUpstreams(const Pattern& pattern, uint64_t seed) {
  return RunPattern(pattern, *FindPolicy(kProductPolicy), seed).work_done_ms;
}

// Answers the pattern flood-of-one-kind: the flood took the room of the other
// route of its priority, at a cost that the total worth does not show.
BOOST_AUTO_TEST_CASE(FloodOfOneKindLeavesOtherKindsInTime) {
  constexpr size_t kReads = 0;  // the flood
  constexpr size_t kSearches = 1;
  constexpr size_t kOrders = 2;
  Pattern pattern = Named("flood-of-one-kind");
  auto in_time = [](const Count& count) {
    return static_cast<double>(count.in_goal) /
           static_cast<double>(count.asked);
  };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunResult before = RunPattern(pattern, *FindPolicy("adaptive_lifo"), seed);
    RunResult after = RunPattern(pattern, *FindPolicy(kProductPolicy), seed);
    double searches = in_time(after.kinds[kSearches]);
    BOOST_TEST(searches > in_time(before.kinds[kSearches]));
    // The flood pays for itself: the other kinds fare better than it.
    BOOST_TEST(searches > in_time(after.kinds[kReads]));
    BOOST_TEST(in_time(after.kinds[kOrders]) > in_time(after.kinds[kReads]));
  }
  BOOST_TEST(Gain("flood-of-one-kind", "adaptive_lifo").verdict != "worse");
}

// Answers the pattern peak-with-timeouts, and guards against an order that
// answers old requests late in place of new ones in time. Without timeouts, the
// order within and between priorities of one route each is that of before.
BOOST_AUTO_TEST_CASE(PeakIsServedAsWellAsByAdaptiveLifo) {
  BOOST_TEST(Gain("peak-with-timeouts", "adaptive_lifo").verdict != "worse");
  BOOST_TEST(Gain("peak-with-timeouts", "fifo").verdict == "better");
  for (const char* name : {"burst-of-3", "burst-of-1.7"}) {
    BOOST_TEST(Gain(name, "adaptive_lifo").difference == 0.0);
  }
}

// Answers the pattern uneven-speeds.
BOOST_AUTO_TEST_CASE(ChoiceByMeasuredWorkServesUnevenSpeedsBetter) {
  constexpr double kMaxBusyImbalance = 1.35;  // the stated target
  Pattern pattern = Named("uneven-speeds");
  BOOST_TEST(Gain("uneven-speeds", kWithoutSpeedPolicy).verdict == "better");
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunResult before =
        RunPattern(pattern, *FindPolicy(kWithoutSpeedPolicy), seed);
    RunResult after = RunPattern(pattern, *FindPolicy(kProductPolicy), seed);
    BOOST_TEST(after.busy_imbalance < before.busy_imbalance);
    BOOST_TEST(after.busy_imbalance < kMaxBusyImbalance);
    BOOST_TEST(after.worst_wait_ms < before.worst_wait_ms);
  }
}

// Guards against a fleet of even speed whose flows are moved by the size of
// requests: all that was measured must be the same as without work times.
BOOST_AUTO_TEST_CASE(EvenFleetIsServedAsWithoutMeasuredWork) {
  Pattern skewed = Named("uneven-speeds");
  skewed.speeds.clear();
  skewed.seconds = 15;
  for (const Pattern& pattern :
       {skewed, Named("calm-wave"), Named("grey-upstream")}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RunResult before =
          RunPattern(pattern, *FindPolicy(kWithoutSpeedPolicy), seed);
      before.policy = kProductPolicy;
      BOOST_TEST(
          (RunPattern(pattern, *FindPolicy(kProductPolicy), seed) == before),
          pattern.name);
    }
  }
}

// Answers the pattern upstream-slow-for-6-s: the upstream must be used again
// after its recovery, and callers must not fare worse.
BOOST_AUTO_TEST_CASE(UpstreamThatWasSlowIsUsedAgain) {
  constexpr double kMinShareOfMean = 0.9;
  Pattern pattern = Named("upstream-slow-for-6-s");
  BOOST_TEST(Gain(pattern.name, kWithoutSpeedPolicy).verdict != "worse");
  Pattern longer = pattern;
  longer.seconds += 10;
  std::vector<uint64_t> early = WorkOfUpstreams(pattern, 1);
  std::vector<uint64_t> late = WorkOfUpstreams(longer, 1);
  double total = 0;
  for (size_t i = 0; i < late.size(); ++i) {
    total += static_cast<double>(late[i] - early[i]);
  }
  double mean = total / static_cast<double>(late.size());
  BOOST_TEST(static_cast<double>(late[0] - early[0]) > kMinShareOfMean * mean);
}

}  // namespace
}  // namespace filberthollow::lab
