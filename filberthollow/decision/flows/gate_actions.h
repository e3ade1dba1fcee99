// Actions that UpstreamGate returns to its agent task: what the task is to do,
// and events that report a decision. FlowRouter returns ResetCaller as well,
// for a flow that no upstream holds or accepts.
#ifndef FILBERTHOLLOW_DECISION_FLOWS_GATE_ACTIONS_H_
#define FILBERTHOLLOW_DECISION_FLOWS_GATE_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/decision/flows/packet_messages.h"

namespace filberthollow::decision::flows {

// DeliverToUpstream sends a packet to the upstream.
struct DeliverToUpstream {
  std::string packet;
  friend bool operator==(const DeliverToUpstream&,
                         const DeliverToUpstream&) = default;
};
// DeliverToCaller sends a packet of the upstream to the caller.
struct DeliverToCaller {
  base::Address caller;
  std::string packet;
  friend bool operator==(const DeliverToCaller&,
                         const DeliverToCaller&) = default;
};
// ResetCaller resets the flow towards the caller.
struct ResetCaller {
  flow::FlowEnds flow;
  uint32_t sequence = 0;  // sequence number of the reset
  flow::Reason reason{};
  friend bool operator==(const ResetCaller&, const ResetCaller&) = default;
};
// AnswerBalancer answers a balancer's Forward.
struct AnswerBalancer {
  base::Address balancer;
  FlowAnswer answer;
  friend bool operator==(const AnswerBalancer&,
                         const AnswerBalancer&) = default;
};
// AnswerLocate answers a balancer's Locate.
struct AnswerLocate {
  base::Address balancer;
  Located answer;
  friend bool operator==(const AnswerLocate&, const AnswerLocate&) = default;
};
// CheckUpstream starts a health check of the upstream.
struct CheckUpstream {
  friend bool operator==(CheckUpstream, CheckUpstream) = default;
};
// ReportNow sends a report to the balancers without waiting for the interval.
struct ReportNow {
  friend bool operator==(ReportNow, ReportNow) = default;
};

// The following actions are events for logs and metrics. They report a decision
// and its inputs.

// Offerer is the balancer that offered a new flow, and what its offer says of
// the service.
struct Offerer {
  base::Address balancer;
  uint64_t revision = 0;      // of the balancer's configuration
  base::ServiceId service{};  // that the balancer chose; none if not stated
  bool has_report = false;    // as in ForwardSource
  friend bool operator==(const Offerer&, const Offerer&) = default;
};
// OfferDecided: a new flow was accepted or refused.
struct OfferDecided {
  flow::FlowEnds flow;
  Offerer offerer;
  bool accepted = false;
  flow::Reason reason{};  // only if the flow was refused
  UpstreamState state{};
  base::Millis heard_ago;  // time since the upstream was last heard
  base::Millis took;       // time that the upstream took to answer
  load::UpstreamLoad load;
  bool cold = false;  // the upstream was treated as cold
  friend bool operator==(const OfferDecided&, const OfferDecided&) = default;
};
// RequestWaited: a request was queued because all slots of the upstream were
// busy, and has now been delivered.
struct RequestWaited {
  flow::FlowEnds flow;
  base::Millis waited;
  size_t still_waiting = 0;  // requests left in the queue
  friend bool operator==(const RequestWaited&, const RequestWaited&) = default;
};
// RequestAnswered: the first byte of an answer has arrived.
struct RequestAnswered {
  base::Millis took;  // time since the request was delivered
  friend bool operator==(RequestAnswered, RequestAnswered) = default;
};
// UpstreamReset: the upstream itself has reset an open flow.
struct UpstreamReset {
  flow::FlowEnds flow;
  bool request_pending = false;  // a request was not answered yet
  base::Millis pending_for;      // time since that request
  base::Millis opened_ago;       // time since the agent first saw the flow
  friend bool operator==(const UpstreamReset&, const UpstreamReset&) = default;
};
// UpstreamSilence: the upstream has stopped answering, or answers again.
struct UpstreamSilence {
  bool silent = false;
  base::Millis heard_ago;           // time since the upstream was last heard
  bool opening_unanswered = false;  // an opening packet was not answered
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

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_GATE_ACTIONS_H_
