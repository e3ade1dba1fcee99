#include "filberthollow/decision/flows/flow_router.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::decision::flows {
namespace {

using base::Address;
using base::Millis;
using flow::Reason;
using testing::ActionsOfType;
using testing::Data;
using testing::kDeskFlow;
using testing::Opening;

constexpr Address kFirstAgent{1, 7000};
constexpr Address kSecondAgent{2, 7000};
constexpr Address kThirdAgent{3, 7000};
constexpr uint64_t kLocalDataCentre = 77;
constexpr Millis kStep{20};

// Returns a text that stands for the bytes of a packet.
std::string BytesOf(const flow::PacketHeader& header) {
  return "packet " + std::to_string(header.sequence);
}

struct Fixture {
  Millis now{10'000};
  FlowRouter router{kLocalDataCentre, now};
  RouterActions actions;

  Fixture() { router.SetRoutes(testing::TwoRoutes(5)); }

  RouterActions Take() { return std::exchange(actions, {}); }
  void Report(Address agent,
              base::ServiceId service = testing::kDesk,
              load::UpstreamLoad load = {.slots = 4}) {
    router.OnReport({.service = service,
                     .data_centre = kLocalDataCentre,
                     .state = UpstreamState::kReady,
                     .load = load,
                     .interval = Millis(200)},
                    agent, now);
  }
  RouterActions FromCaller(const flow::PacketHeader& header) {
    router.OnCallerPacket(BytesOf(header), header, now, actions);
    return Take();
  }
  RouterActions Answer(Address agent,
                       Holding holding,
                       Reason reason = {},
                       std::string packet = "") {
    bool located = packet.empty() && holding != Holding::kRefused;
    if (located && holding != Holding::kHeld) {
      router.OnLocated({.flows = {{kDeskFlow, holding}}}, agent, now, actions);
      return Take();
    }
    router.OnAnswer({.flow = kDeskFlow,
                     .holding = holding,
                     .reason = reason,
                     .packet = std::move(packet)},
                    Data(101, 500), agent, now, actions);
    return Take();
  }
  // Advances the time by `time` in steps of kStep; the agents in `reporting`
  // report at each step. Returns the actions of all ticks.
  RouterActions AdvanceTime(Millis time, const std::set<Address>& reporting) {
    RouterActions all;
    for (Millis end = now + time; now < end;) {
      now = now + kStep;
      for (Address agent : reporting) {
        Report(agent);
      }
      router.OnTick(now, actions);
      for (auto& action : Take()) {
        all.push_back(action);
      }
    }
    return all;
  }
  // Advances the time past the period in which the balancer may not know all
  // agents.
  void WaitForDiscovery(const std::set<Address>& reporting) {
    AdvanceTime(FlowRouter::kDiscoveryPeriod + kStep, reporting);
  }
};

BOOST_FIXTURE_TEST_CASE(OpenFlowStaysWithItsAgent, Fixture) {
  Report(kFirstAgent);
  auto offer = ActionsOfType<SendForward>(FromCaller(Opening()));
  BOOST_REQUIRE(offer.size() == 1U);
  BOOST_TEST((offer[0].agent == kFirstAgent));
  Answer(kFirstAgent, Holding::kHeld);
  Report(kSecondAgent);
  auto sent = ActionsOfType<SendForward>(FromCaller(Data(101, 500)));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kFirstAgent));
}

BOOST_FIXTURE_TEST_CASE(OpeningWithoutRouteIsReset, Fixture) {
  Report(kFirstAgent);
  auto resets =
      ActionsOfType<ResetCaller>(FromCaller(Opening(testing::kUnknownRoute)));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoRoute));
}

BOOST_FIXTURE_TEST_CASE(RefusedOfferGoesToNextUpstream, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  auto second = ActionsOfType<SendForward>(
      Answer(first, Holding::kRefused, Reason::kDraining));
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST((second[0].agent != first));
  auto last =
      Answer(second[0].agent, Holding::kRefused, Reason::kConnectionLimit);
  BOOST_REQUIRE(ActionsOfType<ResetCaller>(last).size() == 1U);
  BOOST_TEST((ActionsOfType<ResetCaller>(last)[0].reason == Reason::kNoAgent));
}

