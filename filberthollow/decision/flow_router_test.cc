#include "filberthollow/decision/flow_router.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::decision {
namespace {

using base::Address;
using base::Millis;
using flow::Reason;
using testing::ActionsOfType;
using testing::Data;
using testing::kDeskFlow;
using testing::Opening;

constexpr Address kFirst{1, 7000};
constexpr Address kSecond{2, 7000};
constexpr Address kThird{3, 7000};
constexpr uint64_t kHome = 77;
constexpr Millis kStep{20};

// Stands for the bytes of a packet.
std::string BytesOf(const flow::PacketHead& head) {
  return "packet " + std::to_string(head.sequence);
}

struct Fixture {
  Millis now{10'000};
  FlowRouter router{kHome, now};
  RouterActions actions;

  Fixture() { router.SetRoutes(testing::TwoRoutes(5)); }

  RouterActions Take() { return std::exchange(actions, {}); }
  void Report(Address agent,
              base::ServiceId service = testing::kDesk,
              UpstreamLoad load = {.slots = 4}) {
    router.OnReport({.service = service,
                     .data_centre = kHome,
                     .state = UpstreamState::kReady,
                     .load = load,
                     .interval = Millis(200)},
                    agent, now);
  }
  RouterActions FromCaller(const flow::PacketHead& head) {
    router.OnCallerPacket(BytesOf(head), head, now, actions);
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
  // Lets time pass while the agents in `reporting` go on reporting.
  RouterActions Pass(Millis time, const std::set<Address>& reporting) {
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
  // Past the time in which a balancer may not know all agents.
  void Settle(const std::set<Address>& reporting) {
    Pass(FlowRouter::kCertainAfter + kStep, reporting);
  }
};

BOOST_FIXTURE_TEST_CASE(AnOpenedFlowStaysWithItsAgent, Fixture) {
  Report(kFirst);
  auto offer = ActionsOfType<SendForward>(FromCaller(Opening()));
  BOOST_REQUIRE(offer.size() == 1U);
  BOOST_TEST((offer[0].agent == kFirst));
  Answer(kFirst, Holding::kHeld);
  Report(kSecond);
  auto sent = ActionsOfType<SendForward>(FromCaller(Data(101, 500)));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kFirst));
}

BOOST_FIXTURE_TEST_CASE(AnAddressWithoutARouteIsResetAtOnce, Fixture) {
  Report(kFirst);
  auto resets =
      ActionsOfType<ResetCaller>(FromCaller(Opening(testing::kUnknownRoute)));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoRoute));
}

BOOST_FIXTURE_TEST_CASE(ARefusedOfferGoesToTheNextUpstream, Fixture) {
  Settle({kFirst, kSecond});
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

BOOST_FIXTURE_TEST_CASE(AnUnansweredOfferGoesToTheNextUpstream, Fixture) {
  Settle({kFirst, kSecond});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  auto next =
      ActionsOfType<SendForward>(Pass(FlowRouter::kOfferPatience + kStep, {}));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].agent != first));
}

// The answer to the offer was lost, but the caller goes on already.
BOOST_FIXTURE_TEST_CASE(AFlowThatWasFoundIsOfferedToNobodyElse, Fixture) {
  Settle({kFirst, kSecond});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  FromCaller(Data(101, 500));
  router.OnLocated({.flows = {{kDeskFlow, Holding::kHeld}}}, first, now,
                   actions);
  Take();
  RouterActions later =
      Pass(FlowRouter::kOfferPatience + kStep, {kFirst, kSecond});
  BOOST_TEST(ActionsOfType<SendForward>(later).empty());
}

// The answer may be lost, and the flow be open.
BOOST_FIXTURE_TEST_CASE(AFlowThatMayHaveBeenAcceptedIsNotReset, Fixture) {
  Settle({kFirst, kSecond});
  auto first = ActionsOfType<SendForward>(FromCaller(Opening())).at(0).agent;
  Pass(FlowRouter::kOfferPatience + kStep, {});
  Address second = first == kFirst ? kSecond : kFirst;
  RouterActions end = Answer(second, Holding::kRefused, Reason::kDraining);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<DropPacket>(end).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ACopyDoesNotMakeASecondOffer, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Opening());
  BOOST_TEST(FromCaller(Opening(testing::kDeskRoute, 1)).empty());
}

