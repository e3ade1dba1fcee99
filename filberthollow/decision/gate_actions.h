// What an agent's gate asks its task to do, and notes of what it decided.
#ifndef FILBERTHOLLOW_DECISION_GATE_ACTIONS_H_
#define FILBERTHOLLOW_DECISION_GATE_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/decision/packet_messages.h"

namespace filberthollow::decision {

// DeliverToUpstream delivers a packet.
struct DeliverToUpstream {
  std::string packet;
  friend bool operator==(const DeliverToUpstream&,
                         const DeliverToUpstream&) = default;
};
// DeliverToCaller sends the upstream's packet to the caller.
struct DeliverToCaller {
  base::Address caller;
  std::string packet;
  friend bool operator==(const DeliverToCaller&,
                         const DeliverToCaller&) = default;
};
// ResetCaller ends a flow that its upstream has lost.
struct ResetCaller {
  flow::FlowEnds flow;
  uint32_t sequence = 0;
  flow::Reason reason{};
  friend bool operator==(const ResetCaller&, const ResetCaller&) = default;
};
// AnswerBalancer answers a balancer.
struct AnswerBalancer {
  base::Address balancer;
  FlowAnswer answer;
  friend bool operator==(const AnswerBalancer&,
                         const AnswerBalancer&) = default;
};
// AnswerLocate answers a balancer's question about flows.
struct AnswerLocate {
  base::Address balancer;
  Located answer;
  friend bool operator==(const AnswerLocate&, const AnswerLocate&) = default;
};
// CheckUpstream asks the upstream's health check for a sign of life.
struct CheckUpstream {
  friend bool operator==(CheckUpstream, CheckUpstream) = default;
};
// ReportNow tells the balancers at once.
struct ReportNow {
  friend bool operator==(ReportNow, ReportNow) = default;
};

// The following are notes of what was decided, and by which inputs, for logs
// and metrics.

// OfferDecided: a new flow was taken or refused.
struct OfferDecided {
  flow::FlowEnds flow;
  bool taken = false;
  flow::Reason reason{};  // if it was refused
  UpstreamState state{};
  base::Millis heard_ago;  // the upstream
  base::Millis took;       // the upstream to answer
  UpstreamLoad load;
  friend bool operator==(const OfferDecided&, const OfferDecided&) = default;
};
// RequestWaited: a request was delivered late, since the upstream was full.
struct RequestWaited {
  flow::FlowEnds flow;
  base::Millis waited;
  size_t still_waiting = 0;
  friend bool operator==(const RequestWaited&, const RequestWaited&) = default;
};
// RequestAnswered: the first byte of an answer has come.
struct RequestAnswered {
  base::Millis took;
  friend bool operator==(RequestAnswered, RequestAnswered) = default;
};
// UpstreamReset: the upstream itself has reset a flow that was open.
struct UpstreamReset {
  flow::FlowEnds flow;
  bool busy = false;        // a request had no answer yet,
  base::Millis busy_for;    // for so long
  base::Millis opened_ago;  // or since this agent has known it
  friend bool operator==(const UpstreamReset&, const UpstreamReset&) = default;
};
// UpstreamSilence: the upstream has fallen silent, or is heard again.
struct UpstreamSilence {
  bool silent = false;
  base::Millis heard_ago;
  bool opening_unanswered = false;  // it has not answered an opening packet
  friend bool operator==(const UpstreamSilence&,
                         const UpstreamSilence&) = default;
};

using GateAction = std::variant<DeliverToUpstream,
                                DeliverToCaller,
                                ResetCaller,
                                AnswerBalancer,
                                AnswerLocate,
                                CheckUpstream,
                                ReportNow,
                                OfferDecided,
                                RequestWaited,
                                RequestAnswered,
                                UpstreamReset,
                                UpstreamSilence>;
using GateActions = std::vector<GateAction>;

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_GATE_ACTIONS_H_
