#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using testing::Acceptance;
using testing::ActionsOfType;
using testing::Data;
using testing::Finish;
using testing::kTickStep;
using testing::kUpstreamInitialSequence;
using testing::Opening;
using testing::UpstreamData;
using Fixture = testing::GateFixture;

BOOST_FIXTURE_TEST_CASE(LoadCountsUnansweredRequests, Fixture) {
  OpenFlow();
  Forward(Data(101, 500));
  Forward(Data(601, 400));
  Forward(Data(101, 500));  // a retransmission
  BOOST_TEST(gate.Report(now).load.in_flight == 1U);
  FromUpstream(UpstreamData(kUpstreamInitialSequence + 1, 0));
  BOOST_TEST(gate.Report(now).load.in_flight == 1U);  // only acknowledged
  FromUpstream(UpstreamData(kUpstreamInitialSequence + 1, 1200));
  BOOST_TEST(gate.Report(now).load.in_flight == 0U);
}

// An upstream with one slot, to which at most two requests are delivered at a
// time.
struct FullUpstream : Fixture {
  static constexpr uint16_t kOpenFlows = 3;  // the connection limit of kDesk

  FullUpstream() {
    DeliverHeartbeat({.id = "i",
                      .service = "desk",
                      .started = Millis(1000),
                      .sequence = 1,
                      .state = UpstreamState::kReady,
                      .slots = 1});
    for (uint16_t port = 1; port <= kOpenFlows; ++port) {
      Forward(FromCallerPort(Opening(), port));
      FromUpstream(ToCallerPort(Acceptance(), port));
      Forward(FromCallerPort(Data(101, 0), port));
    }
  }
  static flow::PacketHeader FromCallerPort(flow::PacketHeader header,
                                           uint16_t port) {
    header.source.port = port;
    return header;
  }
  static flow::PacketHeader ToCallerPort(flow::PacketHeader header,
                                         uint16_t port) {
    header.destination.port = port;
    return header;
  }
  bool SendRequest(uint16_t port) {
    return !ActionsOfType<DeliverToUpstream>(
                Forward(FromCallerPort(Data(101, 500), port)))
                .empty();
  }
};

BOOST_FIXTURE_TEST_CASE(RequestsAreQueuedWhileUpstreamIsFull, FullUpstream) {
  BOOST_TEST(SendRequest(1));
  BOOST_TEST(SendRequest(2));
  BOOST_TEST(!SendRequest(3));
  BOOST_TEST(!SendRequest(3));  // a retransmission
  BOOST_TEST(gate.Report(now).load.in_flight == 3U);
  GateActions answered = FromUpstream(
      ToCallerPort(UpstreamData(kUpstreamInitialSequence + 1, 100), 1));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(answered).size() == 1U);
  BOOST_TEST(ActionsOfType<DeliverToCaller>(answered).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(QueuedRequestIsDroppedWhenCallerResets, FullUpstream) {
  SendRequest(1);
  SendRequest(2);
  SendRequest(3);
  flow::PacketHeader reset = FromCallerPort(Data(601, 0), 3);
  reset.resets = true;
  Forward(reset);
  GateActions answered = FromUpstream(
      ToCallerPort(UpstreamData(kUpstreamInitialSequence + 1, 100), 1));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(answered).empty());
}

// Guards against queued requests whose callers have already finished: after an
// outage, each of them took capacity from other requests for a second.
BOOST_FIXTURE_TEST_CASE(QueuedRequestIsDeliveredWhenCallerFinishes,
                        FullUpstream) {
  SendRequest(1);
  SendRequest(2);
  SendRequest(3);
  GateActions delivered = Forward(FromCallerPort(Finish(601), 3));
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(delivered).size() == 2U);
  flow::PacketHeader finish =
      ToCallerPort(UpstreamData(kUpstreamInitialSequence + 1, 0), 3);
  finish.finishes = true;
  FromUpstream(finish);
  BOOST_TEST(gate.Report(now).load.in_flight == 2U);
  BOOST_TEST(gate.Report(now).load.open_flows == 2U);
}

