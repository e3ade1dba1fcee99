// Tests of FlowRouter while it lacks agents, routes or time: after its start,
// when it is cut off, and without a configuration.
#include "filberthollow/decision/flows/flow_router.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "filberthollow/testing/router_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Address;
using base::Millis;
using flow::Reason;
using testing::ActionsOfType;
using testing::BytesOf;
using testing::Data;
using testing::IdempotentFlow;
using testing::kDeskFlow;
using testing::kFirstAgent;
using testing::kLocalDataCentre;
using testing::kSecondAgent;
using testing::kStep;
using testing::kThirdAgent;
using testing::Opening;

using Fixture = testing::RouterFixture;

// After a power failure agents and balancers start together. Resetting new
// flows until the balancers knew an agent used up the retries of the callers.
BOOST_FIXTURE_TEST_CASE(NewFlowsWaitForFirstAgentDuringDiscovery, Fixture) {
  BOOST_TEST(FromCaller(Opening()).empty());
  BOOST_TEST(AdvanceTime(Millis(100), {}).empty());
  Report(kFirstAgent);
  auto offers = ActionsOfType<SendForward>(AdvanceTime(kStep, {}));
  BOOST_REQUIRE(offers.size() == 1U);
  BOOST_TEST((offers[0].agent == kFirstAgent));
}

BOOST_FIXTURE_TEST_CASE(NewFlowWithoutAgentIsResetAfterDiscovery, Fixture) {
  WaitForDiscovery({});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(Opening())).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NoFlowIsResetAsUnknownDuringDiscovery, Fixture) {
  Report(kFirstAgent);
  FromCaller(Data(101, 500));
  BOOST_TEST(ActionsOfType<ResetCaller>(Answer(kFirstAgent, Holding::kNotHeld))
                 .empty());
}

// After a restart the caller's packets arrive before the reports of all agents.
BOOST_FIXTURE_TEST_CASE(FlowIsFoundAtAgentDiscoveredDuringSearch, Fixture) {
  BOOST_TEST(FromCaller(Data(101, 500)).empty());
  Report(kFirstAgent);
  BOOST_TEST(ActionsOfType<SendLocate>(AdvanceTime(kStep, {})).size() == 1U);
  BOOST_TEST(Answer(kFirstAgent, Holding::kNotHeld).empty());
  Report(kSecondAgent);
  auto asked = ActionsOfType<SendLocate>(AdvanceTime(kStep, {}));
  BOOST_REQUIRE(asked.size() == 1U);
  BOOST_TEST((asked[0].agent == kSecondAgent));
  auto sent = ActionsOfType<SendForward>(Answer(kSecondAgent, Holding::kHeld));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kSecondAgent));
}

// After a power failure of a large fleet callers wait on flows that are lost,
// and give up before a discovery that takes as long as two report intervals.
BOOST_FIXTURE_TEST_CASE(DiscoveryOfAgentsThatRepeatReportsIsIndependentOfFleet,
                        Fixture) {
  constexpr Millis kLongInterval{2950};
  auto report = [this](ReportConfirmation confirmation) {
    router.OnReport({.service = testing::kDesk,
                     .state = UpstreamState::kReady,
                     .interval = kLongInterval,
                     .confirmation = confirmation},
                    kFirstAgent, now);
  };
  report(ReportConfirmation::kWanted);
  FromCaller(Data(101, 500));
  BOOST_TEST(ActionsOfType<ResetCaller>(Answer(kFirstAgent, Holding::kNotHeld))
                 .empty());
  RouterActions end = AdvanceTime(FlowRouter::kDiscoveryPeriod + kStep, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).size() == 1U);
}

// A report of an agent is confirmed only if it was received; an answer of the
// agent to a question says nothing of its upstream's state.
BOOST_FIXTURE_TEST_CASE(OnlyAReceivedReportIsConfirmed, Fixture) {
  BOOST_TEST(!router.HasReportOf(kFirstAgent, now));
  router.OnKnownAgents({{{kFirstAgent, testing::kDesk, false, Millis(0)}}},
                       now);
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kNotHeld);
  BOOST_TEST(!router.HasReportOf(kFirstAgent, now));
  Report(kFirstAgent);
  BOOST_TEST(router.HasReportOf(kFirstAgent, now));
}

