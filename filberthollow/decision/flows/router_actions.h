// Actions that FlowRouter returns to its balancer task: what the task is to do,
// and events that report a decision. SendLocate is in locate_queue.h;
// UpstreamGate returns ResetCaller as well.
#ifndef FILBERTHOLLOW_DECISION_FLOWS_ROUTER_ACTIONS_H_
#define FILBERTHOLLOW_DECISION_FLOWS_ROUTER_ACTIONS_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "filberthollow/decision/flows/gate_actions.h"
#include "filberthollow/decision/flows/locate_queue.h"
#include "filberthollow/decision/flows/packet_messages.h"

namespace filberthollow::decision::flows {

// SendForward is an action: send the message to the agent.
struct SendForward {
  base::Address agent;
  Forward message;
  friend bool operator==(const SendForward&, const SendForward&) = default;
};
// DropPacket is an action: count a dropped packet by its reason.
struct DropPacket {
  flow::Reason reason{};
  friend bool operator==(const DropPacket&, const DropPacket&) = default;
};
// ReportNeeded is an action: ask the agent for a report. It answers, but its
// reports are overdue, so that another agent may have its address by now.
struct ReportNeeded {
  base::Address agent;
  base::Millis reported_ago;
  friend bool operator==(const ReportNeeded&, const ReportNeeded&) = default;
};

// The following actions are events for logs and metrics. They report a decision
// and its inputs.

// OfferMade: a new flow was offered to an upstream.
struct OfferMade {
  flow::FlowEnds flow;
  base::Address agent;
  size_t tries = 0;         // offers of this flow, including this one
  size_t candidates = 0;    // number of upstreams to choose from
  load::UpstreamLoad load;  // load of the chosen upstream
  base::Millis load_age;    // time since the load was reported
  // Flows placed on the chosen upstream after its load was reported.
  uint32_t placed_since_load = 0;
  uint32_t usual_work_us = 0;  // of all candidates; 0: unknown
  friend bool operator==(const OfferMade&, const OfferMade&) = default;
};
// OfferAccepted: an upstream has accepted the flow.
struct OfferAccepted {
  flow::FlowEnds flow;
  base::Address agent;
  base::Millis took;  // time since the caller's packet arrived
  friend bool operator==(const OfferAccepted&, const OfferAccepted&) = default;
};
// FlowFound: a search has found the agent whose upstream holds the flow.
struct FlowFound {
  flow::FlowEnds flow;
  base::Address agent;
  size_t agents_asked = 0;
  base::Millis took;  // time since the search started
  friend bool operator==(const FlowFound&, const FlowFound&) = default;
};
// FlowNotFound: a search has ended without finding the flow's agent.
struct FlowNotFound {
  flow::FlowEnds flow;
  bool reset = false;  // the flow is lost, and the caller was told so
  size_t agents_asked = 0;
  // Agents that have not answered, and those that don't know.
  size_t agents_unanswered = 0;
  size_t agents_unsure = 0;
  // Agents whose answer is not needed: those that have reported no upstream,
  // and those that count as having lost their flows.
  size_t agents_without_upstream = 0;
  size_t agents_lost = 0;
  // One of those that don't know, or else that have not answered.
  base::Address undecided_agent;
  base::Millis took;  // time since the search started
  friend bool operator==(const FlowNotFound&, const FlowNotFound&) = default;
};
// AgentSilence: messages of an agent are overdue, or arrive again.
struct AgentSilence {
  base::Address agent;
  bool silent = false;
  bool isolated = false;  // this balancer itself seems to be cut off
  base::Millis heard_ago;
  friend bool operator==(const AgentSilence&, const AgentSilence&) = default;
};
// ProcessPaused: this process did not run for some time. Messages that are
// missing for that time do not show that agents are silent.
struct ProcessPaused {
  base::Millis gap;
  friend bool operator==(const ProcessPaused&, const ProcessPaused&) = default;
};

using RouterAction = std::variant<SendForward,
                                  SendLocate,
                                  ResetCaller,
                                  DropPacket,
                                  OfferMade,
                                  OfferAccepted,
                                  FlowFound,
                                  FlowNotFound,
                                  AgentSilence,
                                  ReportNeeded,
                                  ProcessPaused>;
using RouterActions = std::vector<RouterAction>;

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_ROUTER_ACTIONS_H_
