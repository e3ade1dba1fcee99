// Checks the lab itself, and the load decisions of the product by replaying the
// load pattern that each of them answers.
#include <boost/test/unit_test.hpp>
#include <filesystem>

#include "filberthollow/lab/baselines.h"
#include "filberthollow/lab/experiment.h"
#include "filberthollow/lab/optimum.h"
#include "filberthollow/lab/pattern_fixtures.h"

namespace filberthollow::lab {
namespace {

using base::Millis;

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameResult) {
  Pattern pattern = Named("release-under-load");
  const Policy& product = *FindPolicy(kProductPolicy);
  BOOST_TEST(
      (RunPattern(pattern, product, 7) == RunPattern(pattern, product, 7)));
  BOOST_TEST(
      (RunPattern(pattern, product, 7) != RunPattern(pattern, product, 8)));
}

BOOST_AUTO_TEST_CASE(PoliciesMeetTheSameArrivals) {
  Pattern pattern = Named("calm-wave");
  RunResult product = RunPattern(pattern, *FindPolicy(kProductPolicy), 7);
  RunResult random = RunPattern(pattern, *FindPolicy("random"), 7);
  BOOST_TEST(product.kinds[0].asked == random.kinds[0].asked);
  BOOST_TEST(product.kinds[1].asked == random.kinds[1].asked);
}

BOOST_AUTO_TEST_CASE(EveryPatternIsReadAndNoPolicyExceedsTheBound) {
  size_t patterns = 0;
  for (const auto& file : std::filesystem::directory_iterator(LAB_PATTERNS)) {
    Pattern pattern = Named(file.path().stem());
    BOOST_TEST(pattern.name == file.path().stem().string());
    pattern.seconds = std::min(pattern.seconds, 7U);
    for (const char* policy : {kProductPolicy, "perfect"}) {
      RunResult result = RunPattern(pattern, *FindPolicy(policy), 1);
      BOOST_TEST(result.worth <= result.optimum + 1e-9, pattern.name);
    }
    ++patterns;
  }
  BOOST_TEST(patterns >= 14U);
}

// One slot for 100 ms, and two requests of 80 ms that both want it at once.
BOOST_AUTO_TEST_CASE(BoundKnowsThatWorkCannotBeDoneTwiceAtATime) {
  OfferedRequest request{.from = Millis(0),
                         .goal = Millis(99),
                         .limit = Millis(99),
                         .work_ms = 80,
                         .worth = 1,
                         .late_worth = 0};
  double bound = UpperBound({{request, request}, {50, 50}});
  BOOST_TEST(bound >= 1.0);
  BOOST_TEST(bound <= 1.4);
  BOOST_TEST(UpperBound({{request}, {50, 50}}) >= 0.99);
}

BOOST_AUTO_TEST_CASE(InvalidPatternNamesFileFieldAndRange) {
  auto unknown = ParsePattern(
      R"({"name": "a", "answers": "b", "kinds": [{"name": "c"}], "x": 1})",
      "a.json");
  BOOST_REQUIRE(!unknown);
  BOOST_TEST(unknown.error().Text().find("a.json.x") != std::string::npos);
  auto outside = ParsePattern(
      R"({"name": "a", "answers": "b",
          "kinds": [{"name": "c", "goal_ms": 0}]})",
      "a.json");
  BOOST_REQUIRE(!outside);
  BOOST_TEST(outside.error().Text().find("a.json.kinds[0].goal_ms") !=
             std::string::npos);
  BOOST_TEST(outside.error().Text().find("60000") != std::string::npos);
}

// Answers the pattern burst-of-3: in order of arrival, all answers are late.
BOOST_AUTO_TEST_CASE(AdaptiveLifoServesABurstBetterThanOrderOfArrival) {
  BOOST_TEST(Gain("burst-of-3", "fifo").verdict == "better");
  BOOST_TEST(Gain("overload-by-one-kind", "fifo").verdict == "better");
}

// Answers the patterns of an overload, of many balancers and of a fleet that
// starts anew: the least loaded upstream draws all new flows until its next
// report.
BOOST_AUTO_TEST_CASE(SampledChoiceAvoidsHerds) {
  BOOST_TEST(Gain("burst-of-3", "least_work").verdict == "better");
  BOOST_TEST(Gain("herd-on-fresh-upstream", "least_work").verdict == "better");
  BOOST_TEST(Gain("cold-fleet", "least_work").verdict == "better");
}

// Answers the patterns of five data centres: compared with draws among all
// upstreams, draws in the own data centre must not cost callers anything in a
// burst or where a data centre has no upstreams, and serve them better while
// one is lost.
BOOST_AUTO_TEST_CASE(LocalFirstChoiceServesSeveralDataCentresAsWell) {
  BOOST_TEST(Gain("five-data-centres-one-lost", "sampled_2").verdict ==
             "better");
  BOOST_TEST(Gain("five-data-centres-burst", "sampled_2").verdict != "worse");
  BOOST_TEST(Gain("data-centres-without-upstreams", "sampled_2").verdict !=
             "worse");
}

// Answers the pattern slow-upstream: a choice that ignores load keeps sending
// flows to it.
BOOST_AUTO_TEST_CASE(ChoiceByLoadAvoidsASlowUpstream) {
  BOOST_TEST(Gain("slow-upstream", "random").verdict == "better");
}

// Answers the pattern all-restarted-without-configuration. The target is that
// open flows are served: 78% of the requests travel on long flows, and half of
// these are left after one second in which nothing ran.
BOOST_AUTO_TEST_CASE(OpenFlowsAreServedWhileThereIsNoConfiguration) {
  constexpr double kMinServed = 0.35;
  RunResult result = RunPattern(Named("all-restarted-without-configuration"),
                                *FindPolicy(kProductPolicy), 1);
  for (size_t second = 8; second < 11; ++second) {
    const Count& count = result.seconds[second];
    BOOST_TEST(static_cast<double>(count.in_goal) >=
               kMinServed * static_cast<double>(count.asked));
  }
}

// The engine must stay fast enough for sweeps. The bound is a ratio of counts,
// which are the same on every machine: events for each request.
BOOST_AUTO_TEST_CASE(EventsPerRequestStayFew) {
  constexpr uint64_t kMaxEventsPerRequest = 40;
  RunResult result =
      RunPattern(Named("calm-wave"), *FindPolicy(kProductPolicy), 1);
  uint64_t asked = result.kinds[0].asked + result.kinds[1].asked;
  BOOST_TEST(result.events <= kMaxEventsPerRequest * asked);
}

}  // namespace
}  // namespace filberthollow::lab