// The balancer may be cut off from all agents, which may hold the flow.
BOOST_FIXTURE_TEST_CASE(BalancerWithoutAgentsResetsNoFlow, Fixture) {
  FromCaller(Data(101, 500));
  RouterActions end = AdvanceTime(
      FlowRouter::kDiscoveryPeriod + FlowRouter::kSearchTimeout, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
}

// One of the asked agents is forgotten while another is discovered, so that the
// number of known agents stays the same.
BOOST_FIXTURE_TEST_CASE(AgentThatReplacesForgottenAgentIsAsked, Fixture) {
  Report(kFirstAgent);
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecondAgent, now);
  FromCaller(Data(101, 500));
  AdvanceTime(FlowRouter::kMinSilence + kStep, {kFirstAgent});
  Answer(kFirstAgent, Holding::kNotHeld);
  Report(kThirdAgent);
  auto asked = ActionsOfType<SendLocate>(AdvanceTime(kStep, {kFirstAgent}));
  BOOST_REQUIRE(asked.size() == 1U);
  BOOST_TEST((asked[0].agent == kThirdAgent));
}

// Guards against a balancer that starts while an agent restarts as planned, and
// takes the agents that it hears for all agents.
BOOST_FIXTURE_TEST_CASE(FlowOfAgentNamedByAnotherBalancerIsNotReset, Fixture) {
  Report(kFirstAgent);
  router.OnKnownAgents(
      {{{kSecondAgent, testing::kDesk, /*leaving=*/true, Millis(300)}}}, now);
  WaitForDiscovery({kFirstAgent});
  RouterActions end = FromCaller(Data(101, 500));
  BOOST_TEST(ActionsOfType<SendLocate>(end).size() == 2U);
  Answer(kFirstAgent, Holding::kNotHeld);
  end = AdvanceTime(FlowRouter::kSearchTimeout * 3, {kFirstAgent});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  // Once the agent has returned, it is asked again.
  Report(kSecondAgent);
  FromCaller(Data(101, 500));
  BOOST_TEST(
      ActionsOfType<SendForward>(Answer(kSecondAgent, Holding::kHeld)).size() ==
      1U);
}

BOOST_FIXTURE_TEST_CASE(AgentsThatLeaveOrAreSilentAreNamed, Fixture) {
  Report(kFirstAgent);
  Report(kSecondAgent);
  Report(kThirdAgent);
  BOOST_TEST(router.ListAgents(now, AgentFilter::kAbsent).empty());
  UpstreamReport leaving{.service = testing::kDesk,
                         .state = UpstreamState::kDraining,
                         .interval = Millis(200),
                         .leaving = true};
  BOOST_TEST(router.OnReport(leaving, kSecondAgent, now));
  BOOST_TEST(!router.OnReport(leaving, kSecondAgent, now));
  // An agent without an upstream holds no flow.
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  Address{4, 7000}, now);
  Millis silence = FlowRouter::kMinSilence + kStep;
  AdvanceTime(silence, {kFirstAgent});
  auto named = router.ListAgents(now, AgentFilter::kAbsent);
  BOOST_REQUIRE(named.size() == 1U);
  KnownAgents expected{{{kSecondAgent, testing::kDesk, true, silence},
                        {kThirdAgent, testing::kDesk, false, silence}}};
  BOOST_TEST((named[0] == expected));
  named = router.ListAgents(now, AgentFilter::kAll);
  BOOST_REQUIRE(named.size() == 1U);
  BOOST_TEST(named[0].agents.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(KnownAgentsAreNamedInSeveralMessages, Fixture) {
  for (uint32_t host = 1; host <= kMaxKnownAgents + 1; ++host) {
    Report({host, 7000});
  }
  AdvanceTime(FlowRouter::kMinSilence + kStep, {});
  auto named = router.ListAgents(now, AgentFilter::kAbsent);
  BOOST_REQUIRE(named.size() == 2U);
  BOOST_TEST(named[0].agents.size() == kMaxKnownAgents);
  BOOST_TEST(named[1].agents.size() == 1U);
}

// Other balancers serve callers better until this one hears an agent itself.
BOOST_FIXTURE_TEST_CASE(NamedAgentsMakeBalancerNeitherReadyNorIsolated,
                        Fixture) {
  for (uint32_t host = 11; host <= 15; ++host) {
    router.OnKnownAgents(
        {{{{host, 7000}, testing::kDesk, /*leaving=*/true, Millis(0)}}}, now);
  }
  router.OnTick(now, actions);
  BOOST_TEST(!router.IsReady(now));
  Report(kFirstAgent);
  router.OnTick(now, actions);
  BOOST_TEST(router.IsReady(now));
}

BOOST_FIXTURE_TEST_CASE(OwnReportsCountMoreThanNamedAgents, Fixture) {
  WaitForDiscovery({kFirstAgent});
  router.OnKnownAgents(
      {{{kFirstAgent, testing::kDesk, /*leaving=*/true, Millis(5000)}}}, now);
  router.OnKnownAgents({{{kSecondAgent, testing::kDesk, /*leaving=*/true,
                          FlowRouter::kAgentExpiry + Millis(1)}}},
                       now);
  BOOST_TEST(router.Agents().size() == 1U);
  BOOST_TEST(router.ListAgents(now, AgentFilter::kAbsent).empty());
}

// Otherwise the caller is not reset until it retransmits, after up to 1.6 s.
BOOST_FIXTURE_TEST_CASE(PendingSearchEndsWithResetAfterDiscovery, Fixture) {
  Report(kFirstAgent);
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kNotHeld);
  BOOST_TEST(ActionsOfType<ResetCaller>(
                 AdvanceTime(FlowRouter::kDiscoveryPeriod, {kFirstAgent}))
                 .empty());
  auto resets = ActionsOfType<ResetCaller>(
      AdvanceTime(FlowRouter::kSearchTimeout, {kFirstAgent}));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoSuchFlow));
}

