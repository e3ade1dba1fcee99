// Test fixture for UpstreamGate.
#ifndef FILBERTHOLLOW_TESTING_GATE_FIXTURE_H_
#define FILBERTHOLLOW_TESTING_GATE_FIXTURE_H_

#include <algorithm>
#include <optional>
#include <utility>

#include "filberthollow/decision/flows/upstream_gate.h"
#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::testing {

inline constexpr base::Address kBalancer{7, 7000};
// kBalancer, which has a report of the agent.
inline constexpr decision::flows::ForwardSource kInformedBalancer{
    .balancer = kBalancer,
    .has_report = true};
inline constexpr base::Millis kTickStep{100};

// Returns why a new flow was refused. Returns nothing unless there is one
// answer, a refusal, and nothing was delivered to the upstream.
inline std::optional<flow::Reason> RefusalReasonOf(
    const decision::flows::GateActions& actions) {
  auto answers = ActionsOfType<decision::flows::AnswerBalancer>(actions);
  auto delivered = ActionsOfType<decision::flows::DeliverToUpstream>(actions);
  if (answers.size() != 1 || !delivered.empty() ||
      answers[0].answer.holding != decision::flows::Holding::kRefused) {
    return std::nullopt;
  }
  return answers[0].answer.reason;
}

// GateFixture is a gate for the service kDesk with a clock that the test
// advances. Methods that return GateActions return the actions of the gate
// since the last such call.
struct GateFixture {
  base::Millis now{10'000};
  decision::flows::UpstreamGate gate;
  decision::flows::GateActions actions;

  explicit GateFixture(bool first_start = true)
      : gate(decision::flows::GateOptions{.service = kDesk,
                                          .first_start = first_start},
             now) {
    gate.SetRoutes(TwoRoutes(5));
  }

  decision::flows::GateActions TakeActions() {
    return std::exchange(actions, {});
  }
  decision::flows::GateActions DeliverHeartbeat(
      const decision::flows::UpstreamHeartbeat& beat) {
    gate.OnHeartbeat(beat, now, actions);
    return TakeActions();
  }
  decision::flows::GateActions Forward(const flow::PacketHeader& header,
                                       decision::flows::Forward forward = {
                                           .revision = 5,
                                           .packet = "p"}) {
    gate.OnForward(forward, header, kInformedBalancer, now, actions);
    return TakeActions();
  }
  decision::flows::GateActions FromUpstream(const flow::PacketHeader& header) {
    gate.OnUpstreamPacket("u", header, now, actions);
    return TakeActions();
  }
  // Advances the clock by `time`, with a tick at least every kTickStep.
  decision::flows::GateActions AdvanceTime(base::Millis time) {
    decision::flows::GateActions all;
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
  decision::flows::Holding AskHolding(
      uint32_t acknowledged = kUpstreamInitialSequence + 1) {
    gate.OnLocate({{{kDeskFlow, acknowledged}}}, kBalancer, now, actions);
    return ActionsOfType<decision::flows::AnswerLocate>(TakeActions())
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
