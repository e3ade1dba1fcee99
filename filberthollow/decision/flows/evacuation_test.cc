// Tests of evacuated data centres in the decisions of balancers and agents.
#include <boost/test/unit_test.hpp>

#include "filberthollow/decision/flows/evacuation_progress.h"
#include "filberthollow/testing/gate_fixture.h"
#include "filberthollow/testing/router_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using testing::ActionsOfType;
using testing::GateFixture;
using testing::kDesk;
using testing::kFirstAgent;
using testing::kSecondAgent;
using testing::kThirdAgent;
using testing::Opening;
using testing::RouterFixture;

constexpr const char* kNorth = "north";

membership::Evacuations Evacuated(std::vector<std::string> data_centres) {
  membership::Evacuations evacuations;
  evacuations.Update({20, std::move(data_centres)});
  return evacuations;
}

struct TwoDataCentres : RouterFixture {
  void ReportFrom(base::Address agent, std::string_view data_centre) {
    router.OnReport({.service = kDesk,
                     .data_centre = base::HashBytes(data_centre),
                     .state = UpstreamState::kReady,
                     .load = {.slots = 4, .in_flight = 2, .open_flows = 9},
                     .interval = base::Millis(200),
                     .evacuation_revision = agent == kFirstAgent ? 20U : 19U},
                    agent, now);
  }
  std::vector<SendForward> Offers() {
    return ActionsOfType<SendForward>(FromCaller(Opening()));
  }
};

BOOST_FIXTURE_TEST_CASE(NewFlowsAvoidAnEvacuatedDataCentre, TwoDataCentres) {
  WaitForDiscovery({});
  ReportFrom(kFirstAgent, kNorth);
  ReportFrom(kSecondAgent, "south");
  router.evacuation_filter().Set(Evacuated({kNorth}));
  auto offers = Offers();
  BOOST_REQUIRE(offers.size() == 1U);
  BOOST_TEST((offers[0].agent == kSecondAgent));
}

// Guards against callers that wait for a timeout, or see no_agent, when the
// only upstreams of the service are evacuated.
BOOST_FIXTURE_TEST_CASE(NewFlowIsRefusedIfAllUpstreamsAreEvacuated,
                        TwoDataCentres) {
  WaitForDiscovery({});
  ReportFrom(kFirstAgent, kNorth);
  ReportFrom(kSecondAgent, "south");
  router.evacuation_filter().Set(Evacuated({kNorth, "south"}));
  auto resets = ActionsOfType<ResetCaller>(FromCaller(Opening()));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == flow::Reason::kEvacuated));
}

// Guards against an entry whose name no data centre has.
BOOST_FIXTURE_TEST_CASE(UnknownNameHasNoEffect, TwoDataCentres) {
  WaitForDiscovery({});
  ReportFrom(kFirstAgent, kNorth);
  router.evacuation_filter().Set(Evacuated({"elsewhere"}));
  BOOST_TEST(Offers().size() == 1U);
}

// Guards against a balancer that has just started and places flows in an
// evacuated data centre because the configuration came before the list.
BOOST_FIXTURE_TEST_CASE(NewFlowWaitsForTheFirstList, TwoDataCentres) {
  router.evacuation_filter().AwaitList();
  ReportFrom(kFirstAgent, kNorth);
  ReportFrom(kSecondAgent, "south");
  BOOST_TEST(Offers().empty());
  router.evacuation_filter().Set(Evacuated({kNorth}));
  auto offers = ActionsOfType<SendForward>(AdvanceTime(testing::kStep, {}));
  BOOST_REQUIRE(offers.size() == 1U);
  BOOST_TEST((offers[0].agent == kSecondAgent));
}

// Guards against an outage of all services when the list can't be read.
BOOST_FIXTURE_TEST_CASE(NewFlowWaitsForTheListForALimitedTime, TwoDataCentres) {
  router.evacuation_filter().AwaitList();
  ReportFrom(kFirstAgent, kNorth);
  BOOST_TEST(Offers().empty());
  auto offers = ActionsOfType<SendForward>(
      AdvanceTime(EvacuationFilter::kMaxWait + testing::kStep, {kFirstAgent}));
  BOOST_TEST(offers.size() == 1U);
}

// Guards against a change for deployments in which nothing can be evacuated.
BOOST_FIXTURE_TEST_CASE(NewFlowDoesNotWaitWithoutEvacuations, TwoDataCentres) {
  ReportFrom(kFirstAgent, kNorth);
  BOOST_TEST(Offers().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ProgressCountsInformedAgentsAndOpenFlows,
                        TwoDataCentres) {
  ReportFrom(kFirstAgent, kNorth);
  ReportFrom(kSecondAgent, kNorth);
  ReportFrom(kThirdAgent, "south");
  auto progress = ProgressOf(Evacuated({kNorth}), router.Reports());
  BOOST_REQUIRE(progress.size() == 1U);
  DataCentreProgress expected{.name = kNorth,
                              .agents = 2,
                              .agents_informed = 1,
                              .open_flows = 18,
                              .in_flight = 4};
  BOOST_TEST((progress[0] == expected));
}

// Guards against a balancer with an older list: the agent is the last check.
BOOST_FIXTURE_TEST_CASE(AgentRefusesNewFlowsWhileEvacuated, GateFixture) {
  OpenFlow();
  gate.SetEvacuated(true, now, actions);
  BOOST_TEST(ActionsOfType<ReportNow>(TakeActions()).size() == 1U);
  auto header = Opening();
  header.source.port += 1;
  auto answers = ActionsOfType<AnswerBalancer>(Forward(header));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].answer.holding == Holding::kRefused));
  BOOST_TEST((answers[0].answer.reason == flow::Reason::kEvacuated));
  // The open flow continues.
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(testing::Data(101, 500)))
                 .size() == 1U);
  gate.SetEvacuated(false, now, actions);
  TakeActions();
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(header)).size() == 1U);
}

}  // namespace
}  // namespace filberthollow::decision::flows
