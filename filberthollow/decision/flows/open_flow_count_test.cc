// Property test: an agent's count of open flows equals the number of flows in
// its table that are not closed, whatever packets arrive in whatever order.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using testing::Acceptance;
using testing::Bounced;
using testing::Data;
using testing::Finish;
using testing::kDeskFlow;
using testing::MakeHeartbeat;
using testing::Opening;
using testing::UpstreamData;
using Fixture = testing::GateFixture;

flow::PacketHeader Reset(flow::PacketHeader header) {
  header.resets = true;
  header.data_bytes = 0;
  return header;
}

flow::PacketHeader UpstreamFinish() {
  flow::PacketHeader header =
      UpstreamData(testing::kUpstreamInitialSequence, 0);
  header.finishes = true;
  return header;
}

// A step of the test: a packet of one of three flows, or the passage of time.
using Step = void (*)(Fixture& fixture, uint16_t port);

flow::PacketHeader FromCallerPort(flow::PacketHeader header, uint16_t port) {
  header.source.port = port;
  return header;
}

flow::PacketHeader ToCallerPort(flow::PacketHeader header, uint16_t port) {
  header.destination.port = port;
  return header;
}

constexpr std::array<Step, 10> kSteps{
    [](Fixture& f, uint16_t p) { f.Forward(FromCallerPort(Opening(), p)); },
    [](Fixture& f, uint16_t p) {
      f.FromUpstream(ToCallerPort(Acceptance(), p));
    },
    [](Fixture& f, uint16_t p) {
      f.Forward(FromCallerPort(Data(101, 500), p));
    },
    [](Fixture& f, uint16_t p) {
      f.FromUpstream(ToCallerPort(UpstreamData(5001, 900), p));
    },
    [](Fixture& f, uint16_t p) { f.Forward(FromCallerPort(Finish(601), p)); },
    [](Fixture& f, uint16_t p) {
      f.FromUpstream(ToCallerPort(UpstreamFinish(), p));
    },
    [](Fixture& f, uint16_t p) {
      f.Forward(FromCallerPort(Reset(Data(601, 0)), p));
    },
    [](Fixture& f, uint16_t p) {
      f.FromUpstream(ToCallerPort(Reset(UpstreamData(5001, 0)), p));
    },
    [](Fixture& f, uint16_t p) {
      f.FromUpstream(Bounced(FromCallerPort(Data(101, 500), p)));
    },
    [](Fixture& f, uint16_t /*p*/) { f.AdvanceTime(Millis(200)); },
};

RC_BOOST_PROP(OpenFlowCountEqualsOpenFlowsInTable, ()) {
  constexpr uint16_t kPorts = 3;  // the connection limit of the service
  Fixture fixture;
  fixture.DeliverHeartbeat(MakeHeartbeat(1));
  auto steps = *rc::gen::container<std::vector<std::pair<size_t, uint16_t>>>(
      rc::gen::pair(rc::gen::inRange<size_t>(0, kSteps.size()),
                    rc::gen::inRange<uint16_t>(1, kPorts + 1)));
  for (const auto& [step, port] : steps) {
    kSteps.at(step)(fixture, port);
    RC_ASSERT(size_t{fixture.gate.Report(fixture.now).load.open_flows} ==
              fixture.gate.CountOpenFlows());
  }
}

// Guards against an agent that refuses all new flows once enough flows have
// been closed by their callers.
BOOST_FIXTURE_TEST_CASE(FlowsClosedByCallersLeaveRoomForNewFlows, Fixture) {
  constexpr uint16_t kFlows = 20;  // the connection limit is 3
  DeliverHeartbeat(MakeHeartbeat(1));
  for (uint16_t port = 1; port <= kFlows; ++port) {
    Forward(FromCallerPort(Opening(), port));
    FromUpstream(ToCallerPort(Acceptance(), port));
    GateActions delivered = Forward(FromCallerPort(Data(101, 500), port));
    BOOST_TEST(testing::ActionsOfType<DeliverToUpstream>(delivered).size() ==
               1U);
    FromUpstream(ToCallerPort(UpstreamData(5001, 900), port));
    FromUpstream(ToCallerPort(UpstreamFinish(), port));
    Forward(FromCallerPort(Finish(601), port));
    BOOST_TEST(gate.Report(now).load.open_flows == 0U);
  }
}

}  // namespace
}  // namespace filberthollow::decision::flows
