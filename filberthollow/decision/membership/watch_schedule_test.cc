#include "filberthollow/decision/membership/watch_schedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace filberthollow::decision::membership {
namespace {

using base::Millis;

constexpr size_t kSizes[] = {1, 2, 3, 16, 59, 300, 1000};
constexpr Millis kDeadlines[] = {Millis(1000), Millis(3000), Millis(5000),
                                 Millis(11'000)};
constexpr Millis kStart{1'796'000'000'123};
constexpr Millis kDuration{120'000};

// A fleet whose watches end without a change. All of them begin at kStart, as
// after a change, which all balancers see at the same time.
struct QuietFleet {
  Millis deadline;
  size_t balancers;
  // Difference of the clock of each balancer to the true time, by rank.
  std::vector<Millis> clock_offsets = std::vector<Millis>(balancers);

  // Returns the times at which answers are due at balancers from `first_rank`
  // on, in order.
  std::vector<Millis> CallTimes(size_t first_rank = 0) const {
    std::vector<Millis> times;
    for (size_t rank = first_rank; rank < balancers; ++rank) {
      WatchSchedule schedule(deadline);
      schedule.SetTurn({balancers, rank});
      Millis now = kStart;
      while (now < kStart + kDuration) {
        Millis wait = schedule.NextWait(now + clock_offsets[rank]);
        BOOST_TEST(wait.count() > 0);
        BOOST_TEST((wait <= WatchSchedule::kMaxWait));
        now = now + wait;
        times.push_back(now);
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  Millis LongestGap(size_t first_rank = 0) const {
    Millis last = kStart;
    Millis longest{0};
    for (Millis time : CallTimes(first_rank)) {
      longest = std::max(longest, time - last);
      last = time;
    }
    return longest;
  }

  double CallsPerSecond() const {
    double seconds = static_cast<double>(kDuration.count()) / 1000;
    return static_cast<double>(CallTimes().size()) / seconds;
  }
};

// Guards against a lost answer that no balancer notices before the end of a
// long wait, also right after a change, when all watches begin at once.
BOOST_AUTO_TEST_CASE(FleetOfAnySizeAsksSeveralTimesWithinTheDeadline) {
  for (Millis deadline : kDeadlines) {
    for (size_t balancers : kSizes) {
      QuietFleet fleet{deadline, balancers};
      BOOST_TEST_INFO(balancers << " balancers, " << deadline.count() << " ms");
      BOOST_TEST((fleet.LongestGap() * 3 <= deadline));
    }
  }
}

// Guards against a balancer that stopped without a word, so that the others
// still leave its turns to it.
BOOST_AUTO_TEST_CASE(MissedTurnsLeaveTimeToPassAChangeOn) {
  for (size_t balancers : kSizes) {
    if (balancers > 1) {
      QuietFleet fleet{Millis(5000), balancers};
      BOOST_TEST_INFO(balancers << " balancers");
      BOOST_TEST((fleet.LongestGap(1) * 2 <= fleet.deadline));
    }
  }
}

// Guards against a fleet whose calls grow with its size beyond those of watches
// that wait for as long as the platform allows.
BOOST_AUTO_TEST_CASE(CallsOfTheFleetDoNotGrowWithItsSize) {
  for (Millis deadline : kDeadlines) {
    double turns_per_second = 1000.0 * WatchSchedule::kTurnsPerDeadline /
                              static_cast<double>(deadline.count());
    for (size_t balancers : kSizes) {
      double longest_waits =
          static_cast<double>(balancers) * 1000 /
          static_cast<double>(WatchSchedule::kMaxWait.count());
      BOOST_TEST_INFO(balancers << " balancers, " << deadline.count() << " ms");
      // The last call of each balancer ends after the duration.
      double calls = (QuietFleet{deadline, balancers}.CallsPerSecond());
      double last_calls = static_cast<double>(balancers) * 1000 /
                          static_cast<double>(kDuration.count());
      BOOST_TEST(calls <=
                 1.01 * std::max(turns_per_second, longest_waits) + last_calls);
    }
  }
}

// Guards against a rate that depends on clocks that agree.
BOOST_AUTO_TEST_CASE(CallsDoNotDependOnClocksThatAgree) {
  QuietFleet fleet{Millis(5000), 16};
  double calls = fleet.CallsPerSecond();
  for (size_t rank = 0; rank < fleet.balancers; ++rank) {
    fleet.clock_offsets[rank] = Millis(static_cast<int64_t>(rank) * 777 - 5000);
  }
  BOOST_TEST(fleet.CallsPerSecond() <= calls + 1);
  // Turns may coincide, but each balancer asks again after its own period.
  BOOST_TEST((fleet.LongestGap() <= WatchSchedule::kMaxWait));
}

}  // namespace
}  // namespace filberthollow::decision::membership
