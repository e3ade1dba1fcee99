#include "filberthollow/decision/flows/upstream_gate.h"

#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using flow::Reason;
using testing::Acceptance;
using testing::ActionsOfType;
using testing::Bounced;
using testing::Data;
using testing::kDeskFlow;
using testing::kUpstreamInitialSequence;
using testing::MakeHeartbeat;
using testing::Opening;
using testing::RefusalReasonOf;
using testing::UpstreamData;

using Fixture = testing::GateFixture;
using testing::kBalancer;
using testing::kTickStep;

BOOST_FIXTURE_TEST_CASE(NewFlowIsHeldOnceUpstreamAccepts, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Opening())).size() == 1U);
  BOOST_TEST((AskHolding() == Holding::kNotHeld));
  GateActions accepted = FromUpstream(Acceptance());
  BOOST_TEST((ActionsOfType<AnswerBalancer>(accepted).at(0).answer.holding ==
              Holding::kHeld));
  BOOST_TEST(ActionsOfType<DeliverToCaller>(accepted).size() == 1U);
  BOOST_TEST((AskHolding() == Holding::kHeld));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500))).size() ==
             1U);
}

BOOST_FIXTURE_TEST_CASE(DrainingUpstreamKeepsOpenFlows, Fixture) {
  OpenFlow();
  DeliverHeartbeat(MakeHeartbeat(2, UpstreamState::kDraining));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500))).size() ==
             1U);
}

// A host whose upstream is down bounces every packet.
BOOST_FIXTURE_TEST_CASE(BouncedOpeningPacketStartsRefusalBackoff, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  Forward(Opening());
  BOOST_TEST((RefusalReasonOf(FromUpstream(Bounced(Opening()))) ==
              Reason::kUpstreamRefused));
  BOOST_TEST(gate.flows() == 0U);
  BOOST_TEST(gate.Report(now).silent);
  BOOST_TEST((RefusalReasonOf(Forward(Opening())) == Reason::kUpstreamRefused));
  AdvanceTime(UpstreamLiveness::kRefusalBackoff);
  BOOST_TEST(!gate.Report(now).silent);
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Opening())).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(HeartbeatEndsRefusalBackoff, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  Forward(Opening());
  FromUpstream(Bounced(Opening()));
  BOOST_TEST(
      ActionsOfType<ReportNow>(DeliverHeartbeat(MakeHeartbeat(2))).size() ==
      1U);
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Opening())).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(UnansweredNewFlowIsRefusedAfterTimeout, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  Forward(Opening());
  BOOST_TEST((RefusalReasonOf(AdvanceTime(UpstreamLiveness::kOpenTimeout)) ==
              Reason::kUpstreamSilent));
}

BOOST_FIXTURE_TEST_CASE(PacketOfUnknownFlowIsReturnedToBalancer, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  GateActions returned = Forward(Data(101, 500));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(returned).empty());
  FlowAnswer answer = ActionsOfType<AnswerBalancer>(returned).at(0).answer;
  BOOST_TEST((answer.holding == Holding::kNotHeld));
  BOOST_TEST(answer.packet == "p");
}

// Two upstreams may accept copies of one opening packet; the caller continues
// with only one of them.
BOOST_FIXTURE_TEST_CASE(FlowAcceptedElsewhereIsNotHeld, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  Forward(Opening());
  FromUpstream(Acceptance());
  BOOST_TEST((AskHolding(kUpstreamInitialSequence + 900'000'000) ==
              Holding::kNotHeld));
  flow::PacketHeader other = Data(101, 500);
  other.acknowledged = kUpstreamInitialSequence + 900'000'000;
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(other)).empty());
}

struct RestartedAgent : Fixture {
  RestartedAgent() : Fixture(/*first_start=*/false) {
    DeliverHeartbeat(MakeHeartbeat(9));
  }
};

BOOST_FIXTURE_TEST_CASE(RestartedAgentIsUnsureUntilProbeIsAnswered,
                        RestartedAgent) {
  BOOST_TEST((AskHolding() == Holding::kUnsure));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500))).empty());
  auto probe =
      decision::flows::Forward{.revision = 5, .probe = true, .packet = "p"};
  BOOST_TEST(
      ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500), probe)).size() ==
      1U);
  auto answers = ActionsOfType<AnswerBalancer>(
      FromUpstream(UpstreamData(kUpstreamInitialSequence + 1, 100)));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].answer.holding == Holding::kHeld));
  BOOST_TEST((AskHolding() == Holding::kHeld));
}

