#include "filberthollow/decision/upstream_gate.h"

#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision {
namespace {

using base::Millis;
using flow::Reason;
using testing::Acceptance;
using testing::Beat;
using testing::Bounced;
using testing::Data;
using testing::kDeskFlow;
using testing::kUpstreamStart;
using testing::Only;
using testing::Opening;
using testing::UpstreamData;

using Fixture = testing::GateFixture;
using testing::kBalancer;
using testing::kStep;

Reason RefusalOf(const GateActions& actions) {
  auto answers = Only<AnswerBalancer>(actions);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_REQUIRE(answers[0].answer.holding == Holding::kRefused);
  BOOST_REQUIRE(Only<DeliverToUpstream>(actions).empty());
  return answers[0].answer.reason;
}

BOOST_FIXTURE_TEST_CASE(ANewFlowIsOfferedAndHeld, Fixture) {
  Hear(Beat(1));
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Opening())).size() == 1U);
  BOOST_TEST((Ask() == Holding::kNotHeld));
  GateActions accepted = FromUpstream(Acceptance());
  BOOST_TEST(
      (Only<AnswerBalancer>(accepted).at(0).answer.holding == Holding::kHeld));
  BOOST_TEST(Only<DeliverToCaller>(accepted).size() == 1U);
  BOOST_TEST((Ask() == Holding::kHeld));
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500))).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(WhatMustNotOpenIsRefusedAtOnce, Fixture) {
  BOOST_TEST((RefusalOf(Forward(Opening())) == Reason::kNotReady));
  Hear(Beat(1));
  BOOST_TEST((RefusalOf(Forward(Opening(testing::kMapsRoute))) ==
              Reason::kWrongService));
  BOOST_TEST((RefusalOf(Forward(Opening(testing::kUnknownRoute))) ==
              Reason::kNoRoute));
  Hear(Beat(2, UpstreamState::kDraining));
  BOOST_TEST((RefusalOf(Forward(Opening())) == Reason::kDraining));
}

BOOST_FIXTURE_TEST_CASE(ABalancerWithNewerRoutesIsBelieved, Fixture) {
  Hear(Beat(1));
  auto newer = decision::Forward{.revision = 6, .packet = "p"};
  BOOST_TEST(
      Only<DeliverToUpstream>(Forward(Opening(testing::kUnknownRoute), newer))
          .size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(TheConnectionLimitHolds, Fixture) {
  Hear(Beat(1));
  for (uint16_t port = 1; port <= 4; ++port) {
    flow::PacketHead head = Opening();
    head.source.port = port;
    GateActions offered = Forward(head);
    if (port <= 3) {
      BOOST_TEST(Only<DeliverToUpstream>(offered).size() == 1U);
    } else {
      BOOST_TEST((RefusalOf(offered) == Reason::kConnectionLimit));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(ADrainingUpstreamKeepsItsFlows, Fixture) {
  OpenFlow();
  Hear(Beat(2, UpstreamState::kDraining));
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500))).size() == 1U);
}

// A host whose upstream is down hands back every packet.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatHandsBackOffersIsSparedForAWhile,
                        Fixture) {
  Hear(Beat(1));
  Forward(Opening());
  BOOST_TEST((RefusalOf(FromUpstream(Bounced(Opening()))) ==
              Reason::kUpstreamRefused));
  BOOST_TEST(gate.flows() == 0U);
  BOOST_TEST(gate.Report(now).silent);
  BOOST_TEST((RefusalOf(Forward(Opening())) == Reason::kUpstreamRefused));
  Pass(UpstreamLife::kRefusingSpan);
  BOOST_TEST(!gate.Report(now).silent);
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Opening())).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AHeartbeatEndsTheSparing, Fixture) {
  Hear(Beat(1));
  Forward(Opening());
  FromUpstream(Bounced(Opening()));
  BOOST_TEST(Only<ReportNow>(Hear(Beat(2))).size() == 1U);
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Opening())).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnUnansweredOfferIsHandedBack, Fixture) {
  Hear(Beat(1));
  Forward(Opening());
  BOOST_TEST((RefusalOf(Pass(UpstreamLife::kOpenPatience)) ==
              Reason::kUpstreamSilent));
}