BOOST_FIXTURE_TEST_CASE(OtherServicesAndDrainingUpstreamsGetNoOffer, Fixture) {
  Report(kFirst, testing::kMaps);
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kDraining,
                   .interval = Millis(200)},
                  kSecond, now);
  Report(kThird);
  for (uint16_t port = 1; port < 20; ++port) {
    flow::PacketHead head = Opening();
    head.source.port = port;
    auto offers = ActionsOfType<SendForward>(FromCaller(head));
    BOOST_REQUIRE(offers.size() == 1U);
    BOOST_TEST((offers[0].agent == kThird));
  }
}

// After a loss of power agents and balancers start together; resetting new
// flows until they have met used up the callers' tries.
BOOST_FIXTURE_TEST_CASE(NewFlowsWaitForTheFirstAgentAfterAStart, Fixture) {
  BOOST_TEST(FromCaller(Opening()).empty());
  BOOST_TEST(Pass(Millis(100), {}).empty());
  Report(kFirst);
  auto offers = ActionsOfType<SendForward>(Pass(kStep, {}));
  BOOST_REQUIRE(offers.size() == 1U);
  BOOST_TEST((offers[0].agent == kFirst));
}

BOOST_FIXTURE_TEST_CASE(LaterANewFlowWithoutAnAgentIsResetAtOnce, Fixture) {
  Settle({});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(Opening())).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnUnknownFlowIsFoundAndItsPacketsDelivered, Fixture) {
  Settle({kFirst, kSecond});
  BOOST_TEST(ActionsOfType<SendLocate>(FromCaller(Data(101, 500))).size() ==
             2U);
  BOOST_TEST(FromCaller(Data(601, 500)).empty());
  BOOST_TEST(Answer(kFirst, Holding::kNotHeld).empty());
  auto sent = ActionsOfType<SendForward>(Answer(kSecond, Holding::kHeld));
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST((sent[0].agent == kSecond));
  BOOST_TEST(!sent[0].message.guess);
  BOOST_TEST(ActionsOfType<SendForward>(FromCaller(Data(1101, 10))).size() ==
             1U);
}

BOOST_FIXTURE_TEST_CASE(ASearchBeginsWithTheServicesOfTheRoute, Fixture) {
  Settle({kFirst});
  Report(kSecond, testing::kMaps);
  auto first = ActionsOfType<SendLocate>(FromCaller(Data(101, 500)));
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first[0].agent == kFirst));
  RouterActions next = Answer(kFirst, Holding::kNotHeld);
  BOOST_TEST(ActionsOfType<ResetCaller>(next).empty());
  auto second = ActionsOfType<SendLocate>(next);
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST((second[0].agent == kSecond));
  BOOST_TEST(
      ActionsOfType<ResetCaller>(Answer(kSecond, Holding::kNotHeld)).size() ==
      1U);
}

BOOST_FIXTURE_TEST_CASE(AFlowThatNobodyHoldsIsReset, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kNotHeld);
  auto resets = ActionsOfType<ResetCaller>(Answer(kSecond, Holding::kNotHeld));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST(resets[0].sequence == testing::kUpstreamInitialSequence + 1);
}

BOOST_FIXTURE_TEST_CASE(ABalancerThatJustStartedCallsNoFlowLost, Fixture) {
  Report(kFirst);
  FromCaller(Data(101, 500));
  BOOST_TEST(
      ActionsOfType<ResetCaller>(Answer(kFirst, Holding::kNotHeld)).empty());
}

// After a restart the caller's packets come before the reports of all agents.
BOOST_FIXTURE_TEST_CASE(AFlowIsFoundAtAnAgentThatIsHeardOfLater, Fixture) {
  BOOST_TEST(FromCaller(Data(101, 500)).empty());
  Report(kFirst);
  BOOST_TEST(ActionsOfType<SendLocate>(Pass(kStep, {})).size() == 1U);
  BOOST_TEST(Answer(kFirst, Holding::kNotHeld).empty());
  Report(kSecond);
  auto asked = ActionsOfType<SendLocate>(Pass(kStep, {}));
  BOOST_REQUIRE(asked.size() == 1U);
  BOOST_TEST((asked[0].agent == kSecond));
  auto sent = ActionsOfType<SendForward>(Answer(kSecond, Holding::kHeld));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kSecond));
}

