#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision {
namespace {

using base::Millis;
using testing::Acceptance;
using testing::Data;
using testing::Finish;
using testing::kStep;
using testing::kUpstreamStart;
using testing::Only;
using testing::Opening;
using testing::UpstreamData;
using Fixture = testing::GateFixture;

BOOST_FIXTURE_TEST_CASE(BusyCountsRequestsWithoutAnAnswer, Fixture) {
  OpenFlow();
  Forward(Data(101, 500));
  Forward(Data(601, 400));
  Forward(Data(101, 500));  // a copy
  BOOST_TEST(gate.Report(now).load.busy == 1U);
  FromUpstream(UpstreamData(kUpstreamStart + 1, 0));
  BOOST_TEST(gate.Report(now).load.busy == 1U);  // only an acknowledgement
  FromUpstream(UpstreamData(kUpstreamStart + 1, 1200));
  BOOST_TEST(gate.Report(now).load.busy == 0U);
}

// An upstream with one slot, which is given two requests at a time.
struct FullUpstream : Fixture {
  static constexpr uint16_t kBusyFlows = 3;  // the connection limit

  FullUpstream() {
    Hear({.id = "i",
          .service = "desk",
          .started = Millis(1000),
          .sequence = 1,
          .state = UpstreamState::kReady,
          .slots = 1});
    for (uint16_t port = 1; port <= kBusyFlows; ++port) {
      Forward(At(Opening(), port));
      FromUpstream(Reply(Acceptance(), port));
      Forward(At(Data(101, 0), port));
    }
  }
  static flow::PacketHead At(flow::PacketHead head, uint16_t port) {
    head.source.port = port;
    return head;
  }
  static flow::PacketHead Reply(flow::PacketHead head, uint16_t port) {
    head.destination.port = port;
    return head;
  }
  bool Request(uint16_t port) {
    return !Only<DeliverToUpstream>(Forward(At(Data(101, 500), port))).empty();
  }
};

BOOST_FIXTURE_TEST_CASE(RequestsWaitWhileTheUpstreamIsFull, FullUpstream) {
  BOOST_TEST(Request(1));
  BOOST_TEST(Request(2));
  BOOST_TEST(!Request(3));
  BOOST_TEST(!Request(3));  // a copy
  BOOST_TEST(gate.Report(now).load.busy == 3U);
  GateActions answered =
      FromUpstream(Reply(UpstreamData(kUpstreamStart + 1, 100), 1));
  BOOST_TEST(Only<DeliverToUpstream>(answered).size() == 1U);
  BOOST_TEST(Only<DeliverToCaller>(answered).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ARequestThatWasGivenUpIsNotDelivered, FullUpstream) {
  Request(1);
  Request(2);
  Request(3);
  flow::PacketHead reset = At(Data(601, 0), 3);
  reset.resets = true;
  Forward(reset);
  GateActions answered =
      FromUpstream(Reply(UpstreamData(kUpstreamStart + 1, 100), 1));
  BOOST_TEST(Only<DeliverToUpstream>(answered).empty());
}

// After an outage such requests held the places of others for a second each.
BOOST_FIXTURE_TEST_CASE(ARequestWhoseCallerHasFinishedDoesNotWait,
                        FullUpstream) {
  Request(1);
  Request(2);
  Request(3);
  GateActions given_up = Forward(At(Finish(601), 3));
  BOOST_TEST(Only<DeliverToUpstream>(given_up).size() == 2U);
  flow::PacketHead finish = Reply(UpstreamData(kUpstreamStart + 1, 0), 3);
  finish.finishes = true;
  FromUpstream(finish);
  BOOST_TEST(gate.Report(now).load.busy == 2U);
  BOOST_TEST(gate.Report(now).load.open == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatFinishesHasNoWorkLeft, FullUpstream) {
  Request(1);
  flow::PacketHead finish = Reply(UpstreamData(kUpstreamStart + 1, 0), 1);
  finish.finishes = true;
  FromUpstream(finish);
  BOOST_TEST(gate.Report(now).load.busy == 0U);
}

// Callers that left before they had sent the whole of a request kept all
// others waiting for ever.
BOOST_FIXTURE_TEST_CASE(ARequestWithoutAnAnswerDoesNotBlockForEver,
                        FullUpstream) {
  Request(1);
  Request(2);
  BOOST_TEST(!Request(3));
  FromUpstream(Reply(UpstreamData(kUpstreamStart, 0), 1));
  GateActions seen = Pass(BusyMeter::kMaxBusy + kStep);
  BOOST_TEST(Only<DeliverToUpstream>(seen).size() == 1U);
}

}  // namespace
}  // namespace filberthollow::decision