BOOST_FIXTURE_TEST_CASE(APacketOfAnUnknownFlowIsHandedBack, Fixture) {
  Hear(Beat(1));
  GateActions back = Forward(Data(101, 500));
  BOOST_TEST(Only<DeliverToUpstream>(back).empty());
  FlowAnswer answer = Only<AnswerBalancer>(back).at(0).answer;
  BOOST_TEST((answer.holding == Holding::kNotHeld));
  BOOST_TEST(answer.packet == "p");
}

// Copies of one opening packet may be accepted by two upstreams; the caller
// goes on with one of them.
BOOST_FIXTURE_TEST_CASE(AnAcceptanceThatTheCallerDidNotTakeIsNotHeld, Fixture) {
  Hear(Beat(1));
  Forward(Opening());
  FromUpstream(Acceptance());
  BOOST_TEST((Ask(kUpstreamStart + 900'000'000) == Holding::kNotHeld));
  flow::PacketHead other = Data(101, 500);
  other.acknowledged = kUpstreamStart + 900'000'000;
  BOOST_TEST(Only<DeliverToUpstream>(Forward(other)).empty());
}

struct RestartedAgent : Fixture {
  RestartedAgent() : Fixture(/*first_start=*/false) { Hear(Beat(9)); }
};

BOOST_FIXTURE_TEST_CASE(AnAgentThatRestartedIsUnsure, RestartedAgent) {
  BOOST_TEST((Ask() == Holding::kUnsure));
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500))).empty());
  auto guess = decision::Forward{.revision = 5, .guess = true, .packet = "p"};
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500), guess)).size() ==
             1U);
  auto answers =
      Only<AnswerBalancer>(FromUpstream(UpstreamData(kUpstreamStart + 1, 100)));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].answer.holding == Holding::kHeld));
  BOOST_TEST((Ask() == Holding::kHeld));
}

// Copies of requests that were answered before made the upstream look full.
BOOST_FIXTURE_TEST_CASE(ACopyOfAnAnsweredRequestIsNoNewWork, RestartedAgent) {
  flow::PacketHead answer = UpstreamData(kUpstreamStart + 1, 100);
  answer.acknowledges = true;
  answer.acknowledged = 601;
  FromUpstream(answer);
  Forward(Data(101, 500));
  BOOST_TEST(gate.Report(now).load.busy == 0U);
  Forward(Data(601, 500));
  BOOST_TEST(gate.Report(now).load.busy == 1U);
}

// Callers of flows that died with another upstream waited for its guesses.
BOOST_AUTO_TEST_CASE(AnAgentThatRestartedWithoutAnUpstreamIsSureInTime) {
  Fixture f(/*first_start=*/false);
  BOOST_TEST((f.Ask() == Holding::kUnsure));
  f.now = f.now + Millis(1000) * UpstreamLife::kAbsentBeats +
          UpstreamLife::kAbsentSlack + Millis(1);
  BOOST_TEST((f.Ask() == Holding::kNotHeld));
}

BOOST_FIXTURE_TEST_CASE(AWrongGuessResetsNobody, RestartedAgent) {
  auto guess = decision::Forward{.revision = 5, .guess = true, .packet = "p"};
  Forward(Data(101, 500), guess);
  BOOST_TEST(Only<ResetCaller>(FromUpstream(Bounced(Data(101, 500)))).empty());
}

// One agent that had missed the first heartbeat of its upstream kept all
// balancers from telling callers, for a minute, that their flows were gone.
BOOST_FIXTURE_TEST_CASE(AWrongGuessIsHandedBackAndMakesTheAgentSure,
                        RestartedAgent) {
  auto guess = decision::Forward{.revision = 5, .guess = true, .packet = "p"};
  Forward(Data(101, 500), guess);
  auto answers = Only<AnswerBalancer>(FromUpstream(Bounced(Data(101, 500))));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].balancer == kBalancer));
  BOOST_TEST((answers[0].answer.holding == Holding::kNotHeld));
  BOOST_TEST(answers[0].answer.packet == "p");
  BOOST_TEST((Ask() == Holding::kNotHeld));
  // Copies of the packet are handed back, too.
  BOOST_TEST(
      Only<AnswerBalancer>(FromUpstream(Bounced(Data(101, 500)))).empty());
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500), guess)).empty());
}

