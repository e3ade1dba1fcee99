// Test fixture for UpstreamGate.
#ifndef FILBERTHOLLOW_TESTING_GATE_FIXTURE_H_
#define FILBERTHOLLOW_TESTING_GATE_FIXTURE_H_

#include <algorithm>
#include <utility>

#include "filberthollow/decision/upstream_gate.h"
#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::testing {

inline constexpr base::Address kBalancer{7, 7000};
inline constexpr base::Millis kTickStep{100};

// GateFixture is a gate for the service kDesk with a clock that the test
// advances. Methods that return GateActions return the actions of the gate
// since the last such call.
struct GateFixture {
  base::Millis now{10'000};
  decision::UpstreamGate gate;
  decision::GateActions actions;

  explicit GateFixture(bool first_start = true)
      : gate(
            decision::GateOptions{.service = kDesk, .first_start = first_start},
            now) {
    gate.SetRoutes(TwoRoutes(5));
  }

  decision::GateActions TakeActions() { return std::exchange(actions, {}); }
  decision::GateActions DeliverHeartbeat(
      const decision::UpstreamHeartbeat& beat) {
    gate.OnHeartbeat(beat, now, actions);
    return TakeActions();
  }
  decision::GateActions Forward(const flow::PacketHeader& header,
                                decision::Forward forward = {.revision = 5,
                                                             .packet = "p"}) {
    gate.OnForward(forward, header, kBalancer, now, actions);
    return TakeActions();
  }
  decision::GateActions FromUpstream(const flow::PacketHeader& header) {
    gate.OnUpstreamPacket("u", header, now, actions);
    return TakeActions();
  }
  // Advances the clock by `time`, with a tick at least every kTickStep.
  decision::GateActions AdvanceTime(base::Millis time) {
    decision::GateActions all;
    for (base::Millis end = now + time; now < end;) {
      now = now + std::min(kTickStep, end - now);
      gate.OnTick(now, actions);
      for (auto& action : TakeActions()) {
        all.push_back(action);
      }
    }
    return all;
  }
  // Returns whether the gate holds kDeskFlow for a caller with this last
  // acknowledgement.
  decision::Holding AskHolding(
      uint32_t acknowledged = kUpstreamInitialSequence + 1) {
    gate.OnLocate({{{kDeskFlow, acknowledged}}}, kBalancer, now, actions);
    return ActionsOfType<decision::AnswerLocate>(TakeActions())
        .at(0)
        .answer.flows.at(0)
        .holding;
  }
  // Opens kDeskFlow. The caller has sent no data yet.
  void OpenFlow() {
    DeliverHeartbeat(MakeHeartbeat(1));
    Forward(Opening());
    FromUpstream(Acceptance());
    Forward(Data(101, 0));
  }
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_GATE_FIXTURE_H_
