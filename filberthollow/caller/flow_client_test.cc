// Tests FlowClient together with the decisions of balancer and agent, over
// simulated links that lose, duplicate, delay and reorder messages.
#include "filberthollow/caller/flow_client.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/in_process_path.h"

namespace filberthollow::caller {
namespace {

using base::Millis;
using testing::InProcessPath;

constexpr testing::LinkFaults kBadLink{.loss_percent = 10,
                                       .repeat_percent = 20,
                                       .min_delay = Millis(1),
                                       .max_delay = Millis(40)};

// Long enough that message loss alone makes no request miss its deadline.
constexpr Millis kLongTimeout{20'000};

// Submits POST and GET requests in turn on every flow, each with a unique path.
void SubmitMix(InProcessPath& path, uint32_t first, uint32_t end) {
  for (uint32_t i = first; i < end; ++i) {
    for (auto& client : path.clients()) {
      bool update = i % 2 == 0;
      path.Submit(*client,
                  {.method = update ? flow::Method::kPost : flow::Method::kGet,
                   .path = "/" + std::to_string(client->address.port) + "-" +
                           std::to_string(i),
                   .idempotent = !update,
                   .timeout = kLongTimeout});
    }
    path.Run(Millis(60));
  }
}

// Checks every outcome against the upstreams' logs and returns the number of
// violations: requests without exactly one outcome, non-idempotent requests
// that ran more than once, requests reported as not run that did run, and
// answers to another request.
uint32_t CountViolations(InProcessPath& path, const std::string& service) {
  uint32_t violations = 0;
  for (auto& client : path.clients()) {
    violations += client->outcomes.size() != client->jobs.size() ? 1 : 0;
    for (const Outcome& outcome : client->outcomes) {
      const CallerRequest& request = client->jobs.at(outcome.request_id);
      uint32_t runs = path.RunsOf(request.path);
      violations += !request.idempotent && runs > 1 ? 1 : 0;
      violations += outcome.kind == OutcomeKind::kNotRun && runs > 0 ? 1 : 0;
      bool own = outcome.body.starts_with(service + " " + request.path);
      violations += outcome.kind == OutcomeKind::kAnswered && !own ? 1 : 0;
    }
  }
  return violations;
}

uint32_t CountAnswered(InProcessPath& path) {
  uint32_t answered = 0;
  for (auto& client : path.clients()) {
    for (const Outcome& outcome : client->outcomes) {
      answered += outcome.kind == OutcomeKind::kAnswered ? 1 : 0;
    }
  }
  return answered;
}

RC_BOOST_PROP(BadLinksLoseAndRepeatNothing, (uint16_t seed)) {
  InProcessPath path(kBadLink, seed);
  for (int i = 0; i < 3; ++i) {
    path.AddTarget("desk", {});
  }
  path.AddRouter();
  path.AddRouter();
  for (int i = 0; i < 4; ++i) {
    path.AddClient("desk");
  }
  SubmitMix(path, 0, 10);
  path.Run(kLongTimeout);
  RC_ASSERT(CountViolations(path, "desk") == 0u);
  RC_ASSERT(CountAnswered(path) == 40u);
}

RC_BOOST_PROP(ARestartedTargetRunsNothingTwice, (uint16_t seed)) {
  InProcessPath path(kBadLink, seed);
  path.AddTarget("desk", {});
  path.AddTarget("desk", {});
  path.AddRouter();
  path.AddRouter();
  for (int i = 0; i < 4; ++i) {
    path.AddClient("desk");
  }
  SubmitMix(path, 0, 4);
  path.Restart(*path.targets()[0]);
  path.PublishView(0);  // only one balancer has learned of the restart
  SubmitMix(path, 4, 8);
  path.Run(kLongTimeout);
  RC_ASSERT(CountViolations(path, "desk") == 0u);
}

RC_BOOST_PROP(ADrainingTargetCutsNothing, (uint16_t seed)) {
  InProcessPath path(kBadLink, seed);
  path.AddTarget("desk", {});
  path.AddTarget("desk", {});
  path.AddRouter();
  path.AddRouter();
  for (int i = 0; i < 4; ++i) {
    path.AddClient("desk");
  }
  SubmitMix(path, 0, 4);
  path.targets()[0]->flows->SetReadiness(decision::flows::Readiness::kDraining);
  path.PublishView(1);
  SubmitMix(path, 4, 8);
  path.PublishView(0);
  path.Run(kLongTimeout);
  RC_ASSERT(CountViolations(path, "desk") == 0u);
  RC_ASSERT(CountAnswered(path) == 32u);
}

BOOST_AUTO_TEST_CASE(ALargeAnswerArrivesWholeOverALossyLink) {
  InProcessPath path(
      {.loss_percent = 5, .min_delay = Millis(3), .max_delay = Millis(8)}, 11);
  path.AddTarget("maps", {}).answer_bytes = 3'000'000;
  path.AddRouter();
  auto& client = path.AddClient("maps");
  path.Submit(client, {.path = "/map", .timeout = Millis(60'000)});
  path.Run(Millis(60'000));
  BOOST_REQUIRE(client.outcomes.size() == 1u);
  BOOST_TEST((client.outcomes[0].kind == OutcomeKind::kAnswered));
  BOOST_TEST(client.outcomes[0].body.size() == 3'000'009u);
}

BOOST_AUTO_TEST_CASE(ADeadTargetGivesUnknownWithinTheDeadline) {
  InProcessPath path({}, 3);
  auto& target = path.AddTarget("desk", {});
  path.AddRouter();
  auto& client = path.AddClient("desk");
  path.Submit(client, {.path = "/warm-up"});
  path.Run(Millis(500));
  target.work_time = Millis(2000);
  path.Submit(client, {.method = flow::Method::kPost,
                       .path = "/file",
                       .idempotent = false,
                       .timeout = Millis(3000)});
  path.Run(Millis(100));
  target.crashed = true;
  path.Run(Millis(4000));
  BOOST_REQUIRE(client.outcomes.size() == 2u);
  BOOST_TEST((client.outcomes[1].kind == OutcomeKind::kUnknown));
  BOOST_TEST(client.outcomes[1].timed_out);
  BOOST_TEST(path.RunsOf("/file") == 1u);
}

BOOST_AUTO_TEST_CASE(ARetryStormIsBoundedByTheBudget) {
  InProcessPath path({}, 5);
  auto& target = path.AddTarget("desk", {.admission = {1, 0, 10}});
  target.work_time = Millis(5000);
  path.AddRouter();
  auto& client = path.AddClient("desk");
  for (int i = 0; i < 30; ++i) {
    path.Submit(client, {.path = "/" + std::to_string(i)});
  }
  path.Run(Millis(6000));
  uint64_t retries = client.flow->retries().at(
      static_cast<size_t>(flow::Reason::kRetryNotRun));
  BOOST_TEST(retries >= 3u);
  BOOST_TEST(retries <= 30u * 20 / 100);
}

}  // namespace
}  // namespace filberthollow::caller
