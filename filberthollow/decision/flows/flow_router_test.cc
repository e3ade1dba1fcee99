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

// An agent at an address that another one had before refuses what is not meant
// for its service, also if it has no configuration.
BOOST_FIXTURE_TEST_CASE(OfferNamesTheServiceThatWasChosen, Fixture) {
  WaitForDiscovery({kFirstAgent});
  auto offer = ActionsOfType<SendForward>(FromCaller(Opening())).at(0);
  BOOST_TEST((offer.message.service == testing::kDesk));
  Answer(kFirstAgent, Holding::kHeld);
  auto copy =
      ActionsOfType<SendForward>(FromCaller(Opening(testing::kDeskRoute, 1)))
          .at(0);
  BOOST_TEST((copy.message.service == testing::kDesk));
  auto data = ActionsOfType<SendForward>(FromCaller(Data(101, 500))).at(0);
  BOOST_TEST((data.message.service == base::ServiceId{}));
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

}  // namespace
}  // namespace filberthollow::decision::flows
