// What balancers and agents say to each other about passed-through flows, as
// plain values.
//
// An agent stands beside one upstream and alone reaches it, so it alone knows
// which flows its upstream holds. A balancer forwards packets to agents, asks
// them who holds a flow that it does not know, and hears their reports.
#ifndef FILBERTHOLLOW_DECISION_PACKET_MESSAGES_H_
#define FILBERTHOLLOW_DECISION_PACKET_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/flow/packet.h"
#include "filberthollow/flow/reason.h"

namespace filberthollow::decision {

// UpstreamState is what an upstream says of itself.
enum class UpstreamState : uint8_t {
  kUnknown,  // nothing was heard of it yet
  kReady,
  kDraining,  // keeps its flows and takes no new ones
  kGone,
};

// UpstreamHeartbeat is a heartbeat of an upstream to the agent beside it.
struct UpstreamHeartbeat {
  std::string id;
  std::string service;
  base::Millis started;   // calendar time of its start, which names its run
  uint64_t sequence = 0;  // grows with each heartbeat of a run
  UpstreamState state{};
  uint32_t slots = 1;           // requests that it works on at one time
  base::Millis cold_remaining;  // how much longer it is slow after its start
  friend bool operator==(const UpstreamHeartbeat&,
                         const UpstreamHeartbeat&) = default;
};

// UpstreamLoad is how busy an upstream is, as seen by its agent.
struct UpstreamLoad {
  uint16_t slots = 1;
  uint16_t busy = 0;       // requests without an answer yet
  uint16_t open = 0;       // open flows
  uint16_t busy_mean = 0;  // `busy` over the last second, in hundredths
  uint16_t cold_ms = 0;    // how much longer it is slow after its start
  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

// UpstreamReport is what an agent tells balancers about its upstream.
struct UpstreamReport {
  base::ServiceId service{};
  uint64_t data_centre = 0;  // hash of its name
  uint64_t run = 0;          // names one run of the upstream
  UpstreamState state{};
  bool silent = false;  // does not answer new flows, or refuses them now
  UpstreamLoad load;
  uint64_t revision = 0;  // of the configuration in force at the agent
  base::Millis interval;  // until the next report
  // The agent is about to stop beside an upstream that lives and keeps its
  // flows: its silence says nothing of them.
  bool leaving = false;
  friend bool operator==(const UpstreamReport&,
                         const UpstreamReport&) = default;
};

// BalancerHello tells an agent or balancer that a balancer is there.
struct BalancerHello {
  uint64_t revision = 0;  // of the configuration in force at the balancer
  uint64_t run = 0;       // names one run of the balancer
  bool leaving = false;
  std::vector<base::Address> balancers;  // others that it knows
  // A balancer that has just started and has yet to hear of all agents.
  base::Address newcomer;
  friend bool operator==(const BalancerHello&, const BalancerHello&) = default;
};

// Forward carries a caller's packet from a balancer to an agent.
struct Forward {
  uint64_t revision = 0;
  // Nobody is known to hold the flow: the upstream itself is to be asked.
  bool guess = false;
  std::string packet;
  friend bool operator==(const Forward&, const Forward&) = default;
};

// FlowQuestion asks whether an upstream holds a flow.
struct FlowQuestion {
  flow::FlowEnds flow;
  uint32_t acknowledged = 0;  // the caller's last acknowledgement
  friend bool operator==(const FlowQuestion&, const FlowQuestion&) = default;
};

// kMaxFlowsPerLocate bounds the flows of one Locate, so that it and its answer
// fit in a datagram.
inline constexpr size_t kMaxFlowsPerLocate = 64;

// Locate asks an agent which of some flows its upstream holds.
struct Locate {
  std::vector<FlowQuestion> flows;
  friend bool operator==(const Locate&, const Locate&) = default;
};

// Holding is what an agent says of a flow.
enum class Holding : uint8_t {
  kHeld,  // its upstream has accepted the flow
  kNotHeld,
  kUnsure,   // the agent started after its upstream and has not seen the flow
  kRefused,  // the upstream takes no new flow; nothing has run
};

// FlowHolding is what an agent says of one flow.
struct FlowHolding {
  flow::FlowEnds flow;
  Holding holding{};
  friend bool operator==(const FlowHolding&, const FlowHolding&) = default;
};

// Located answers Locate.
struct Located {
  std::vector<FlowHolding> flows;
  UpstreamLoad load;
  friend bool operator==(const Located&, const Located&) = default;
};

// FlowAnswer answers Forward.
struct FlowAnswer {
  flow::FlowEnds flow;
  Holding holding{};
  flow::Reason reason{};  // of kRefused
  UpstreamLoad load;
  std::string packet;  // handed back, if it was not delivered
  friend bool operator==(const FlowAnswer&, const FlowAnswer&) = default;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_PACKET_MESSAGES_H_