// It may be cut off from all of them.
BOOST_FIXTURE_TEST_CASE(ABalancerThatHeardNoAgentResetsNobody, Fixture) {
  FromCaller(Data(101, 500));
  RouterActions end =
      Pass(FlowRouter::kCertainAfter + FlowRouter::kSearchEnd, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
}

// One that has been asked is forgotten while another is heard of.
BOOST_FIXTURE_TEST_CASE(AnAgentThatTakesTheOthersPlaceIsAsked, Fixture) {
  Report(kFirst);
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecond, now);
  FromCaller(Data(101, 500));
  Pass(FlowRouter::kMinSilence + kStep, {kFirst});
  Answer(kFirst, Holding::kNotHeld);
  Report(kThird);
  auto asked = ActionsOfType<SendLocate>(Pass(kStep, {kFirst}));
  BOOST_REQUIRE(asked.size() == 1U);
  BOOST_TEST((asked[0].agent == kThird));
}

// Its packet would come again only after up to 1.6 s.
BOOST_FIXTURE_TEST_CASE(ACallerIsToldOnceAllAgentsMustBeKnown, Fixture) {
  Report(kFirst);
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kNotHeld);
  BOOST_TEST(
      ActionsOfType<ResetCaller>(Pass(FlowRouter::kCertainAfter, {kFirst}))
          .empty());
  auto resets =
      ActionsOfType<ResetCaller>(Pass(FlowRouter::kSearchEnd, {kFirst}));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoSuchFlow));
}

BOOST_FIXTURE_TEST_CASE(APacketIsGuessedOnceAtEachAgent, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kUnsure);
  BOOST_TEST(
      ActionsOfType<SendForward>(Answer(kSecond, Holding::kUnsure)).size() ==
      2U);
  BOOST_TEST(Answer(kFirst, Holding::kNotHeld, Reason::kNoSuchFlow,
                    BytesOf(Data(101, 500)))
                 .empty());
  // The next packet is guessed at the one that is left.
  auto guess = ActionsOfType<SendForward>(FromCaller(Data(601, 500)));
  BOOST_REQUIRE(guess.size() == 1U);
  BOOST_TEST((guess[0].agent == kSecond));
  BOOST_TEST(
      ActionsOfType<SendForward>(Answer(kSecond, Holding::kHeld)).empty());
  BOOST_TEST(!ActionsOfType<SendForward>(FromCaller(Data(1101, 500)))
                  .at(0)
                  .message.guess);
}

// One agent that stays away must not keep a packet from the one that holds it.
BOOST_FIXTURE_TEST_CASE(WithoutAllAnswersPacketsAreGuessed, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kUnsure);
  auto guesses =
      ActionsOfType<SendForward>(Pass(FlowRouter::kSearchEnd, {kFirst}));
  BOOST_REQUIRE(guesses.size() == 1U);
  BOOST_TEST((guesses[0].agent == kFirst));
}

// The upstream may hold the flow and have nothing to say.
BOOST_FIXTURE_TEST_CASE(AGuessWithoutAnAnswerResetsNobody, Fixture) {
  Settle({kFirst});
  FromCaller(Data(101, 500));
  BOOST_TEST(
      ActionsOfType<SendForward>(Answer(kFirst, Holding::kUnsure)).size() ==
      1U);
  RouterActions end = Pass(FlowRouter::kSearchEnd + kStep, {kFirst});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<DropPacket>(end).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AWrongGuessLeadsToAReset, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kUnsure);
  Answer(kSecond, Holding::kNotHeld);
  auto resets = ActionsOfType<ResetCaller>(Answer(
      kFirst, Holding::kNotHeld, Reason::kNoSuchFlow, BytesOf(Data(101, 500))));
  BOOST_TEST(resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(APacketThatTwoAgentsHandBackIsHeldOnce, Fixture) {
  Settle({kFirst, kSecond});
  Answer(kFirst, Holding::kNotHeld, Reason::kNoSuchFlow,
         BytesOf(Data(101, 500)));
  Answer(kSecond, Holding::kUnsure, Reason::kNoSuchFlow,
         BytesOf(Data(101, 500)));
  FromCaller(Data(101, 500));
  auto sent = ActionsOfType<SendForward>(Answer(kFirst, Holding::kHeld));
  BOOST_TEST(sent.size() == 1U);
}

// With reports 1.2 s apart, a second after the start some agents are unknown.
BOOST_FIXTURE_TEST_CASE(InALargeFleetABalancerIsCertainLater, Fixture) {
  Settle({});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kReady,
                   .interval = Millis(1200)},
                  kFirst, now);
  FromCaller(Data(101, 500));
  BOOST_TEST(
      ActionsOfType<ResetCaller>(Answer(kFirst, Holding::kNotHeld)).empty());
}