BOOST_FIXTURE_TEST_CASE(AnAgentIsSureOfAnUpstreamThatItSawStart,
                        RestartedAgent) {
  Hear(Beat(1, UpstreamState::kReady, 2000));
  BOOST_TEST((Ask() == Holding::kNotHeld));
}

BOOST_FIXTURE_TEST_CASE(ARestartedUpstreamHasLostItsFlows, Fixture) {
  OpenFlow();
  auto resets = Only<ResetCaller>(Hear(Beat(1, UpstreamState::kReady, 2000)));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].flow == kDeskFlow));
  BOOST_TEST(resets[0].sequence == kUpstreamStart + 1);
  BOOST_TEST((Ask() == Holding::kNotHeld));
}

// The caller may have gone on with another upstream's acceptance.
BOOST_FIXTURE_TEST_CASE(AFlowThatTheCallerNeverUsedIsNotReset, Fixture) {
  Hear(Beat(1));
  Forward(Opening());
  FromUpstream(Acceptance());
  BOOST_TEST(
      Only<ResetCaller>(Hear(Beat(1, UpstreamState::kReady, 2000))).empty());
}

BOOST_FIXTURE_TEST_CASE(LateAndForeignHeartbeatsNameNoUpstream, Fixture) {
  Hear(Beat(5, UpstreamState::kReady, 2000));
  BOOST_TEST(!gate.OnBeat(Beat(9, UpstreamState::kReady, 1000), now, actions));
  BOOST_TEST(
      !gate.OnBeat(Beat(4, UpstreamState::kDraining, 2000), now, actions));
  UpstreamHeartbeat foreign = Beat(6, UpstreamState::kReady, 3000);
  foreign.service = "maps";
  BOOST_TEST(!gate.OnBeat(foreign, now, actions));
  BOOST_TEST((gate.Report(now).state == UpstreamState::kReady));
}

