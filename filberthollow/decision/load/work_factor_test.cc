#include "filberthollow/decision/load/work_factor.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "filberthollow/decision/load/upstream_choice.h"

namespace filberthollow::decision::load {
namespace {

using base::Millis;

constexpr uint32_t kNominalUs = 40'000;
constexpr uint32_t kFlows = 4000;

// Sixteen equally busy upstreams with two slots.
struct Fleet {
  std::vector<UpstreamCandidate> candidates;

  Fleet() {
    for (uint32_t host = 1; host <= 16; ++host) {
      candidates.push_back({.agent = {host, 1},
                            .data_centre = host % 2,
                            .load = {.slots = 2,
                                     .in_flight = 2,
                                     .open_flows = 20,
                                     .in_flight_mean = 150,
                                     .work_us = kNominalUs}});
    }
  }
  double FactorOf(size_t index) const {
    return MeasuredWorkFactor().Of(candidates[index], UsualWorkUs(candidates));
  }
  std::vector<size_t> Choices(const UpstreamChoice& choice) const {
    std::vector<size_t> chosen;
    for (uint64_t key = 0; key < kFlows; ++key) {
      chosen.push_back(
          *choice.Choose(candidates, {1, key, UsualWorkUs(candidates)}));
    }
    return chosen;
  }
  size_t FlowsOf(size_t index) const {
    std::vector<size_t> chosen = Choices(DefaultUpstreamChoice());
    return static_cast<size_t>(std::count(chosen.begin(), chosen.end(), index));
  }
  // Returns whether the choices are those made without work times.
  bool ChoosesAsWithoutSpeed() const {
    EvenWorkFactor even;
    LeastWorkChoice least_work(even);
    return Choices(DefaultUpstreamChoice()) ==
           Choices(LocalFirstChoice(least_work));
  }
};

BOOST_FIXTURE_TEST_CASE(EvenFleetIsChosenFromAsBefore, Fleet) {
  BOOST_TEST(ChoosesAsWithoutSpeed());
}

// Guards against flows that are moved by noise: each work time is the mean of
// 48 requests, 3% of which take 7 times as long.
BOOST_FIXTURE_TEST_CASE(NoiseOfSkewedWorkChangesNoChoice, Fleet) {
  constexpr uint32_t kSamples = 48;
  std::mt19937 random(1);
  for (UpstreamCandidate& candidate : candidates) {
    uint32_t sum_us = 0;
    for (uint32_t i = 0; i < kSamples; ++i) {
      uint32_t work_us = kNominalUs * (20 + random() % 161) / 100;
      sum_us += random() % 100 < 3 ? work_us * 7 : work_us;
    }
    candidate.load.work_us = sum_us / kSamples;
    candidate.load.in_flight = static_cast<uint16_t>(random() % 4);
  }
  BOOST_TEST(ChoosesAsWithoutSpeed());
}

// One upstream in four works at 0.55 of the nominal speed, the others at 1.2.
BOOST_FIXTURE_TEST_CASE(SlowQuarterCountsByItsRatioToTheOthers, Fleet) {
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].load.work_us = kNominalUs * 100 / (i % 4 == 0 ? 55 : 120);
  }
  BOOST_TEST(FactorOf(0) > 2.1);
  BOOST_TEST(FactorOf(0) < 2.3);
  BOOST_TEST(FactorOf(1) == 1.0);
  BOOST_TEST(!ChoosesAsWithoutSpeed());
}

// Guards against a usual time between two speeds that is within noise of both.
BOOST_FIXTURE_TEST_CASE(HalvesOfUnevenSpeedKeepTheirRatio, Fleet) {
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].load.work_us = kNominalUs * 100 / (i % 2 == 0 ? 55 : 120);
  }
  BOOST_TEST(FactorOf(0) / FactorOf(1) == 120 / 55.0,
             boost::test_tools::tolerance(0.001));
}

// Guards against an upstream that answers every request at once with a failure
// and thereby draws all flows.
BOOST_FIXTURE_TEST_CASE(FastFailuresDoNotAttractAllFlows, Fleet) {
  candidates[1].load.work_us = 200;
  BOOST_TEST(FactorOf(1) == MeasuredWorkFactor::kMin);
  // It is drawn for one flow in four of its data centre at most.
  BOOST_TEST(FlowsOf(1) < kFlows / 3);
  // As busy as the others by twice their work, it is no longer preferred.
  candidates[1].load.in_flight = 5;
  candidates[1].load.open_flows = 50;
  BOOST_TEST(FlowsOf(1) < kFlows / 8);
}

// Guards against a slow upstream whose recovery stays unnoticed because it is
// never chosen.
BOOST_FIXTURE_TEST_CASE(SlowUpstreamStillGetsFlows, Fleet) {
  candidates[0].load.work_us = 100 * kNominalUs;
  BOOST_TEST(FactorOf(0) == MeasuredWorkFactor::kMax);
  candidates[0].load.in_flight = 0;
  candidates[0].load.open_flows = 4;
  BOOST_TEST(FlowsOf(0) > 0U);
}

BOOST_FIXTURE_TEST_CASE(UnknownWorkCountsAsUsual, Fleet) {
  for (size_t i = 0; i < 4; ++i) {
    candidates[i].load.work_us = 3 * kNominalUs;
  }
  BOOST_TEST(FactorOf(0) == 3.0);
  candidates[0].load.work_us = 0;  // for example, its agent has restarted
  BOOST_TEST(FactorOf(0) == 1.0);
  for (UpstreamCandidate& candidate : candidates) {
    candidate.load.work_us = 0;
  }
  BOOST_TEST(UsualWorkUs(candidates) == 0.0);
  BOOST_TEST(ChoosesAsWithoutSpeed());
}

// Guards against work times that hold forever when no request runs any more, or
// when no report arrives any more.
BOOST_FIXTURE_TEST_CASE(OldWorkCountsAsUnknown, Fleet) {
  UpstreamCandidate& slow = candidates[0];
  slow.load.work_us = 3 * kNominalUs;
  slow.load.work_age_ms = 4000;
  slow.load_age = kMaxWorkAge - Millis(4000);
  BOOST_TEST(FactorOf(0) == 3.0);
  slow.load_age = slow.load_age + Millis(1);
  BOOST_TEST(FactorOf(0) == 1.0);
  BOOST_TEST(UsualWorkUs(candidates) == double{kNominalUs});
}

}  // namespace
}  // namespace filberthollow::decision::load
