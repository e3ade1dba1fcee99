#include "filberthollow/decision/flows/upstream_runs.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::flows {
namespace {

using base::Millis;

constexpr Millis kInterval{1000};
const UpstreamRun kEarlierRun{"a", Millis(1000)};
const UpstreamRun kLaterRun{"b", Millis(2000)};

struct Fixture {
  Millis now{10'000};
  UpstreamRuns runs{kInterval};

  RunVerdict Beat(const UpstreamRun& run, uint64_t sequence) {
    return runs.OnHeartbeat(run, sequence, now);
  }
  void Wait(Millis time) { now = now + time; }
};

BOOST_FIXTURE_TEST_CASE(RunThatStartedLaterReplacesCurrentAtOnce, Fixture) {
  BOOST_TEST((Beat(kEarlierRun, 5) == RunVerdict::kFirst));
  BOOST_TEST((Beat(kLaterRun, 1) == RunVerdict::kReplaced));
  BOOST_TEST((runs.current() == kLaterRun));
  BOOST_TEST((Beat(kLaterRun, 1) == RunVerdict::kStale));
  BOOST_TEST((Beat(kLaterRun, 2) == RunVerdict::kCurrent));
}

// Guards against ignoring an upstream for good whose clock was set back before
// it was started again.
BOOST_FIXTURE_TEST_CASE(RunBeforeClockWasSetBackIsReplaced, Fixture) {
  Beat(kLaterRun, 5);
  Wait(Millis(1500));
  BOOST_TEST((Beat(kEarlierRun, 1) == RunVerdict::kEarlier));
  Wait(kInterval);
  BOOST_TEST((Beat(kEarlierRun, 2) == RunVerdict::kReplaced));
  BOOST_TEST((runs.current() == kEarlierRun));
}

// An identifier that is used again does not identify the run.
BOOST_FIXTURE_TEST_CASE(SameIdentifierAfterClockWasSetBackIsAnotherRun,
                        Fixture) {
  const UpstreamRun second{kLaterRun.id, Millis(500)};
  Beat(kLaterRun, 5);
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    Wait(kInterval);
    Beat(second, sequence);
  }
  BOOST_TEST((runs.current() == second));
}

BOOST_FIXTURE_TEST_CASE(LateHeartbeatsThatArriveTogetherReplaceNothing,
                        Fixture) {
  Beat(kLaterRun, 5);
  Wait(kInterval * 5);
  for (uint64_t sequence = 7; sequence < 20; ++sequence) {
    BOOST_TEST((Beat(kEarlierRun, sequence) == RunVerdict::kEarlier));
  }
}

// Guards against a clock that was ahead: the run that has ended appears to have
// started later than the current one.
BOOST_FIXTURE_TEST_CASE(LateHeartbeatOfEndedRunReplacesNothing, Fixture) {
  Beat(kLaterRun, 5);
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    Wait(kInterval);
    Beat(kEarlierRun, sequence);
  }
  BOOST_REQUIRE((runs.current() == kEarlierRun));
  BOOST_TEST((Beat(kLaterRun, 6) == RunVerdict::kEarlier));
  BOOST_TEST((runs.current() == kEarlierRun));
}

// A paused process hears no heartbeat of the current run.
BOOST_FIXTURE_TEST_CASE(PauseIsNotTheEndOfTheCurrentRun, Fixture) {
  Beat(kLaterRun, 5);
  Beat(kEarlierRun, 7);
  Wait(kInterval * 4);
  runs.OnProcessPaused(now);
  BOOST_TEST((Beat(kEarlierRun, 8) == RunVerdict::kEarlier));
  Wait(kInterval);
  BOOST_TEST((Beat(kEarlierRun, 9) == RunVerdict::kEarlier));
  BOOST_TEST((runs.current() == kLaterRun));
}

// Guards against an announcement of an earlier run that arrives late: it ended
// the run that had started under the same identifier.
BOOST_FIXTURE_TEST_CASE(LateEndOfAnEarlierRunDoesNotEndTheCurrentOne, Fixture) {
  const UpstreamRun second{kEarlierRun.id, Millis(5000)};
  Beat(kEarlierRun, 5);
  Beat(second, 3);
  BOOST_TEST(
      (runs.OnEnd(second.id, kEarlierRun.started, 6) == RunVerdict::kEarlier));
  BOOST_TEST((runs.OnEnd("x", Millis(0), 0) == RunVerdict::kEarlier));
  BOOST_TEST((runs.OnEnd(second.id, second.started, 3) == RunVerdict::kStale));
  BOOST_TEST((Beat(second, 4) == RunVerdict::kCurrent));
  BOOST_TEST(
      (runs.OnEnd(second.id, second.started, 5) == RunVerdict::kCurrent));
}

// A late heartbeat does not undo the end of its run, but a run that keeps
// sending heartbeats has not ended.
BOOST_FIXTURE_TEST_CASE(OnlyRepeatedHeartbeatsUndoTheEndOfTheirRun, Fixture) {
  Beat(kLaterRun, 5);
  runs.OnEnd(kLaterRun.id, Millis(0), 0);
  BOOST_TEST((Beat(kLaterRun, 6) == RunVerdict::kEarlier));
  Wait(kInterval);
  BOOST_TEST((Beat(kLaterRun, 7) == RunVerdict::kEarlier));
  Wait(kInterval);
  BOOST_TEST((Beat(kLaterRun, 8) == RunVerdict::kCurrent));
}

// A run that keeps sending heartbeats stays the current one, whatever late
// heartbeats of earlier runs arrive between them.
RC_BOOST_FIXTURE_PROP(LivingRunStaysCurrent, Fixture, ()) {
  Beat(kEarlierRun, 1);
  Beat(kLaterRun, 1);
  for (uint64_t sequence = 2; sequence < 20; ++sequence) {
    auto late = *rc::gen::container<std::vector<std::pair<bool, uint64_t>>>(
        rc::gen::pair(rc::gen::arbitrary<bool>(),
                      rc::gen::inRange<uint64_t>(0, 40)));
    for (const auto& [known, late_sequence] : late) {
      Wait(Millis(static_cast<int64_t>(kInterval.count() / (late.size() + 1))));
      Beat(known ? kEarlierRun : UpstreamRun{"c", Millis(500)}, late_sequence);
      RC_ASSERT(runs.current() == kLaterRun);
    }
    RC_ASSERT(Beat(kLaterRun, sequence) == RunVerdict::kCurrent);
  }
}

}  // namespace
}  // namespace filberthollow::decision::flows