BOOST_FIXTURE_TEST_CASE(ADeadUpstreamLosesItsFlowsOnlyAfterAFailedCheck,
                        Fixture) {
  OpenFlow();
  flow::PacketHead second = Opening();
  second.source.port = 1;
  Forward(second);
  GateActions seen = Pass(UpstreamLife::kSilencePatience + kStep);
  BOOST_TEST(Only<CheckUpstream>(seen).size() == 1U);
  BOOST_TEST(gate.Report(now).silent);
  BOOST_TEST(Only<ResetCaller>(Pass(UpstreamLife::kDeadPatience * 2)).empty());
  gate.OnHealth(false, now, actions);
  Take();
  BOOST_TEST(Only<ResetCaller>(Pass(kStep)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ASlowUpstreamIsNotDead, Fixture) {
  OpenFlow();
  Forward(Data(101, 500));
  Pass(UpstreamLife::kSilencePatience * 2);
  gate.OnHealth(true, now, actions);
  Take();
  BOOST_TEST(!gate.Report(now).silent);
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(601, 500))).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(APauseOfTheAgentProvesNothing, Fixture) {
  OpenFlow();
  flow::PacketHead second = Opening();
  second.source.port = 1;
  Forward(second);
  now = now + Millis(4000);
  gate.OnTick(now, actions);
  BOOST_TEST(Take().empty());
  BOOST_TEST(!gate.Report(now).silent);
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatLeftKeepsItsFlowsUntilItHasEnded,
                        Fixture) {
  OpenFlow();
  UpstreamHeartbeat last{.id = Beat(1).id, .state = UpstreamState::kGone};
  BOOST_TEST(Only<ResetCaller>(Hear(last)).empty());
  flow::PacketHead other = Opening();
  other.source.port = 1;
  BOOST_TEST((RefusalOf(Forward(other)) == Reason::kDraining));
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500))).size() == 1U);
  BOOST_TEST(
      Only<ResetCaller>(Pass(UpstreamLife::kGoneLinger + kStep)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ALeavingAgentTakesNoNewFlows, Fixture) {
  OpenFlow();
  gate.Leave();
  BOOST_TEST((gate.Report(now).state == UpstreamState::kDraining));
  BOOST_TEST(gate.Report(now).leaving);
  flow::PacketHead other = Opening();
  other.source.port = 1;
  BOOST_TEST((RefusalOf(Forward(other)) == Reason::kDraining));
  BOOST_TEST(Only<DeliverToUpstream>(Forward(Data(101, 500))).size() == 1U);
}

// Searches for flows would wait for its answer after it has ended.
BOOST_FIXTURE_TEST_CASE(ALeavingAgentWithoutAnUpstreamHoldsNothing, Fixture) {
  gate.Leave();
  BOOST_TEST((gate.Report(now).state == UpstreamState::kUnknown));
  now = now + Millis(1000) * UpstreamLife::kAbsentBeats +
        UpstreamLife::kAbsentSlack + Millis(1);
  BOOST_TEST((gate.Report(now).state == UpstreamState::kGone));
  BOOST_TEST(!gate.Report(now).leaving);
}

// Machines whose upstream was taken away are removed without a word.
BOOST_FIXTURE_TEST_CASE(AnAgentWithoutAnUpstreamSaysSo, Fixture) {
  BOOST_TEST((gate.Report(now).state == UpstreamState::kUnknown));
  now = now + Millis(1000) * UpstreamLife::kAbsentBeats +
        UpstreamLife::kAbsentSlack + Millis(1);
  BOOST_TEST((gate.Report(now).state == UpstreamState::kGone));
  Hear(Beat(1));
  BOOST_TEST((gate.Report(now).state == UpstreamState::kReady));
}

// A balancer that resets the flows of an upstream that is gone must not do so
// while its last packets are on their way.
BOOST_FIXTURE_TEST_CASE(AnUpstreamIsGoneOnlyOnceItHasEnded, Fixture) {
  OpenFlow();
  Hear(Beat(0, UpstreamState::kGone));
  gate.Leave();
  BOOST_TEST((gate.Report(now).state == UpstreamState::kDraining));
  BOOST_TEST(!gate.Report(now).leaving);  // stops beside one that ends, too
  BOOST_TEST((Ask() == Holding::kHeld));
  GateActions seen = Pass(UpstreamLife::kGoneLinger);
  BOOST_TEST(Only<ReportNow>(seen).size() == 1U);
  BOOST_TEST((gate.Report(now).state == UpstreamState::kGone));
}

// It is gone for less time if it ends between two requests.
BOOST_FIXTURE_TEST_CASE(ALeavingAgentIsIdleBetweenRequests, Fixture) {
  OpenFlow();
  gate.Leave();
  gate.OnTick(now, actions);
  BOOST_TEST(gate.IsIdle());
  Forward(Data(101, 500));
  BOOST_TEST(!gate.IsIdle());
  FromUpstream(UpstreamData(kUpstreamStart + 1, 100));
  BOOST_TEST(gate.IsIdle());
}

BOOST_FIXTURE_TEST_CASE(ClosedAndIdleFlowsAreDropped, Fixture) {
  OpenFlow();
  Forward(testing::Finish(101));
  flow::PacketHead end = UpstreamData(kUpstreamStart + 1, 0);
  end.finishes = true;
  FromUpstream(end);
  BOOST_TEST((Ask() == Holding::kHeld));  // for late copies
  BOOST_TEST(gate.Report(now).load.open == 0U);
  Pass(UpstreamGate::kClosedLinger + Millis(1000));
  BOOST_TEST(gate.flows() == 0U);
  OpenFlow();
  Pass(Millis(20'000));
  BOOST_TEST(gate.flows() == 0U);
}

// The on-call engineer has to tell whether the caller was cut off by its
// upstream or by us.
BOOST_FIXTURE_TEST_CASE(AResetOfTheUpstreamIsNoted, Fixture) {
  OpenFlow();
  Forward(Data(101, 500));
  now = now + Millis(30);
  flow::PacketHead reset = UpstreamData(kUpstreamStart + 1, 0);
  reset.resets = true;
  auto noted = Only<UpstreamReset>(FromUpstream(reset));
  BOOST_REQUIRE(noted.size() == 1U);
  BOOST_TEST((noted[0].flow == kDeskFlow));
  BOOST_TEST(noted[0].busy);
  BOOST_TEST((noted[0].busy_for == Millis(30)));
  BOOST_TEST(Only<UpstreamReset>(FromUpstream(reset)).empty());  // a copy
}

}  // namespace
}  // namespace filberthollow::decision