// Guards against a reset of a flow that its only upstream accepts late.
BOOST_FIXTURE_TEST_CASE(FlowThatASlowUpstreamMayAcceptIsNotReset, Fixture) {
  WaitForDiscovery({kFirstAgent});
  FromCaller(Opening());
  RouterActions end =
      Answer(kFirstAgent, Holding::kRefused, Reason::kUpstreamSilent);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<DropPacket>(end).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(UnansweredOfferGoesToNextUpstream, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  auto next = ActionsOfType<SendForward>(
      AdvanceTime(FlowRouter::kOfferTimeout + kStep, {}));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].agent != first));
}

// The answer to the offer was lost, but the caller already sends data. A
// further offer after the search would open the flow at a second upstream.
BOOST_FIXTURE_TEST_CASE(FoundFlowIsNotOfferedToOtherUpstreams, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  FromCaller(Data(101, 500));
  router.OnLocated({.flows = {{kDeskFlow, Holding::kHeld}}}, first, now,
                   actions);
  Take();
  RouterActions later = AdvanceTime(FlowRouter::kOfferTimeout + kStep,
                                    {kFirstAgent, kSecondAgent});
  BOOST_TEST(ActionsOfType<SendForward>(later).empty());
}

// The answer to the first offer may be lost although the flow is open.
BOOST_FIXTURE_TEST_CASE(FlowThatMayBeAcceptedIsNotReset, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  AdvanceTime(FlowRouter::kOfferTimeout + kStep, {});
  Address second = first == kFirstAgent ? kSecondAgent : kFirstAgent;
  RouterActions end = Answer(second, Holding::kRefused, Reason::kDraining);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<DropPacket>(end).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DuplicateOpeningPacketMakesNoSecondOffer, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Opening());
  BOOST_TEST(FromCaller(Opening(testing::kDeskRoute, 1)).empty());
}

BOOST_FIXTURE_TEST_CASE(OtherServicesAndDrainingUpstreamsGetNoOffers, Fixture) {
  Report(kFirstAgent, testing::kMaps);
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kDraining,
                   .interval = Millis(200)},
                  kSecondAgent, now);
  Report(kThirdAgent);
  for (uint16_t port = 1; port < 20; ++port) {
    flow::PacketHeader header = Opening();
    header.source.port = port;
    auto offers = ActionsOfType<SendForward>(FromCaller(header));
    BOOST_REQUIRE(offers.size() == 1U);
    BOOST_TEST((offers[0].agent == kThirdAgent));
  }
}

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

BOOST_FIXTURE_TEST_CASE(UnknownFlowIsFoundAndItsPacketsAreForwarded, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  BOOST_TEST(ActionsOfType<SendLocate>(FromCaller(Data(101, 500))).size() ==
             2U);
  BOOST_TEST(FromCaller(Data(601, 500)).empty());
  BOOST_TEST(Answer(kFirstAgent, Holding::kNotHeld).empty());
  auto sent = ActionsOfType<SendForward>(Answer(kSecondAgent, Holding::kHeld));
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST((sent[0].agent == kSecondAgent));
  BOOST_TEST(!sent[0].message.probe);
  BOOST_TEST(ActionsOfType<SendForward>(FromCaller(Data(1101, 10))).size() ==
             1U);
}