BOOST_FIXTURE_TEST_CASE(WhoIsUnsureIsAskedByAGuess, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kUnsure);
  RouterActions end = Answer(kSecond, Holding::kNotHeld);
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  auto guesses = ActionsOfType<SendForward>(end);
  BOOST_REQUIRE(guesses.size() == 1U);
  BOOST_TEST((guesses[0].agent == kFirst));
  BOOST_TEST(guesses[0].message.guess);
}

BOOST_FIXTURE_TEST_CASE(WithoutAllAnswersWorkThatMustNotRepeatIsLeftAlone,
                        Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Data(101, 500));
  Answer(kFirst, Holding::kNotHeld);
  RouterActions end = Pass(FlowRouter::kSearchEnd + kStep, {kFirst});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(end).size() == 1U);  // asked once more
}

BOOST_FIXTURE_TEST_CASE(APacketHandedBackStartsASearch, Fixture) {
  Settle({kFirst, kSecond});
  FromCaller(Opening());
  Answer(kFirst, Holding::kHeld);
  auto search =
      Answer(kFirst, Holding::kNotHeld, Reason::kNoSuchFlow, "handed back");
  BOOST_TEST(ActionsOfType<SendLocate>(search).size() == 2U);
}

struct RepeatableFlow : Fixture {
  flow::PacketHead data = Data(101, 500);

  RepeatableFlow() {
    data.destination = testing::kMapsRoute;
    Settle({});
    Report(kFirst, testing::kMaps);
    FromCaller(Opening(testing::kMapsRoute));
    router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kHeld}, {},
                    kFirst, now, actions);
    Take();
  }
};

// Two upstreams may accept a flow whose first answer is late. The one that was
// remembered froze while the caller went on with the other.
BOOST_FIXTURE_TEST_CASE(AFlowOfASilentAgentMayBeHeldByAnother, RepeatableFlow) {
  Pass(FlowRouter::kMinSilence + kStep, {kSecond});
  RouterActions search = FromCaller(data);
  BOOST_TEST(ActionsOfType<ResetCaller>(search).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(search).size() >= 1U);
  router.OnLocated({.flows = {{data.FromCaller(), Holding::kHeld}}}, kSecond,
                   now, actions);
  auto sent = ActionsOfType<SendForward>(Take());
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kSecond));
}

BOOST_FIXTURE_TEST_CASE(ARepeatableFlowOfASilentAgentIsReset, RepeatableFlow) {
  BOOST_TEST(ActionsOfType<SendForward>(FromCaller(data)).size() == 1U);
  Pass(FlowRouter::kMinSilence + kStep, {});
  auto resets = ActionsOfType<ResetCaller>(FromCaller(data));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kFlowLost));
}

// An agent that was restarted as planned was away for 0.6 s; its flows were
// reset though their upstream had never stopped.
BOOST_FIXTURE_TEST_CASE(FlowsWaitForAnAgentThatRestarts, RepeatableFlow) {
  router.OnReport({.service = testing::kMaps,
                   .state = UpstreamState::kDraining,
                   .interval = Millis(200),
                   .leaving = true},
                  kFirst, now);
  Pass(FlowRouter::kMinSilence * 4, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).empty());
  Report(kFirst, testing::kMaps);
  Pass(FlowRouter::kMinSilence + kStep, {});
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ASearchWaitsForAnAgentThatRestarts, RepeatableFlow) {
  Settle({kFirst, kSecond});
  router.OnReport({.service = testing::kMaps,
                   .state = UpstreamState::kDraining,
                   .interval = Millis(200),
                   .leaving = true},
                  kSecond, now);
  Pass(FlowRouter::kMinSilence * 4, {kFirst});
  data.source.port = 1;
  FromCaller(data);
  router.OnAnswer({.flow = data.FromCaller(), .holding = Holding::kNotHeld}, {},
                  kFirst, now, actions);
  RouterActions end = Pass(FlowRouter::kSearchEnd * 3, {kFirst});
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
}