// Guards against an agent that restarts while a flow opens, and takes a copy of
// the opening packet for a new flow.
BOOST_FIXTURE_TEST_CASE(CopyOfOpeningPacketLeavesAgentUnsure, RestartedAgent) {
  Forward(Opening());
  BOOST_TEST((AskHolding() == Holding::kUnsure));
  FromUpstream(Acceptance());
  BOOST_TEST((AskHolding() == Holding::kHeld));
}

// Another upstream may hold the flow.
BOOST_FIXTURE_TEST_CASE(BouncedProbeOfOfferedFlowDoesNotResetCaller,
                        RestartedAgent) {
  Forward(Opening());
  auto probe =
      decision::flows::Forward{.revision = 5, .probe = true, .packet = "p"};
  BOOST_TEST(
      ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500), probe)).size() ==
      1U);
  GateActions end = FromUpstream(Bounced(Data(101, 500)));
  BOOST_TEST(ActionsOfType<ResetCaller>(end).empty());
  BOOST_TEST(ActionsOfType<AnswerBalancer>(end).size() == 1U);
  BOOST_TEST((AskHolding() == Holding::kNotHeld));
}

// Guards against counting retransmissions of requests that were answered before
// the agent restarted, which made the upstream appear to be at capacity.
BOOST_FIXTURE_TEST_CASE(RetransmittedRequestIsNotCountedAgain, RestartedAgent) {
  flow::PacketHeader answer = UpstreamData(kUpstreamInitialSequence + 1, 100);
  answer.acknowledges = true;
  answer.acknowledged = 601;
  FromUpstream(answer);
  Forward(Data(101, 500));
  BOOST_TEST(gate.Report(now).load.in_flight == 0U);
  Forward(Data(601, 500));
  BOOST_TEST(gate.Report(now).load.in_flight == 1U);
}

// Guards against probing where there is no upstream: callers whose flows were
// lost with another upstream had to wait for the outcome of probes at this
// agent.
BOOST_AUTO_TEST_CASE(RestartedAgentWithoutUpstreamStopsBeingUnsure) {
  Fixture f(/*first_start=*/false);
  BOOST_TEST((f.AskHolding() == Holding::kUnsure));
  f.now = f.now + Millis(1000) * UpstreamLiveness::kAbsentHeartbeats +
          UpstreamLiveness::kAbsentSlack + Millis(1);
  BOOST_TEST((f.AskHolding() == Holding::kNotHeld));
}

BOOST_FIXTURE_TEST_CASE(BouncedProbeDoesNotResetCaller, RestartedAgent) {
  auto probe =
      decision::flows::Forward{.revision = 5, .probe = true, .packet = "p"};
  Forward(Data(101, 500), probe);
  BOOST_TEST(ActionsOfType<ResetCaller>(FromUpstream(Bounced(Data(101, 500))))
                 .empty());
}

// Guards against an agent that stays unsure after a bounced probe: one agent
// that had missed the first heartbeat of its upstream prevented all balancers,
// for a minute, from telling callers that their flows were gone.
BOOST_FIXTURE_TEST_CASE(BouncedProbeIsReturnedAndFlowIsNotHeld,
                        RestartedAgent) {
  auto probe =
      decision::flows::Forward{.revision = 5, .probe = true, .packet = "p"};
  Forward(Data(101, 500), probe);
  auto answers =
      ActionsOfType<AnswerBalancer>(FromUpstream(Bounced(Data(101, 500))));
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].balancer == kBalancer));
  BOOST_TEST((answers[0].answer.holding == Holding::kNotHeld));
  BOOST_TEST(answers[0].answer.packet == "p");
  BOOST_TEST((AskHolding() == Holding::kNotHeld));
  // A second bounce is not reported, and later packets of the flow are returned
  // without another probe.
  BOOST_TEST(
      ActionsOfType<AnswerBalancer>(FromUpstream(Bounced(Data(101, 500))))
          .empty());
  BOOST_TEST(
      ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500), probe)).empty());
}

