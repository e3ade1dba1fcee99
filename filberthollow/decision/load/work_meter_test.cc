#include "filberthollow/decision/load/work_meter.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "filberthollow/decision/load/work_factor.h"

namespace filberthollow::decision::load {
namespace {

using base::Millis;

constexpr uint32_t kSlots = 2;
constexpr uint32_t kNominalUs = 40'000;

// An upstream with two slots, of which a test keeps some busy.
struct BusyUpstream {
  Millis now{1000};
  WorkMeter meter{now};

  // Serves `count` requests of this work time, one after the other.
  void Serve(uint32_t count, Millis work, uint32_t in_flight = 1) {
    for (uint32_t i = 0; i < count; ++i) {
      now = now + work;
      meter.CountAnswer(in_flight, kSlots, now);
    }
  }
  void Idle(Millis time) {
    now = now + time;
    meter.Advance(0, kSlots, now);
  }
  MeasuredWork Measured(uint32_t in_flight = 0) const {
    return meter.Measure(in_flight, kSlots, now);
  }
};

BOOST_FIXTURE_TEST_CASE(WorkIsUnknownUntilEnoughAnswers, BusyUpstream) {
  Serve(WorkMeter::kMinAnswers - 1, Millis(40));
  BOOST_TEST(Measured().work_us == 0U);
  Serve(1, Millis(40));
  BOOST_TEST(Measured().work_us > kNominalUs * 99 / 100);
  BOOST_TEST(Measured().work_us < kNominalUs * 101 / 100);
}

// Guards against an upstream that seems slow because it is popular: requests
// that wait for a slot are not work.
BOOST_FIXTURE_TEST_CASE(WaitingRequestsAreNotWork, BusyUpstream) {
  Serve(400, Millis(20), 6);  // two slots answer every 20 ms
  BOOST_TEST(Measured().work_us > kNominalUs * 99 / 100);
  BOOST_TEST(Measured().work_us < kNominalUs * 101 / 100);
}

BOOST_FIXTURE_TEST_CASE(IdleTimeIsNotWorkAndMakesTheValueOld, BusyUpstream) {
  Serve(200, Millis(40));
  Idle(Millis(3000));
  BOOST_TEST(Measured().work_us > kNominalUs * 99 / 100);
  BOOST_TEST(Measured().work_us < kNominalUs * 101 / 100);
  BOOST_TEST((Measured().age == Millis(3000)));
  BOOST_TEST((Measured(1).age == Millis(0)));
  // Little is left of what was measured, so that one request would decide.
  Idle(Millis(20'000));
  BOOST_TEST(Measured().work_us == 0U);
}

// Guards against an upstream that hangs while its health check passes and seems
// as fast as before.
BOOST_FIXTURE_TEST_CASE(WorkGrowsWhileAnswersStayAway, BusyUpstream) {
  Serve(200, Millis(40));
  now = now + Millis(3000);
  BOOST_TEST(Measured(2).work_us > 2 * kNominalUs);
  now = now + Millis(12'000);
  BOOST_TEST(Measured(2).work_us > MeasuredWorkFactor::kMax * kNominalUs);
}

// Guards against an upstream that is slow by 5 for 6 s and is noticed only when
// that is over, or avoided long after it.
BOOST_FIXTURE_TEST_CASE(SlownessAndRecoveryAreNoticed, BusyUpstream) {
  Serve(400, Millis(20), 2);
  Serve(30, Millis(100), 2);  // 3 s
  BOOST_TEST(Measured().work_us > kNoiseRatio * kNominalUs);
  Serve(30, Millis(100), 2);
  Serve(350, Millis(20), 2);  // 7 s
  BOOST_TEST(Measured().work_us < kNoiseRatio * kNominalUs);
}

BOOST_FIXTURE_TEST_CASE(AnotherRunStartsUnknown, BusyUpstream) {
  Serve(200, Millis(40));
  meter.Clear(now);
  BOOST_TEST((Measured() == MeasuredWork{}));
}

// Guards against differences in the size of requests that seem to be
// differences in speed: routes have means of 34 and 44 ms, and 3% of the
// requests take 7 times as long.
BOOST_AUTO_TEST_CASE(SkewedWorkSeldomLooksLikeAnotherSpeed) {
  constexpr int kUpstreams = 2000;
  constexpr double kMeanUs = 39'000 * (0.97 + 0.03 * 7);
  std::mt19937 random(1);
  int outside = 0;
  for (int i = 0; i < kUpstreams; ++i) {
    BusyUpstream upstream;
    for (uint32_t request = 0; request < WorkMeter::kMinAnswers; ++request) {
      uint32_t route_ms = random() % 2 == 0 ? 34 : 44;
      uint32_t work_ms = route_ms * (20 + random() % 161) / 100;
      upstream.Serve(1, Millis(random() % 100 < 3 ? work_ms * 7 : work_ms));
    }
    double ratio = upstream.Measured().work_us / kMeanUs;
    outside += ratio > kNoiseRatio || ratio < 1 / kNoiseRatio ? 1 : 0;
  }
  BOOST_TEST(outside <= kUpstreams / 1000);
}

}  // namespace
}  // namespace filberthollow::decision::load
