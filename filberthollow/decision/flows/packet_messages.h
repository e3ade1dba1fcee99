// Messages between balancers and agents about pass-through flows, as plain
// values independent of their encoding.
//
// Each agent serves one upstream. All packets of the upstream pass through its
// agent, so only the agent knows which flows the upstream holds. A balancer
// forwards packets to agents, asks them which of them holds a flow that is not
// in its own cache, and receives their reports.
#ifndef FILBERTHOLLOW_DECISION_FLOWS_PACKET_MESSAGES_H_
#define FILBERTHOLLOW_DECISION_FLOWS_PACKET_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/decision/load/upstream_load.h"
#include "filberthollow/decision/membership/evacuations.h"
#include "filberthollow/flow/packet.h"
#include "filberthollow/flow/reason.h"

namespace filberthollow::decision::flows {

// UpstreamState is the state that an upstream announces to its agent, and that
// the agent reports to balancers.
enum class UpstreamState : uint8_t {
  kUnknown,   // no heartbeat received yet
  kReady,     // accepts new flows
  kDraining,  // keeps its open flows, accepts no new ones
  kGone,      // has terminated, or the agent has no upstream
};

// UpstreamHeartbeat is a heartbeat from an upstream to its agent. In the state
// kGone, which announces the end of a run, only `id` and `state` are always
// set; `started` and `sequence` are 0 if the upstream did not state them.
struct UpstreamHeartbeat {
  std::string id;
  std::string service;
  base::Address address;  // at which the upstream receives requests
  base::Millis started;   // wall-clock start time; identifies the run
  uint64_t sequence = 0;  // increases with each heartbeat of a run
  UpstreamState state{};
  uint32_t slots = 1;           // requests that it processes concurrently
  base::Millis cold_remaining;  // time until it works at full speed
  friend bool operator==(const UpstreamHeartbeat&,
                         const UpstreamHeartbeat&) = default;
};

// ReportConfirmation tells what the sender of a report knows of its arrival.
enum class ReportConfirmation : uint8_t {
  // The agent runs a release that does not repeat its first report.
  kUnsupported,
  // The balancer has confirmed no report since it started. It confirms this one
  // at once.
  kWanted,
  kReceived,
};

// UpstreamReport is sent periodically by an agent to balancers. It describes
// the upstream of the agent.
struct UpstreamReport {
  base::ServiceId service{};
  uint64_t data_centre = 0;  // hash of the name of its data centre
  uint64_t run = 0;          // identifies one run of the upstream
  UpstreamState state{};
  bool silent = false;  // does not answer new flows, or is refusing them
  load::UpstreamLoad load;
  uint64_t revision = 0;  // of the configuration that the agent uses
  base::Millis interval;  // time until the next report
  // The agent is about to stop while its upstream keeps running and keeps its
  // flows, so missing reports do not mean that the flows are lost.
  bool leaving = false;
  ReportConfirmation confirmation{};
  // Revision of the list of evacuations that the agent has.
  uint64_t evacuation_revision = 0;
  // That list, if the balancer has an older one; otherwise empty.
  membership::EvacuationList evacuations;
  friend bool operator==(const UpstreamReport&,
                         const UpstreamReport&) = default;
};

// BalancerHello announces a balancer to an agent or to another balancer.
struct BalancerHello {
  uint64_t revision = 0;  // of the configuration that the balancer uses
  uint64_t run = 0;       // identifies one run of the balancer
  bool leaving = false;   // is about to stop
  std::vector<base::Address> balancers;  // other balancers that it knows
  // A balancer that has just started and does not know all agents yet, or the
  // sender itself, if the agent's reports are overdue. An agent that receives
  // this reports to it at once. Empty if there is none.
  base::Address newcomer;
  // To an agent: whether the balancer has received a report of it.
  bool confirms_report = false;
  membership::EvacuationList evacuations;  // the newest that the balancer has
  // Whether the balancer takes turns at the object store; see
  // membership::WatchSchedule.
  bool takes_turns = false;
  friend bool operator==(const BalancerHello&, const BalancerHello&) = default;
};

// KnownAgent is an agent of which one balancer tells another.
struct KnownAgent {
  base::Address agent;
  base::ServiceId service{};  // of its upstream
  bool leaving = false;       // as in its last report
  base::Millis heard_ago;     // time since its last message
  friend bool operator==(const KnownAgent&, const KnownAgent&) = default;
};

// kMaxKnownAgents limits the agents of one KnownAgents, so that it fits in a
// datagram.
inline constexpr size_t kMaxKnownAgents = 48;

// KnownAgents tells a balancer that has just started which agents there are. It
// may not hear all of them itself: some restart, are silent or are cut off.
struct KnownAgents {
  std::vector<KnownAgent> agents;
  friend bool operator==(const KnownAgents&, const KnownAgents&) = default;
};

// Forward carries a caller's packet from a balancer to an agent.
struct Forward {
  uint64_t revision = 0;  // of the configuration that the balancer uses
  // The balancer does not know which upstream holds the flow, and the agent has
  // answered Holding::kUnsure. The agent delivers the packet to find out if its
  // upstream holds the flow.
  bool probe = false;
  // Of a new flow: the service that the balancer chose for it, and which it
  // takes the agent's upstream to be of. Default: none, which is also what
  // balancers of the previous release state.
  base::ServiceId service{};
  std::string packet;
  friend bool operator==(const Forward&, const Forward&) = default;
};

// ForwardSource is the balancer that sent a Forward, as its receiver knows it.
struct ForwardSource {
  base::Address balancer;
  // Whether the balancer has confirmed a report of this agent, and so knows the
  // service of its upstream.
  bool has_report = false;
  friend bool operator==(const ForwardSource&, const ForwardSource&) = default;
};

// FlowQuestion asks whether an upstream holds a flow.
struct FlowQuestion {
  flow::FlowEnds flow;
  uint32_t acknowledged = 0;  // last acknowledgement number of the caller
  friend bool operator==(const FlowQuestion&, const FlowQuestion&) = default;
};

// kMaxFlowsPerLocate limits the flows of one Locate, so that it and its answer
// each fit in a datagram.
inline constexpr size_t kMaxFlowsPerLocate = 64;

// Locate asks an agent which of the given flows its upstream holds.
struct Locate {
  std::vector<FlowQuestion> flows;
  friend bool operator==(const Locate&, const Locate&) = default;
};

// Holding tells whether the upstream of an agent holds a flow.
enum class Holding : uint8_t {
  kHeld,  // the upstream has accepted the flow
  kNotHeld,
  kUnsure,   // the agent started after its upstream and has not seen the flow
  kRefused,  // the upstream did not accept the new flow; nothing has run
};

// FlowHolding is an agent's answer for one flow.
struct FlowHolding {
  flow::FlowEnds flow;
  Holding holding{};
  friend bool operator==(const FlowHolding&, const FlowHolding&) = default;
};

// Located answers Locate.
struct Located {
  std::vector<FlowHolding> flows;
  load::UpstreamLoad load;
  friend bool operator==(const Located&, const Located&) = default;
};

// FlowAnswer answers Forward.
struct FlowAnswer {
  flow::FlowEnds flow;
  Holding holding{};
  flow::Reason reason{};  // why the flow was refused, with kRefused
  load::UpstreamLoad load;
  // The forwarded packet, returned if it was not delivered or the upstream
  // rejected it as a probe; otherwise empty.
  std::string packet;
  friend bool operator==(const FlowAnswer&, const FlowAnswer&) = default;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_PACKET_MESSAGES_H_