BOOST_FIXTURE_TEST_CASE(AgentIsSureOnceItObservedUpstreamStart,
                        RestartedAgent) {
  DeliverHeartbeat(MakeHeartbeat(1, UpstreamState::kReady, 2000));
  BOOST_TEST((AskHolding() == Holding::kNotHeld));
}

BOOST_FIXTURE_TEST_CASE(UpstreamRestartResetsFlows, Fixture) {
  OpenFlow();
  auto resets = ActionsOfType<ResetCaller>(
      DeliverHeartbeat(MakeHeartbeat(1, UpstreamState::kReady, 2000)));
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].flow == kDeskFlow));
  BOOST_TEST(resets[0].sequence == kUpstreamInitialSequence + 1);
  BOOST_TEST((AskHolding() == Holding::kNotHeld));
}

// The caller may have continued with the acceptance of another upstream.
BOOST_FIXTURE_TEST_CASE(FlowNeverUsedByCallerIsNotReset, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(1));
  Forward(Opening());
  FromUpstream(Acceptance());
  BOOST_TEST(ActionsOfType<ResetCaller>(DeliverHeartbeat(MakeHeartbeat(
                                            1, UpstreamState::kReady, 2000)))
                 .empty());
}

BOOST_FIXTURE_TEST_CASE(StaleAndForeignHeartbeatsAreIgnored, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(5, UpstreamState::kReady, 2000));
  BOOST_TEST((gate.OnHeartbeat(MakeHeartbeat(9, UpstreamState::kReady, 1000),
                               now, actions) == HeartbeatOutcome::kEarlierRun));
  BOOST_TEST((gate.OnHeartbeat(MakeHeartbeat(4, UpstreamState::kDraining, 2000),
                               now, actions) == HeartbeatOutcome::kStale));
  UpstreamHeartbeat foreign = MakeHeartbeat(6, UpstreamState::kReady, 3000);
  foreign.service = "maps";
  BOOST_TEST((gate.OnHeartbeat(foreign, now, actions) ==
              HeartbeatOutcome::kOtherUpstream));
  BOOST_TEST((gate.Report(now).state == UpstreamState::kReady));
}

BOOST_FIXTURE_TEST_CASE(DeadUpstreamFlowsAreResetOnlyAfterFailedHealthCheck,
                        Fixture) {
  OpenFlow();
  flow::PacketHeader second = Opening();
  second.source.port = 1;
  Forward(second);
  GateActions seen = AdvanceTime(UpstreamLiveness::kSilenceTimeout + kTickStep);
  BOOST_TEST(ActionsOfType<CheckUpstream>(seen).size() == 1U);
  BOOST_TEST(gate.Report(now).silent);
  BOOST_TEST(ActionsOfType<ResetCaller>(
                 AdvanceTime(UpstreamLiveness::kDeadTimeout * 2))
                 .empty());
  gate.OnHealthCheck(false, now, actions);
  TakeActions();
  BOOST_TEST(ActionsOfType<ResetCaller>(AdvanceTime(kTickStep)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(SlowUpstreamIsNotDead, Fixture) {
  OpenFlow();
  Forward(Data(101, 500));
  AdvanceTime(UpstreamLiveness::kSilenceTimeout * 2);
  gate.OnHealthCheck(true, now, actions);
  TakeActions();
  BOOST_TEST(!gate.Report(now).silent);
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Data(601, 500))).size() ==
             1U);
}

BOOST_FIXTURE_TEST_CASE(AgentProcessPauseIsNotUpstreamSilence, Fixture) {
  OpenFlow();
  flow::PacketHeader second = Opening();
  second.source.port = 1;
  Forward(second);
  now = now + Millis(4000);
  gate.OnTick(now, actions);
  BOOST_TEST(TakeActions().empty());
  BOOST_TEST(!gate.Report(now).silent);
}