// With a report interval of 1.2 s some agents are still unknown one second
// after the start.
BOOST_FIXTURE_TEST_CASE(DiscoveryLastsLongerWithLongReportIntervals, Fixture) {
  WaitForDiscovery({});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kReady,
                   .interval = Millis(1200)},
                  kFirstAgent, now);
  FromCaller(Data(101, 500));
  BOOST_TEST(ActionsOfType<ResetCaller>(Answer(kFirstAgent, Holding::kNotHeld))
                 .empty());
}

// Guards against a balancer that has heard an agent, but not that it restarts.
BOOST_FIXTURE_TEST_CASE(NewsOfKnownAgentIsTakenIfNewer, IdempotentFlow) {
  router.OnKnownAgents(
      {{{kFirstAgent, testing::kMaps, /*leaving=*/true, Millis(0)}}}, now);
  AdvanceTime(FlowRouter::kMinSilence + kStep, {kSecondAgent});
  for (uint32_t sequence : {101U, 601U, 1101U}) {
    data.sequence = sequence;
    RouterActions end = FromCaller(data);
    BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
    BOOST_TEST(ActionsOfType<SendForward>(end).size() == 1U);
  }
}

// An agent that is not discovered yet may hold the flow, whatever has become of
// those that are known.
BOOST_FIXTURE_TEST_CASE(UnsureAgentThatIsGoneEndsNoSearchDuringDiscovery,
                        Fixture) {
  Report(kFirstAgent);
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kUnsure);
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kFirstAgent, now);
  RouterActions early = AdvanceTime(FlowRouter::kSearchTimeout + kStep * 2, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(early).empty());
}

// An isolated balancer must be taken out of rotation soon: until then, packets
// sent to it are lost.
BOOST_FIXTURE_TEST_CASE(BalancerThatHearsNoAgentIsNotReady, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  AdvanceTime(FlowRouter::kIsolationTimeout, {});
  BOOST_TEST(router.IsReady(now));
  AdvanceTime(kStep, {});
  BOOST_TEST(!router.IsReady(now));
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(Opening())).size() == 1U);
}

// Agents that started after the balancer was cut off may still be heard.
BOOST_FIXTURE_TEST_CASE(BalancerThatHearsFewAgentsIsNotReady, Fixture) {
  std::set<Address> agents;
  for (uint32_t host = 1; host <= 5; ++host) {
    agents.insert({host, 7000});
  }
  WaitForDiscovery(agents);
  AdvanceTime(FlowRouter::kIsolationTimeout + kStep, {kFirstAgent});
  BOOST_TEST(!router.IsReady(now));
  AdvanceTime(kStep, agents);
  BOOST_TEST(router.IsReady(now));
}

BOOST_FIXTURE_TEST_CASE(OneSilentAgentDoesNotIsolateBalancer, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  AdvanceTime(FlowRouter::kMinSilence * 2, {kFirstAgent});
  BOOST_TEST(router.IsReady(now));
}

BOOST_FIXTURE_TEST_CASE(BalancerIsReadyWithRoutesAndAnAgent, Fixture) {
  BOOST_TEST(!router.IsReady(now));
  Report(kFirstAgent);
  BOOST_TEST(router.IsReady(now));
  AdvanceTime(FlowRouter::kMinSilence + kStep, {});
  BOOST_TEST(!router.IsReady(now));
}

// Guards against a balancer that takes the time in which it did not run for
// time in which all agents have reported.
BOOST_FIXTURE_TEST_CASE(PauseIsNotDiscovery, Fixture) {
  Report(kFirstAgent);
  now = now + FlowRouter::kDiscoveryPeriod * 2;
  FromCaller(Data(101, 500));
  RouterActions end = Answer(kFirstAgent, Holding::kNotHeld);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
}

