#include "filberthollow/decision/load/cold_limit.h"

#include <boost/test/unit_test.hpp>

#include "filberthollow/decision/load/upstream_load.h"

namespace filberthollow::decision::load {
namespace {

using base::Millis;

constexpr Millis kStart{10'000};
constexpr Millis kOneMs{1};
constexpr double kRate = 3;
// When the limit of an agent that started at kStart applies.
constexpr Millis kLater{20'000};

BOOST_AUTO_TEST_CASE(NoRateMeansNoLimit) {
  ColdLimiter limiter({.overshoot = 1.25, .slack = 2}, kStart);
  for (int opening = 0; opening < 100; ++opening) {
    limiter.RecordOpening(kStart);
  }
  BOOST_TEST(limiter.OpeningsLeft(0, kStart) == kUnlimitedOpenings);
}

// Guards against a limit that is exceeded by two bursts on both sides of the
// boundary of a counting interval.
BOOST_AUTO_TEST_CASE(OpeningsCountForOneSecond) {
  ColdLimiter limiter({}, kStart);
  limiter.RecordOpening(kLater);
  limiter.RecordOpening(kLater + Millis(600));
  BOOST_TEST(limiter.OpeningsLeft(kRate, kLater + Millis(600)) == 1U);
  Millis later = kLater + ColdLimiter::kWindow;
  BOOST_TEST(limiter.OpeningsLeft(kRate, later) == 1U);
  BOOST_TEST(limiter.OpeningsLeft(kRate, later + kOneMs) == 2U);
}

// Guards against a limit that fills the slack, which is left for copies, and
// against one that never lets a flow reach an upstream with a low rate.
BOOST_AUTO_TEST_CASE(SlackAllowsOneOpeningButNoMore) {
  auto left = [](double rate, ColdBounds bounds) {
    return ColdLimiter(bounds, kStart).OpeningsLeft(rate, kLater);
  };
  BOOST_TEST(left(10, {.overshoot = 1.25, .slack = 3}) == 12U);
  BOOST_TEST(left(0.5, {.overshoot = 1, .slack = 3}) == 1U);
  BOOST_TEST(left(0.5, {.overshoot = 1, .slack = 0.4}) == 0U);
  BOOST_TEST(left(1e9, {}) == kUnlimitedOpenings - 1U);
}

// Guards against openings by an agent that was killed and those by its
// successor that exceed the limit together.
BOOST_AUTO_TEST_CASE(NewAgentWaitsForOneSecond) {
  ColdLimiter limiter({}, kStart);
  Millis end = kStart + ColdLimiter::kWindow;
  BOOST_TEST(limiter.OpeningsLeft(kRate, kStart) == 0U);
  BOOST_TEST(limiter.OpeningsLeft(kRate, end) == 0U);
  BOOST_TEST(limiter.OpeningsLeft(kRate, end + kOneMs) == 3U);
}

// Guards against unlimited openings by an agent that does not know the rate
// yet.
BOOST_AUTO_TEST_CASE(WithoutConfigurationOnlyStatedBoundsLimit) {
  BOOST_TEST(ColdLimiter({}, kStart).OpeningsLeft(std::nullopt, kStart) ==
             kUnlimitedOpenings);
  BOOST_TEST(
      ColdLimiter({.slack = 1}, kStart).OpeningsLeft(std::nullopt, kStart) ==
      0U);
}

BOOST_AUTO_TEST_CASE(DoubtEndsWithTheNextHeartbeat) {
  ColdDoubt doubt;
  BOOST_TEST(doubt.holds());
  doubt.OnHeartbeat(kStart);
  BOOST_TEST(!doubt.holds());
  doubt.Raise(kStart);
  doubt.OnHeartbeat(kStart);
  BOOST_TEST(doubt.holds());
  doubt.OnHeartbeat(kStart + kOneMs);
  BOOST_TEST(!doubt.holds());
}

}  // namespace
}  // namespace filberthollow::decision::load