BOOST_FIXTURE_TEST_CASE(SearchStartsWithServicesOfRoute, Fixture) {
  WaitForDiscovery({kFirstAgent});
  Report(kSecondAgent, testing::kMaps);
  auto first = ActionsOfType<SendLocate>(FromCaller(Data(101, 500)));
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first[0].agent == kFirstAgent));
  RouterActions next = Answer(kFirstAgent, Holding::kNotHeld);
  BOOST_TEST(ActionsOfType<ResetCaller>(next).empty());
  auto second = ActionsOfType<SendLocate>(next);
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST((second[0].agent == kSecondAgent));
  BOOST_TEST(ActionsOfType<ResetCaller>(Answer(kSecondAgent, Holding::kNotHeld))
                 .size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(FlowThatNoUpstreamHoldsIsReset, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kNotHeld);
  auto resets =
      ActionsOfType<ResetCaller>(Answer(kSecondAgent, Holding::kNotHeld));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST(resets[0].sequence == testing::kUpstreamInitialSequence + 1);
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

BOOST_FIXTURE_TEST_CASE(PacketIsProbedOnceAtEachUnsureAgent, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kUnsure);
  BOOST_TEST(ActionsOfType<SendForward>(Answer(kSecondAgent, Holding::kUnsure))
                 .size() == 2U);
  BOOST_TEST(Answer(kFirstAgent, Holding::kNotHeld, Reason::kNoSuchFlow,
                    BytesOf(Data(101, 500)))
                 .empty());
  // The next packet goes as a probe to the remaining unsure agent.
  auto probe = ActionsOfType<SendForward>(FromCaller(Data(601, 500)));
  BOOST_REQUIRE(probe.size() == 1U);
  BOOST_TEST((probe[0].agent == kSecondAgent));
  BOOST_TEST(
      ActionsOfType<SendForward>(Answer(kSecondAgent, Holding::kHeld)).empty());
  BOOST_TEST(!ActionsOfType<SendForward>(FromCaller(Data(1101, 500)))
                  .at(0)
                  .message.probe);
}

// An agent that does not answer must not keep a packet from the agent whose
// upstream holds the flow.
BOOST_FIXTURE_TEST_CASE(PacketsAreProbedAfterTimeoutOfOtherAgents, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kUnsure);
  auto probes = ActionsOfType<SendForward>(
      AdvanceTime(FlowRouter::kSearchTimeout, {kFirstAgent}));
  BOOST_REQUIRE(probes.size() == 1U);
  BOOST_TEST((probes[0].agent == kFirstAgent));
}

// The upstream may hold the flow and have nothing to send.
BOOST_FIXTURE_TEST_CASE(UnansweredProbeDoesNotResetFlow, Fixture) {
  WaitForDiscovery({kFirstAgent});
  FromCaller(Data(101, 500));
  BOOST_TEST(ActionsOfType<SendForward>(Answer(kFirstAgent, Holding::kUnsure))
                 .size() == 1U);
  RouterActions end =
      AdvanceTime(FlowRouter::kSearchTimeout + kStep, {kFirstAgent});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<DropPacket>(end).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectedProbeResetsFlow, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kUnsure);
  Answer(kSecondAgent, Holding::kNotHeld);
  auto resets = ActionsOfType<ResetCaller>(
      Answer(kFirstAgent, Holding::kNotHeld, Reason::kNoSuchFlow,
             BytesOf(Data(101, 500))));
  BOOST_TEST(resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(PacketReturnedByTwoAgentsIsKeptOnce, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  Answer(kFirstAgent, Holding::kNotHeld, Reason::kNoSuchFlow,
         BytesOf(Data(101, 500)));
  Answer(kSecondAgent, Holding::kUnsure, Reason::kNoSuchFlow,
         BytesOf(Data(101, 500)));
  FromCaller(Data(101, 500));
  auto sent = ActionsOfType<SendForward>(Answer(kFirstAgent, Holding::kHeld));
  BOOST_TEST(sent.size() == 1U);
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

BOOST_FIXTURE_TEST_CASE(UnsureAgentGetsProbe, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kUnsure);
  RouterActions end = Answer(kSecondAgent, Holding::kNotHeld);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  auto probes = ActionsOfType<SendForward>(end);
  BOOST_REQUIRE(probes.size() == 1U);
  BOOST_TEST((probes[0].agent == kFirstAgent));
  BOOST_TEST(probes[0].message.probe);
}

BOOST_FIXTURE_TEST_CASE(NonIdempotentFlowIsNotResetWithoutAllAnswers, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Data(101, 500));
  Answer(kFirstAgent, Holding::kNotHeld);
  RouterActions end =
      AdvanceTime(FlowRouter::kSearchTimeout + kStep, {kFirstAgent});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(end).size() == 1U);  // asked once more
}

