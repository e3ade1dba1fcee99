// Probes: packets that an agent delivers to its upstream without knowing
// whether the upstream holds their flow.
//
// An agent that restarts while its upstream keeps running does not know all
// flows of the upstream. When a balancer asks for it (Forward::probe), the
// agent delivers a packet of an unknown flow as a probe. The upstream either
// answers on the flow, and so holds it, or bounces the packet, and so does not.
//
//   probes.Begin(flow, {balancer, packet}, now);
//   // The upstream bounced a packet of the flow:
//   if (auto probe = probes.RecordBounce(flow, now)) {
//     notify(probe->balancer);
//   }
//   // The upstream sent a packet on the flow:
//   if (auto probe = probes.Confirm(flow)) { notify(probe->balancer); }
//   if (probes.IsKnownNotHeld(flow)) { ... not held ... }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_FLOW_GUESSES_H_
#define FILBERTHOLLOW_DECISION_FLOWS_FLOW_GUESSES_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision::flows {

// FlowProbe is a packet that was delivered as a probe.
struct FlowProbe {
  base::Address balancer;  // the balancer that forwarded the packet
  std::string packet;      // unchanged, as the balancer forwarded it
  friend bool operator==(const FlowProbe&, const FlowProbe&) = default;
};

// FlowProbes is not thread-safe; it is owned by one UpstreamGate.
class FlowProbes {
 public:
  // How long a probe and its outcome are kept. Callers and upstreams retransmit
  // packets up to 1.6 s apart. A flow whose probe has expired is probed again.
  static constexpr base::Millis kRetention{5000};
  // Limits memory use, at 1.2 KB per probe without an outcome and 0.1 KB per
  // outcome. Beyond this, probes are delivered but not recorded, so their
  // outcome is not reported and their flows are probed again.
  static constexpr size_t kMaxPendingProbes = 2048;
  static constexpr size_t kMaxOutcomes = 32'768;

  // Records that a packet of the flow is delivered as a probe. Replaces an
  // earlier probe of the flow.
  void Begin(const flow::FlowEnds& flow, FlowProbe probe, base::Millis now);
  // Records that the upstream has bounced a packet of the flow, and does not
  // hold it. Returns the probe that this answers, or nothing if there is none
  // or its bounce was already recorded.
  std::optional<FlowProbe> RecordBounce(const flow::FlowEnds& flow,
                                        base::Millis now);
  // Records that the upstream has sent a packet of the flow, and holds it.
  // Returns the probe that this answers, if there is one without an outcome.
  std::optional<FlowProbe> Confirm(const flow::FlowEnds& flow);
  // Returns whether the upstream has bounced a probe of the flow within
  // kRetention.
  bool IsKnownNotHeld(const flow::FlowEnds& flow) const;
  // Removes probes and outcomes older than kRetention.
  void DropExpired(base::Millis now);

 private:
  struct Entry {
    FlowProbe probe;  // empty once bounced_back is set
    bool bounced_back = false;
    base::Millis at;  // when the probe was delivered or bounced
  };

  std::unordered_map<flow::FlowEnds, Entry, flow::FlowEndsHash> m_entries;
  size_t m_pending = 0;  // entries that are not bounced back
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_FLOW_GUESSES_H_