BOOST_FIXTURE_TEST_CASE(FlowsOfDepartingUpstreamAreKeptForShutdownGrace,
                        Fixture) {
  OpenFlow();
  UpstreamHeartbeat last{.id = MakeHeartbeat(1).id,
                         .state = UpstreamState::kGone};
  BOOST_TEST(ActionsOfType<ResetCaller>(DeliverHeartbeat(last)).empty());
  flow::PacketHeader other = Opening();
  other.source.port = 1;
  BOOST_TEST((RefusalReasonOf(Forward(other)) == Reason::kDraining));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500))).size() ==
             1U);
  BOOST_TEST(ActionsOfType<ResetCaller>(
                 AdvanceTime(UpstreamLiveness::kShutdownGrace + kTickStep))
                 .size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(LeavingAgentRefusesNewFlows, Fixture) {
  OpenFlow();
  gate.Leave();
  BOOST_TEST((gate.Report(now).state == UpstreamState::kDraining));
  BOOST_TEST(gate.Report(now).leaving);
  flow::PacketHeader other = Opening();
  other.source.port = 1;
  BOOST_TEST((RefusalReasonOf(Forward(other)) == Reason::kDraining));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Data(101, 500))).size() ==
             1U);
}

// Otherwise, balancers that search for a flow would still wait for an answer
// from this agent after it has stopped.
BOOST_FIXTURE_TEST_CASE(LeavingAgentWithoutUpstreamReportsGone, Fixture) {
  gate.Leave();
  BOOST_TEST((gate.Report(now).state == UpstreamState::kUnknown));
  now = now + Millis(1000) * UpstreamLiveness::kAbsentHeartbeats +
        UpstreamLiveness::kAbsentSlack + Millis(1);
  BOOST_TEST((gate.Report(now).state == UpstreamState::kGone));
  BOOST_TEST(!gate.Report(now).leaving);
}

// A host whose upstream was removed is itself removed without any announcement.
BOOST_FIXTURE_TEST_CASE(AgentWithoutUpstreamReportsGone, Fixture) {
  BOOST_TEST((gate.Report(now).state == UpstreamState::kUnknown));
  now = now + Millis(1000) * UpstreamLiveness::kAbsentHeartbeats +
        UpstreamLiveness::kAbsentSlack + Millis(1);
  BOOST_TEST((gate.Report(now).state == UpstreamState::kGone));
  DeliverHeartbeat(MakeHeartbeat(1));
  BOOST_TEST((gate.Report(now).state == UpstreamState::kReady));
}

// Guards against an agent that restarts beside a running upstream, misses its
// heartbeats and denies that the upstream holds its flows.
BOOST_AUTO_TEST_CASE(UpstreamThatSendsPacketsIsNotAbsent) {
  Fixture f(/*first_start=*/false);
  flow::PacketHeader other = UpstreamData(kUpstreamInitialSequence + 1, 100);
  ++other.destination.port;  // of another flow
  Millis absent_after = Millis(1000) * UpstreamLiveness::kAbsentHeartbeats +
                        UpstreamLiveness::kAbsentSlack;
  f.now = f.now + absent_after;
  f.FromUpstream(other);
  f.now = f.now + Millis(1);
  BOOST_TEST((f.gate.Report(f.now).state == UpstreamState::kUnknown));
  BOOST_TEST((f.AskHolding() == Holding::kUnsure));
  f.now = f.now + absent_after;
  BOOST_TEST((f.gate.Report(f.now).state == UpstreamState::kGone));
}

// Guards against probes that keep an upstream that is down from counting as
// absent: its host bounces them.
BOOST_AUTO_TEST_CASE(BouncedPacketsShowNoUpstream) {
  Fixture f(/*first_start=*/false);
  f.gate.Leave();
  Millis absent_after = Millis(1000) * UpstreamLiveness::kAbsentHeartbeats +
                        UpstreamLiveness::kAbsentSlack;
  for (Millis end = f.now + absent_after; f.now <= end;) {
    f.FromUpstream(Bounced(Data(101, 500)));
    f.AdvanceTime(kTickStep);
  }
  BOOST_TEST((f.gate.Report(f.now).state == UpstreamState::kGone));
  BOOST_TEST(f.gate.KnowsWhetherUpstreamRuns(f.now));
}