BOOST_FIXTURE_TEST_CASE(ReturnedPacketStartsSearch, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  FromCaller(Opening());
  Answer(kFirstAgent, Holding::kHeld);
  auto search = Answer(kFirstAgent, Holding::kNotHeld, Reason::kNoSuchFlow,
                       "handed back");
  BOOST_TEST(ActionsOfType<SendLocate>(search).size() == 2U);
}

struct IdempotentFlow : Fixture {
  flow::PacketHeader data = Data(101, 500);

  IdempotentFlow() {
    data.destination = testing::kMapsRoute;
    WaitForDiscovery({});
    Report(kFirstAgent, testing::kMaps);
    FromCaller(Opening(testing::kMapsRoute));
    router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kHeld}, {},
                    kFirstAgent, now, actions);
    Take();
  }
};

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

// Two upstreams may accept the same flow if the first answer is late. The
// cached one stopped responding while the caller continued with the other.
BOOST_FIXTURE_TEST_CASE(FlowOfSilentAgentIsFoundAtAnotherAgent,
                        IdempotentFlow) {
  AdvanceTime(FlowRouter::kMinSilence + kStep, {kSecondAgent});
  RouterActions search = FromCaller(data);
  BOOST_TEST(ActionsOfType<ResetCaller>(search).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(search).size() >= 1U);
  router.OnLocated({.flows = {{data.FromCaller(), Holding::kHeld}}},
                   kSecondAgent, now, actions);
  auto sent = ActionsOfType<SendForward>(Take());
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kSecondAgent));
}

BOOST_FIXTURE_TEST_CASE(IdempotentFlowOfSilentAgentIsReset, IdempotentFlow) {
  BOOST_TEST(ActionsOfType<SendForward>(FromCaller(data)).size() == 1U);
  AdvanceTime(FlowRouter::kMinSilence + kStep, {});
  auto resets = ActionsOfType<ResetCaller>(FromCaller(data));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kFlowLost));
}

// A planned restart of an agent took 0.6 s, and its flows were reset although
// their upstream had kept running.
BOOST_FIXTURE_TEST_CASE(FlowsWaitForRestartingAgent, IdempotentFlow) {
  router.OnReport({.service = testing::kMaps,
                   .state = UpstreamState::kDraining,
                   .interval = Millis(200),
                   .leaving = true},
                  kFirstAgent, now);
  AdvanceTime(FlowRouter::kMinSilence * 4, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).empty());
  Report(kFirstAgent, testing::kMaps);
  AdvanceTime(FlowRouter::kMinSilence + kStep, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(SearchWaitsForRestartingAgent, IdempotentFlow) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  router.OnReport({.service = testing::kMaps,
                   .state = UpstreamState::kDraining,
                   .interval = Millis(200),
                   .leaving = true},
                  kSecondAgent, now);
  AdvanceTime(FlowRouter::kMinSilence * 4, {kFirstAgent});
  data.source.port = 1;
  FromCaller(data);
  router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kNotHeld}, {},
                  kFirstAgent, now, actions);
  RouterActions end =
      AdvanceTime(FlowRouter::kSearchTimeout * 3, {kFirstAgent});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
}

// In a large fleet agents report rarely. Guards against callers that waited for
// three report intervals to be told that their flow was lost.
BOOST_FIXTURE_TEST_CASE(UnansweredQuestionShowsThatAgentIsSilent,
                        IdempotentFlow) {
  constexpr Millis kLongInterval{5000};
  for (Address agent : {kFirstAgent, kSecondAgent}) {
    router.OnReport({.service = testing::kMaps,
                     .state = UpstreamState::kReady,
                     .interval = kLongInterval},
                    agent, now);
  }
  AdvanceTime(kLongInterval * FlowRouter::kDiscoveryReports + kStep,
              {kThirdAgent});
  data.source.port = 1;
  FromCaller(data);
  router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kNotHeld}, {},
                  kFirstAgent, now, actions);
  AdvanceTime(FlowRouter::kMinSilence + kStep * 2, {kThirdAgent});
  FromCaller(data);
  router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kNotHeld}, {},
                  kFirstAgent, now, actions);
  router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kNotHeld}, {},
                  kThirdAgent, now, actions);
  auto resets = ActionsOfType<ResetCaller>(
      AdvanceTime(FlowRouter::kSearchTimeout * 3, {kFirstAgent, kThirdAgent}));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kFlowLost));
}