// Guards against requests that an agent had accepted just before a planned stop
// under load: they were lost with its buffers.
BOOST_FIXTURE_TEST_CASE(StoppingAgentDeliversQueuedRequests, FullUpstream) {
  SendRequest(1);
  SendRequest(2);
  BOOST_TEST(!SendRequest(3));
  gate.Leave();
  gate.DeliverAllRequests(now, actions);
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(TakeActions()).size() == 1U);
  gate.DeliverAllRequests(now, actions);
  BOOST_TEST(TakeActions().empty());
}

// Sends requests one after the other, each answered after a tick.
struct MeasuredUpstream : Fixture {
  static constexpr uint32_t kRequests = 120;

  void Serve() {
    for (uint32_t i = 0; i < kRequests; ++i) {
      Forward(Data(101 + i * 500, 500));
      AdvanceTime(kTickStep);
      FromUpstream(UpstreamData(kUpstreamInitialSequence + 1 + i * 100, 100));
    }
  }
};

BOOST_FIXTURE_TEST_CASE(LoadHoldsMeasuredWork, MeasuredUpstream) {
  OpenFlow();
  BOOST_TEST(gate.Report(now).load.work_us == 0U);
  Serve();
  BOOST_TEST(gate.Report(now).load.work_us > 99'000U);
  BOOST_TEST(gate.Report(now).load.work_us < 101'000U);
  AdvanceTime(Millis(700));
  BOOST_TEST(gate.Report(now).load.work_age_ms == 700U);
}

// Guards against requests that end without an answer and make an upstream seem
// faster than it is.
BOOST_FIXTURE_TEST_CASE(OnlyAnswersCountAsAnswers, MeasuredUpstream) {
  OpenFlow();
  Serve();
  uint32_t before = gate.Report(now).load.work_us;
  Forward(Data(101 + kRequests * 500, 500));
  AdvanceTime(kTickStep);
  Forward(Finish(101 + (kRequests + 1) * 500));
  auto finish = UpstreamData(kUpstreamInitialSequence + 1 + kRequests * 100, 0);
  finish.finishes = true;
  FromUpstream(finish);
  BOOST_TEST(gate.Report(now).load.in_flight == 0U);
  BOOST_TEST(gate.Report(now).load.work_us > before);
}

// Guards against a restarted upstream that is avoided, or preferred, for the
// speed of its last run.
BOOST_FIXTURE_TEST_CASE(MeasuredWorkIsOfTheCurrentRun, MeasuredUpstream) {
  OpenFlow();
  Serve();
  BOOST_TEST(gate.Report(now).load.work_us > 0U);
  DeliverHeartbeat(
      testing::MakeHeartbeat(1, UpstreamState::kReady, now.count()));
  BOOST_TEST(gate.Report(now).load.work_us == 0U);
}

// Guards against an upstream that seems slow after its cold start, which the
// choice counts already.
BOOST_FIXTURE_TEST_CASE(WorkOfAColdUpstreamIsNotMeasured, MeasuredUpstream) {
  OpenFlow();
  UpstreamHeartbeat cold = testing::MakeHeartbeat(2);
  cold.cold_remaining = Millis(60'000);
  DeliverHeartbeat(cold);
  Serve();
  BOOST_TEST(gate.Report(now).load.work_us == 0U);
}

BOOST_FIXTURE_TEST_CASE(UpstreamFinishEndsPendingRequest, FullUpstream) {
  SendRequest(1);
  flow::PacketHeader finish =
      ToCallerPort(UpstreamData(kUpstreamInitialSequence + 1, 0), 1);
  finish.finishes = true;
  FromUpstream(finish);
  BOOST_TEST(gate.Report(now).load.in_flight == 0U);
}

// Guards against requests that are never answered because their callers left
// before sending the whole request: they blocked all other requests forever.
BOOST_FIXTURE_TEST_CASE(UnansweredRequestStopsCountingAfterTimeLimit,
                        FullUpstream) {
  SendRequest(1);
  SendRequest(2);
  BOOST_TEST(!SendRequest(3));
  FromUpstream(ToCallerPort(UpstreamData(kUpstreamInitialSequence, 0), 1));
  GateActions seen =
      AdvanceTime(load::InFlightMeter::kMaxRequestTime + kTickStep);
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(seen).size() == 1U);
}

}  // namespace
}  // namespace filberthollow::decision::flows