BOOST_FIXTURE_TEST_CASE(APauseOfTheBalancerProvesNothing, RepeatableFlow) {
  now = now + Millis(4000);
  router.OnTick(now, actions);
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).empty());
}

BOOST_FIXTURE_TEST_CASE(ADroppedRouteEndsItsFlows, RepeatableFlow) {
  router.SetRoutes(std::make_shared<const RouteTable>(
      6, settings::Tree{}, std::vector<settings::Route>{}));
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(data)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnAgentWhoseUpstreamHasEndedIsForgotten, Fixture) {
  Settle({kFirst, kSecond});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecond, now);
  RouterActions seen = Pass(FlowRouter::kMinSilence + kStep, {kFirst});
  BOOST_TEST(ActionsOfType<AgentSilence>(seen).empty());
  BOOST_TEST(ActionsOfType<SendLocate>(FromCaller(Data(101, 500))).size() ==
             1U);
}

// Until it is forgotten, searches need not wait for it, whatever the work.
BOOST_FIXTURE_TEST_CASE(AnAgentWithoutAnUpstreamNeedNotAnswer, Fixture) {
  Settle({kFirst, kSecond});
  router.OnReport({.service = testing::kDesk,
                   .state = UpstreamState::kGone,
                   .interval = Millis(200)},
                  kSecond, now);
  FromCaller(Data(101, 500));
  auto resets = ActionsOfType<ResetCaller>(Answer(kFirst, Holding::kNotHeld));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == Reason::kNoSuchFlow));
}

BOOST_FIXTURE_TEST_CASE(ASilentAgentIsNoted, Fixture) {
  Settle({kFirst, kSecond});
  auto lost = ActionsOfType<AgentSilence>(
      Pass(FlowRouter::kMinSilence + kStep, {kFirst}));
  BOOST_REQUIRE(lost.size() == 1U);
  BOOST_TEST((lost[0].agent == kSecond));
  BOOST_TEST(lost[0].silent);
  auto regained = ActionsOfType<AgentSilence>(Pass(kStep, {kFirst, kSecond}));
  BOOST_REQUIRE(regained.size() == 1U);
  BOOST_TEST(!regained[0].silent);
}

// A balancer that is cut off is to be taken out of rotation soon: until then
// packets to it are lost.
BOOST_FIXTURE_TEST_CASE(ABalancerThatHearsOfNobodyIsNotReady, Fixture) {
  Settle({kFirst, kSecond});
  Pass(FlowRouter::kIsolatedAfter, {});
  BOOST_TEST(router.IsReady(now));
  Pass(kStep, {});
  BOOST_TEST(!router.IsReady(now));
  BOOST_TEST(ActionsOfType<ResetCaller>(FromCaller(Opening())).size() == 1U);
}

// Agents that started after the cut may still be heard.
BOOST_FIXTURE_TEST_CASE(ABalancerThatHearsOfFewIsNotReady, Fixture) {
  std::set<Address> agents;
  for (uint32_t host = 1; host <= 5; ++host) {
    agents.insert({host, 7000});
  }
  Settle(agents);
  Pass(FlowRouter::kIsolatedAfter + kStep, {kFirst});
  BOOST_TEST(!router.IsReady(now));
  Pass(kStep, agents);
  BOOST_TEST(router.IsReady(now));
}

BOOST_FIXTURE_TEST_CASE(OneSilentAgentIsNoIsolation, Fixture) {
  Settle({kFirst, kSecond});
  Pass(FlowRouter::kMinSilence * 2, {kFirst});
  BOOST_TEST(router.IsReady(now));
}

BOOST_FIXTURE_TEST_CASE(ReadyOnceItCanRoute, Fixture) {
  BOOST_TEST(!router.IsReady(now));
  Report(kFirst);
  BOOST_TEST(router.IsReady(now));
  Pass(FlowRouter::kMinSilence + kStep, {});
  BOOST_TEST(!router.IsReady(now));
}

}  // namespace
}  // namespace filberthollow::decision