// Guards against an agent that had answered "unsure", then lost its upstream or
// was lost itself: no caller was told that its flow was gone.
BOOST_FIXTURE_TEST_CASE(UnsureAgentThatIsGoneDoesNotKeepSearchesUndecided,
                        IdempotentFlow) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  data.source.port = 1;
  FromCaller(data);
  for (Address agent : {kFirstAgent, kSecondAgent}) {
    router.OnLocated({.flows = {{data.FromCaller(), agent == kFirstAgent
                                                        ? Holding::kNotHeld
                                                        : Holding::kUnsure}}},
                     agent, now, actions);
  }
  router.OnReport({.service = testing::kMaps,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecondAgent, now);
  auto resets = ActionsOfType<ResetCaller>(
      AdvanceTime(FlowRouter::kSearchTimeout * 2, {kFirstAgent}));
  BOOST_TEST(resets.size() == 1U);
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

BOOST_FIXTURE_TEST_CASE(PausedBalancerDoesNotResetFlows, IdempotentFlow) {
  now = now + Millis(4000);
  router.OnTick(now, actions);
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).empty());
}

BOOST_FIXTURE_TEST_CASE(FlowOfRemovedRouteIsReset, IdempotentFlow) {
  router.SetRoutes(std::make_shared<const RouteTable>(
      6, settings::Tree{}, std::vector<settings::Route>{}));
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AgentWithoutUpstreamIsForgotten, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecondAgent, now);
  RouterActions actions_seen =
      AdvanceTime(FlowRouter::kMinSilence + kStep, {kFirstAgent});
  BOOST_TEST(ActionsOfType<AgentSilence>(actions_seen).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(FromCaller(Data(101, 500))).size() ==
             1U);
}

// Searches do not wait for such an agent even before it is forgotten, whether
// or not the route is idempotent.
BOOST_FIXTURE_TEST_CASE(SearchDoesNotWaitForAgentWithoutUpstream, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecondAgent, now);
  FromCaller(Data(101, 500));
  auto resets =
      ActionsOfType<ResetCaller>(Answer(kFirstAgent, Holding::kNotHeld));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoSuchFlow));
}

BOOST_FIXTURE_TEST_CASE(AgentSilenceIsReported, Fixture) {
  WaitForDiscovery({kFirstAgent, kSecondAgent});
  auto lost = ActionsOfType<AgentSilence>(
      AdvanceTime(FlowRouter::kMinSilence + kStep, {kFirstAgent}));
  BOOST_REQUIRE(lost.size() == 1U);
  BOOST_TEST((lost[0].agent == kSecondAgent));
  BOOST_TEST(lost[0].silent);
  auto regained = ActionsOfType<AgentSilence>(
      AdvanceTime(kStep, {kFirstAgent, kSecondAgent}));
  BOOST_REQUIRE(regained.size() == 1U);
  BOOST_TEST(!regained[0].silent);
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

// Guards against a balancer that resets open flows after it did not run for a
// while: it handles the datagrams that have arrived meanwhile before its first
// tick.
BOOST_FIXTURE_TEST_CASE(FirstPacketAfterPauseResetsNoFlow, IdempotentFlow) {
  Report(kSecondAgent);
  now = now + FlowRouter::kMinSilence * 5;
  for (uint32_t sequence : {101U, 601U, 1101U}) {
    data.sequence = sequence;
    RouterActions end = FromCaller(data);
    BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
    BOOST_TEST(ActionsOfType<SendForward>(end).size() == 1U);
  }
  BOOST_TEST(ActionsOfType<AgentSilence>(AdvanceTime(kStep, {})).empty());
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
