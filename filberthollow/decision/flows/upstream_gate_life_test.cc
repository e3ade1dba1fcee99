// Tests which flows a gate resets when another run of its upstream starts.
#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using testing::Acceptance;
using testing::ActionsOfType;
using testing::Data;
using testing::kDeskFlow;
using testing::MakeHeartbeat;
using testing::Opening;

constexpr Millis kInterval{1000};
constexpr int64_t kBeforeMs = 3400;  // start time by a clock that is ahead
constexpr int64_t kAfterMs = 1000;   // start time after it was set back

struct Fixture : testing::GateFixture {
  // Opens a flow from another port of the caller of kDeskFlow.
  void OpenFlowFrom(uint16_t port) {
    flow::PacketHeader header = Opening();
    header.source.port = port;
    Forward(header);
    header = Acceptance();
    header.destination.port = port;
    FromUpstream(header);
    header = Data(101, 0);
    header.source.port = port;
    Forward(header);
  }
  // Delivers heartbeats of the run that started after the clock was set back,
  // until it is the current one. Returns the resets by the last one.
  std::vector<ResetCaller> ConfirmRunAfterClockWasSetBack(uint64_t sequence) {
    GateActions all;
    for (HeartbeatOutcome outcome = HeartbeatOutcome::kEarlierRun;
         outcome == HeartbeatOutcome::kEarlierRun; ++sequence) {
      BOOST_REQUIRE(sequence < 6U);
      all = AdvanceTime(kInterval);
      BOOST_REQUIRE(ActionsOfType<ResetCaller>(all).empty());
      outcome = gate.OnHeartbeat(
          MakeHeartbeat(sequence, UpstreamState::kReady, kAfterMs), now,
          actions);
      all = TakeActions();
    }
    return ActionsOfType<ResetCaller>(all);
  }
};

// Guards against an upstream that is started again after the clock of its host
// was set back: its heartbeats were ignored, so that it got new flows while it
// drained.
BOOST_FIXTURE_TEST_CASE(UpstreamDrainsAfterClockWasSetBack, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(2, UpstreamState::kReady, kBeforeMs));
  ConfirmRunAfterClockWasSetBack(1);
  BOOST_TEST(
      (gate.OnHeartbeat(MakeHeartbeat(9, UpstreamState::kDraining, kAfterMs),
                        now, actions) == HeartbeatOutcome::kChanged));
  BOOST_TEST((gate.Report(now).state == UpstreamState::kDraining));
  TakeActions();
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(Forward(Opening())).empty());
}

// The new run has accepted flows before its heartbeats showed that it is the
// current one, also before the first of them.
BOOST_FIXTURE_TEST_CASE(OnlyFlowsOfTheEndedRunAreReset, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(2, UpstreamState::kReady, kBeforeMs));
  OpenFlowFrom(testing::kCaller.port);
  AdvanceTime(kInterval);
  OpenFlowFrom(1);
  AdvanceTime(testing::kTickStep);
  DeliverHeartbeat(MakeHeartbeat(1, UpstreamState::kReady, kAfterMs));
  AdvanceTime(testing::kTickStep);
  OpenFlowFrom(2);
  auto resets = ConfirmRunAfterClockWasSetBack(2);
  BOOST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].flow == kDeskFlow));
  BOOST_TEST(gate.flows() == 2U);
}

BOOST_FIXTURE_TEST_CASE(LateHeartbeatOfEndedRunResetsNoFlow, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(2, UpstreamState::kReady, kBeforeMs));
  ConfirmRunAfterClockWasSetBack(1);
  OpenFlowFrom(1);
  for (UpstreamState state :
       {UpstreamState::kReady, UpstreamState::kDraining}) {
    BOOST_TEST(ActionsOfType<ResetCaller>(
                   DeliverHeartbeat(MakeHeartbeat(9, state, kBeforeMs)))
                   .empty());
    BOOST_TEST((gate.Report(now).state == UpstreamState::kReady));
  }
}