// After a power failure, the host of a removed upstream is stopped again soon
// after its start. Guards against its last report: "leaving" with an upstream
// that was never heard. Balancers then waited for the agent's answers for 30 s,
// and told no caller that its flow was lost.
BOOST_FIXTURE_TEST_CASE(LeavingAgentWaitsUntilItKnowsIfThereIsAnUpstream,
                        Fixture) {
  gate.Leave();
  BOOST_TEST(!gate.KnowsWhetherUpstreamRuns(now));
  now = now + Millis(1000) * UpstreamLiveness::kAbsentHeartbeats +
        UpstreamLiveness::kAbsentSlack + Millis(1);
  BOOST_TEST(gate.KnowsWhetherUpstreamRuns(now));
  BOOST_TEST(!gate.Report(now).leaving);
}

// An agent that restarts beside a running upstream may leave once it has heard
// from it.
BOOST_FIXTURE_TEST_CASE(LeavingAgentKnowsItsUpstreamAfterOneHeartbeat,
                        Fixture) {
  gate.Leave();
  DeliverHeartbeat(MakeHeartbeat(7));
  BOOST_TEST(gate.KnowsWhetherUpstreamRuns(now));
  BOOST_TEST(gate.Report(now).leaving);
}

// A balancer resets the flows of an upstream that is reported gone. It must not
// do so while the last packets of the upstream are in transit.
BOOST_FIXTURE_TEST_CASE(UpstreamIsReportedGoneOnlyAfterShutdownGrace, Fixture) {
  OpenFlow();
  DeliverHeartbeat(MakeHeartbeat(0, UpstreamState::kGone));
  gate.Leave();
  BOOST_TEST((gate.Report(now).state == UpstreamState::kDraining));
  BOOST_TEST(!gate.Report(now).leaving);  // the upstream stops as well
  BOOST_TEST((AskHolding() == Holding::kHeld));
  GateActions seen = AdvanceTime(UpstreamLiveness::kShutdownGrace);
  BOOST_TEST(ActionsOfType<ReportNow>(seen).size() == 1U);
  BOOST_TEST((gate.Report(now).state == UpstreamState::kGone));
}

// An agent that stops between two requests interrupts flows for less time.
BOOST_FIXTURE_TEST_CASE(LeavingAgentIsIdleBetweenRequests, Fixture) {
  OpenFlow();
  gate.Leave();
  gate.OnTick(now, actions);
  BOOST_TEST(gate.IsIdle());
  Forward(Data(101, 500));
  BOOST_TEST(!gate.IsIdle());
  FromUpstream(UpstreamData(kUpstreamInitialSequence + 1, 100));
  BOOST_TEST(gate.IsIdle());
}

BOOST_FIXTURE_TEST_CASE(ClosedAndIdleFlowsAreDropped, Fixture) {
  OpenFlow();
  Forward(testing::Finish(101));
  flow::PacketHeader end = UpstreamData(kUpstreamInitialSequence + 1, 0);
  end.finishes = true;
  FromUpstream(end);
  // Kept for late retransmissions.
  BOOST_TEST((AskHolding() == Holding::kHeld));
  BOOST_TEST(gate.Report(now).load.open_flows == 0U);
  AdvanceTime(UpstreamGate::kClosedFlowRetention + Millis(1000));
  BOOST_TEST(gate.flows() == 0U);
  OpenFlow();
  AdvanceTime(Millis(20'000));
  BOOST_TEST(gate.flows() == 0U);
}

// The on-call engineer must be able to tell whether the upstream or the load
// balancer reset a caller.
BOOST_FIXTURE_TEST_CASE(UpstreamResetIsReportedOnce, Fixture) {
  OpenFlow();
  Forward(Data(101, 500));
  now = now + Millis(30);
  flow::PacketHeader reset = UpstreamData(kUpstreamInitialSequence + 1, 0);
  reset.resets = true;
  auto reported = ActionsOfType<UpstreamReset>(FromUpstream(reset));
  BOOST_REQUIRE(reported.size() == 1U);
  BOOST_TEST((reported[0].flow == kDeskFlow));
  BOOST_TEST(reported[0].request_pending);
  BOOST_TEST((reported[0].pending_for == Millis(30)));
  // A retransmission is not reported again.
  BOOST_TEST(ActionsOfType<UpstreamReset>(FromUpstream(reset)).empty());
}

}  // namespace
}  // namespace filberthollow::decision::flows
