// The flows that an agent was asked to try at its upstream without knowing
// whether the upstream holds them.
//
// An agent that has restarted beside a living upstream does not know all of its
// flows. A packet of such a flow is delivered as a probe; an upstream that does
// not hold the flow hands the packet back, and from then on the agent is sure.
//
//   probes.Begin(flow, {balancer, packet}, now);
//   if (auto probe = probes.RecordBounce(flow, now)) { tell(probe->balancer); }
//   if (auto probe = probes.Confirm(flow)) { tell(probe->balancer); }
//   if (probes.IsKnownNotHeld(flow)) { ... not held ... }
#ifndef FILBERTHOLLOW_DECISION_FLOW_GUESSES_H_
#define FILBERTHOLLOW_DECISION_FLOW_GUESSES_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision {

// FlowProbe is a packet that was delivered as a probe, as it came.
struct FlowProbe {
  base::Address balancer;  // that sent it
  std::string packet;
  friend bool operator==(const FlowProbe&, const FlowProbe&) = default;
};

// FlowProbes belongs to one gate.
class FlowProbes {
 public:
  // kRetention is how long a probe and its outcome are kept. Ends repeat their
  // packets up to 1.6 s apart; a probe that is forgotten is made again.
  static constexpr base::Millis kRetention{5000};
  // kMaxProbes bounds the memory: 1.2 KB each. Beyond it packets are delivered
  // without a note.
  static constexpr size_t kMaxProbes = 2048;

  // Begin notes that a packet of the flow is delivered as a probe.
  void Begin(const flow::FlowEnds& flow, FlowProbe probe, base::Millis now);
  // RecordBounce notes that the upstream has handed back a packet of the flow,
  // and returns the probe that this answers, the first time.
  std::optional<FlowProbe> RecordBounce(const flow::FlowEnds& flow,
                                        base::Millis now);
  // Confirm notes that the upstream has sent a packet of the flow, so that it
  // holds it, and returns the probe that this answers, if there is one.
  std::optional<FlowProbe> Confirm(const flow::FlowEnds& flow);
  // Returns whether the upstream is known not to hold the flow.
  bool IsKnownNotHeld(const flow::FlowEnds& flow) const;
  // DropExpired drops what is older than kRetention.
  void DropExpired(base::Millis now);

 private:
  struct Entry {
    FlowProbe probe;
    bool bounced_back = false;
    base::Millis at;
  };

  std::unordered_map<flow::FlowEnds, Entry, flow::FlowEndsHash> m_entries;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_FLOW_GUESSES_H_