// Guards against resetting flows that a run accepted before its first
// heartbeat.
BOOST_FIXTURE_TEST_CASE(FlowsAcceptedBeforeTheFirstHeartbeatAreKept, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(2));
  OpenFlowFrom(testing::kCaller.port);
  AdvanceTime(testing::kTickStep);
  // The packet shows that the run was alive when it accepted the second flow.
  OpenFlowFrom(1);
  AdvanceTime(testing::kTickStep);
  FromUpstream(testing::UpstreamData(testing::kUpstreamInitialSequence + 1, 9));
  AdvanceTime(testing::kTickStep);
  OpenFlowFrom(2);
  auto resets = ActionsOfType<ResetCaller>(
      DeliverHeartbeat(MakeHeartbeat(1, UpstreamState::kReady, 2000)));
  BOOST_TEST(resets.size() == 2U);
  BOOST_TEST(gate.flows() == 1U);
}

// Guards against a DELETE of an earlier run that arrives late: the open flows
// of the run that had started under the same identifier were reset.
BOOST_FIXTURE_TEST_CASE(LateEndOfAnEarlierRunResetsNoFlow, Fixture) {
  OpenFlow();
  UpstreamHeartbeat end = MakeHeartbeat(9, UpstreamState::kGone);
  end.started = Millis(500);
  BOOST_TEST((gate.OnHeartbeat(end, now, actions) ==
              HeartbeatOutcome::kOtherUpstream));
  GateActions seen = AdvanceTime(UpstreamLiveness::kShutdownGrace * 2);
  BOOST_TEST(ActionsOfType<ResetCaller>(seen).empty());
  BOOST_TEST((gate.Report(now).state == UpstreamState::kReady));
}

// An upstream that sends packets has not exited, whatever was announced.
BOOST_FIXTURE_TEST_CASE(FlowsAreKeptWhileUpstreamSendsPackets, Fixture) {
  OpenFlow();
  DeliverHeartbeat({.id = MakeHeartbeat(1).id, .state = UpstreamState::kGone});
  for (int packet = 0; packet < 10; ++packet) {
    FromUpstream(
        testing::UpstreamData(testing::kUpstreamInitialSequence + 1, 9));
    BOOST_TEST(
        ActionsOfType<ResetCaller>(
            AdvanceTime(UpstreamLiveness::kShutdownGrace - testing::kTickStep))
            .empty());
  }
  BOOST_TEST(
      ActionsOfType<ResetCaller>(AdvanceTime(UpstreamLiveness::kShutdownGrace))
          .size() == 1U);
}

// What is in effect is the state of the current run, not that of another one.
BOOST_FIXTURE_TEST_CASE(DrainingOfAnotherRunIsNotAcknowledged, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(5, UpstreamState::kDraining, kBeforeMs));
  for (int copy = 0; copy < 2; ++copy) {
    BOOST_TEST(
        (gate.OnHeartbeat(MakeHeartbeat(1, UpstreamState::kDraining, kAfterMs),
                          now, actions) == HeartbeatOutcome::kEarlierRun));
  }
}

// A heartbeat that repeats what is in effect may be acknowledged; one that says
// something else may not.
BOOST_FIXTURE_TEST_CASE(LateReadyDoesNotEndDraining, Fixture) {
  DeliverHeartbeat(MakeHeartbeat(5));
  DeliverHeartbeat(MakeHeartbeat(7, UpstreamState::kDraining));
  BOOST_TEST((gate.OnHeartbeat(MakeHeartbeat(6), now, actions) ==
              HeartbeatOutcome::kStale));
  BOOST_TEST((gate.OnHeartbeat(MakeHeartbeat(6, UpstreamState::kDraining), now,
                               actions) == HeartbeatOutcome::kRepeated));
  BOOST_TEST((gate.Report(now).state == UpstreamState::kDraining));
}

}  // namespace
}  // namespace filberthollow::decision::flows