// Guards against a balancer that resets the flows of a route that it does not
// know yet: another balancer has already opened flows under a newer
// configuration.
BOOST_FIXTURE_TEST_CASE(FlowOfRouteThatIsNotKnownYetIsServed, Fixture) {
  WaitForDiscovery({kFirstAgent});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kReady,
                   .revision = 6,
                   .interval = Millis(200)},
                  kFirstAgent, now);
  flow::PacketHeader data = Data(101, 500);
  data.destination = testing::kUnknownRoute;
  RouterActions asked = FromCaller(data);
  BOOST_TEST(ActionsOfType<ResetCaller>(asked).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(asked).size() == 1U);
  router.OnLocated({.flows = {{data.FromCaller(), Holding::kHeld}}},
                   kFirstAgent, now, actions);
  BOOST_TEST(ActionsOfType<SendForward>(Take()).size() == 1U);
  // Once it has that configuration, the balancer knows that there is no route.
  router.SetRoutes(testing::TwoRoutes(6));
  auto resets = ActionsOfType<ResetCaller>(FromCaller(data));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoRoute));
}

// Guards against a balancer that has just started with an older configuration,
// and has heard of no newer one yet.
BOOST_FIXTURE_TEST_CASE(NoOpenFlowIsResetForItsRouteDuringDiscovery, Fixture) {
  flow::PacketHeader data = Data(101, 500);
  data.destination = testing::kUnknownRoute;
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).empty());
  WaitForDiscovery({kFirstAgent});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).size() == 1U);
}

// Guards against a balancer that refuses new flows of a route that other
// balancers serve already.
BOOST_FIXTURE_TEST_CASE(NewFlowWaitsForNewerConfigurationOfPeer, Fixture) {
  WaitForDiscovery({kFirstAgent});
  router.OnPeerRevision(6);
  BOOST_TEST(
      ActionsOfType<ResetCaller>(FromCaller(Opening(testing::kUnknownRoute)))
          .empty());
  router.SetRoutes(testing::TwoRoutes(6));
  BOOST_TEST(
      ActionsOfType<ResetCaller>(FromCaller(Opening(testing::kUnknownRoute)))
          .size() == 1U);
}

// A balancer that has restarted while the store of the configuration is away.
struct Unconfigured : Fixture {
  Unconfigured() { router.SetRoutes(std::make_shared<RouteTable>()); }
};

// Guards against a fleet that restarted during an outage of the store and
// served nothing until its end, though every upstream still held its flows.
BOOST_FIXTURE_TEST_CASE(OpenFlowIsServedWithoutConfiguration, Unconfigured) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  BOOST_TEST(router.IsReady(now));
  RouterActions asked = FromCaller(Data(101, 500));
  BOOST_TEST(ActionsOfType<SendLocate>(asked).size() == 2U);
  auto sent = ActionsOfType<SendForward>(Answer(kSecondAgent, Holding::kHeld));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kSecondAgent));
  sent = ActionsOfType<SendForward>(FromCaller(Data(601, 500)));
  BOOST_TEST(sent.size() == 1U);
}

// Whether the requests of a flow may be repeated is not known then, so its flow
// is not given up while an agent is only silent.
BOOST_FIXTURE_TEST_CASE(FlowOfSilentAgentIsNotResetWithoutConfiguration,
                        Unconfigured) {
  WaitForDiscovery({kFirstAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kHeld);
  AdvanceTime(FlowRouter::kMinSilence + kStep, {kSecondAgent});
  RouterActions end = FromCaller(Data(601, 500));
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<SendForward>(end).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NewFlowWaitsForConfigurationDuringDiscovery,
                        Unconfigured) {
  Report(kFirstAgent);
  BOOST_TEST(FromCaller(Opening()).empty());
  router.SetRoutes(testing::TwoRoutes(5));
  auto sent = ActionsOfType<SendForward>(AdvanceTime(kStep, {kFirstAgent}));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kFirstAgent));
}

BOOST_FIXTURE_TEST_CASE(NewFlowWithoutConfigurationIsResetAfterDiscovery,
                        Unconfigured) {
  Report(kFirstAgent);
  FromCaller(Opening());
  auto resets = ActionsOfType<ResetCaller>(
      AdvanceTime(FlowRouter::kDiscoveryPeriod + kStep, {kFirstAgent}));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNotReady));
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(Opening())).size() == 1U);
}

// Another balancer may have the configuration that the agent has; callers are
// better off there.
BOOST_FIXTURE_TEST_CASE(BalancerWithoutRoutesIsNotReadyIfAnAgentHasRoutes,
                        Unconfigured) {
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kReady,
                   .revision = 5,
                   .interval = Millis(200)},
                  kFirstAgent, now);
  BOOST_TEST(!router.IsReady(now));
  router.SetRoutes(testing::TwoRoutes(5));
  BOOST_TEST(router.IsReady(now));
}

}  // namespace
}  // namespace filberthollow::decision::flows
