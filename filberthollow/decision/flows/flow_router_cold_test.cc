// Tests how a balancer places new flows while upstreams are cold.
#include <boost/test/unit_test.hpp>

#include "filberthollow/decision/load/cold_limit.h"
#include "filberthollow/testing/router_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using flow::Reason;
using testing::ActionsOfType;
using testing::kDesk;
using testing::kFirstAgent;
using testing::kSecondAgent;
using testing::kStep;
using testing::Opening;

struct Fixture : testing::RouterFixture {
  Fixture() { WaitForDiscovery({kFirstAgent, kSecondAgent}); }

  void ReportRoom(base::Address agent, uint16_t openings_left) {
    Report(agent, kDesk, {.slots = 4, .openings_left = openings_left});
  }
  RouterActions OpenFrom(uint16_t port) {
    flow::PacketHeader header = Opening();
    header.source.port = port;
    return FromCaller(header);
  }
  // Returns the agents that `count` new flows are offered to.
  std::multiset<base::Address> Offer(uint16_t count) {
    std::multiset<base::Address> agents;
    for (uint16_t port = 1; port <= count; ++port) {
      for (const auto& sent : ActionsOfType<SendForward>(OpenFrom(port))) {
        agents.insert(sent.agent);
      }
    }
    return agents;
  }
};

void CheckReset(const RouterActions& actions, Reason reason) {
  auto resets = ActionsOfType<ResetCaller>(actions);
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == reason));
}

// Guards against offers that an agent must refuse.
BOOST_FIXTURE_TEST_CASE(UpstreamWithoutRoomIsAvoided, Fixture) {
  ReportRoom(kFirstAgent, 0);
  BOOST_TEST(Offer(20).count(kSecondAgent) == 20U);
}

// The first agent is the better one for all these flows until it is full.
BOOST_FIXTURE_TEST_CASE(UpstreamGetsNoMoreFlowsThanItHasRoomFor, Fixture) {
  Report(kSecondAgent, kDesk, {.slots = 1, .in_flight = 60});
  ReportRoom(kFirstAgent, 2);
  auto agents = Offer(20);
  BOOST_TEST(agents.count(kFirstAgent) == 2U);
  BOOST_TEST(agents.count(kSecondAgent) == 18U);
}

// Guards against callers that wait for their timeout while no upstream has
// room.
BOOST_FIXTURE_TEST_CASE(FlowIsResetAtOnceIfAllUpstreamsAreFull, Fixture) {
  ReportRoom(kFirstAgent, 0);
  ReportRoom(kSecondAgent, 0);
  CheckReset(FromCaller(Opening()), Reason::kColdLimit);
}

// The load of a balancer is always older than the agent's count.
BOOST_FIXTURE_TEST_CASE(FlowRefusedByFullAgentGoesToTheNextOne, Fixture) {
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  auto second = ActionsOfType<SendForward>(
      Answer(first, Holding::kRefused, Reason::kColdLimit));
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST((second[0].agent != first));
  CheckReset(Answer(second[0].agent, Holding::kRefused, Reason::kColdLimit),
             Reason::kColdLimit);
}

// Guards against a reset, which says that nothing has run, of a flow that an
// upstream may accept late.
BOOST_FIXTURE_TEST_CASE(FlowWithUnansweredOfferIsNotReset, Fixture) {
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  ReportRoom(first == kFirstAgent ? kSecondAgent : kFirstAgent, 0);
  RouterActions end = Answer(first, Holding::kRefused, Reason::kUpstreamSilent);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_REQUIRE(ActionsOfType<DropPacket>(end).size() == 1U);
  BOOST_TEST((ActionsOfType<DropPacket>(end)[0].reason == Reason::kColdLimit));
}

// Guards against a full upstream that is not tried again until its next report.
BOOST_FIXTURE_TEST_CASE(OldLoadDoesNotKeepFlowsAway, Fixture) {
  for (base::Address agent : {kFirstAgent, kSecondAgent}) {
    router.OnReport({.service = kDesk,
                     .data_centre = testing::kLocalDataCentre,
                     .state = UpstreamState::kReady,
                     .load = {.slots = 4, .openings_left = 0},
                     .interval = Millis(5000)},
                    agent, now);
  }
  CheckReset(OpenFrom(1), Reason::kColdLimit);
  AdvanceTime(load::ColdLimiter::kWindow + kStep, {});
  BOOST_TEST(ActionsOfType<SendForward>(OpenFrom(2)).size() == 1U);
}

}  // namespace
}  // namespace filberthollow::decision::flows
