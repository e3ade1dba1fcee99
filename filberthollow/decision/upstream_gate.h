// The decisions of an agent beside one upstream of passed-through flows.
//
// The gate alone reaches its upstream and sees every packet both ways, so what
// must never happen is refused here: a new flow for another service, or for an
// upstream that drains, and a packet of a flow that the upstream does not hold.
//
//   GateActions actions;
//   gate.OnForward(forward, head, balancer, now, actions);
//   for (const GateAction& action : actions) { ... }
#ifndef FILBERTHOLLOW_DECISION_UPSTREAM_GATE_H_
#define FILBERTHOLLOW_DECISION_UPSTREAM_GATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "filberthollow/decision/busy_meter.h"
#include "filberthollow/decision/flow_guesses.h"
#include "filberthollow/decision/gate_actions.h"
#include "filberthollow/decision/packet_messages.h"
#include "filberthollow/decision/request_queue.h"
#include "filberthollow/decision/route_table.h"
#include "filberthollow/decision/upstream_life.h"

namespace filberthollow::decision {

// GateOptions are fixed at the start.
struct GateOptions {
  base::ServiceId service{};
  uint64_t data_centre = 0;
  // No upstream can hold a flow that this agent has not seen.
  bool first_start = false;
  base::Millis flow_lifetime{60'000};
  base::Millis heartbeat_interval{1000};  // of the upstream's heartbeats
  friend bool operator==(const GateOptions&, const GateOptions&) = default;
};

// UpstreamGate belongs to one task.
class UpstreamGate {
 public:
  // kClosedFlowRetention keeps a closed flow for late copies of its last
  // packets; ends repeat them for up to 1.6 s.
  static constexpr base::Millis kClosedFlowRetention{3000};
  // kMaxTickGap: after a longer gap between ticks this process was paused, and
  // what it did not hear meanwhile proves nothing.
  static constexpr base::Millis kMaxTickGap{350};
  // kSequenceSlack is how far a caller's acknowledgement may lie beyond what
  // the upstream was seen to send; packets may pass while an agent restarts.
  static constexpr uint32_t kSequenceSlack = 76'800;
  // kMaxBufferedPackets bounds the packets kept of one request; an end has at
  // most 16 in flight.
  static constexpr size_t kMaxBufferedPackets = 16;
  UpstreamGate(GateOptions options, base::Millis now);

  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    m_routes = std::move(routes);
  }
  uint64_t revision() const { return m_routes->revision(); }
  // Leave announces that this agent stops: new flows would be cut, so none are
  // taken, while those that are open go on.
  void Leave() { m_leaving = true; }

  // OnForward takes a caller's packet from a balancer.
  void OnForward(const Forward& forward,
                 const flow::PacketHead& head,
                 base::Address balancer,
                 base::Millis now,
                 GateActions& actions);
  // OnLocate takes a balancer's question.
  void OnLocate(const Locate& locate,
                base::Address balancer,
                base::Millis now,
                GateActions& actions);
  // OnUpstreamPacket takes a packet that the upstream sent.
  void OnUpstreamPacket(std::string_view packet,
                        const flow::PacketHead& head,
                        base::Millis now,
                        GateActions& actions);
  // OnHeartbeat takes a heartbeat; returns false if it is stale or of another
  // upstream, and nothing was learnt from it.
  bool OnHeartbeat(const UpstreamBeat& beat,
                   base::Millis now,
                   GateActions& actions);
  // OnHealthCheck takes the outcome of CheckUpstream.
  void OnHealthCheck(bool answered, base::Millis now, GateActions& actions);
  // OnTick is to be called after each TickDelay().
  void OnTick(base::Millis now, GateActions& actions);
  base::Millis TickDelay() const {
    return m_offers_pending ? kPendingOfferTick : kIdleTick;
  }
  // kPendingOfferTick is half of the patience with an offer, so that it is kept
  // within half.
  static constexpr base::Millis kPendingOfferTick{25};
  // kIdleTick: silence is judged in hundreds of milliseconds; shorter ticks
  // would cost processor time for nothing.
  static constexpr base::Millis kIdleTick{100};

  // Report returns what balancers are to know; the sender sets `interval`.
  UpstreamReport Report(base::Millis now) const;
  // Returns whether the upstream has neither a request nor an offer to answer.
  bool IsIdle() const {
    return !m_offers_pending && m_meter.count() == 0 && m_queue.size() == 0;
  }
  // Returns the flows in the table, closed ones included.
  size_t flows() const { return m_flows.size(); }

 private:
  enum class Stage : uint8_t { kOffered, kOpen, kClosed };

  struct Flow {
    Stage stage = Stage::kOffered;
    bool accepted = false;  // the upstream has accepted it
    bool caller_finished = false;
    bool upstream_finished = false;
    bool request_pending = false;     // a request has no answer yet
    bool upstream_end_known = false;  // `upstream_end` is known
    bool caller_end_known = false;    // `caller_end` is known
    uint32_t upstream_end = 0;        // after the last byte that it sent
    uint32_t caller_end = 0;          // after the last byte of the caller
    uint32_t caller_acknowledged = 0;
    base::Address balancer;  // that offered the flow
    base::Millis offered_at;
    base::Millis last_used;
    base::Millis request_since;
    // Packets of a request that queued for the upstream, with their sequence
    // numbers.
    std::map<uint32_t, std::string> buffered_packets;
    base::Millis queued_at;
  };
  using Flows = std::unordered_map<flow::FlowEnds, Flow, flow::FlowEndsHash>;

  void OnOpeningPacket(const Forward& forward,
                       const flow::PacketHead& head,
                       base::Address balancer,
                       base::Millis now,
                       GateActions& actions);
  // Returns why a new flow is refused, or nothing.
  std::optional<flow::Reason> RefusalReason(const Forward& forward,
                                            const flow::PacketHead& head,
                                            base::Millis now) const;
  void OnBouncedPacket(const flow::PacketHead& head,
                       base::Millis now,
                       GateActions& actions);
  // Returns whether the packet was kept, since the upstream is full.
  bool BufferIfFull(Flow& flow,
                    const Forward& forward,
                    const flow::PacketHead& head,
                    base::Millis now);
  // Delivers waiting requests while the upstream has room.
  void DeliverQueuedRequests(base::Millis now, GateActions& actions);
  void DeliverRequest(const flow::FlowEnds& ends,
                      Flow& flow,
                      base::Millis now,
                      GateActions& actions);
  static bool AdvancesSequence(const Flow& flow, const flow::PacketHead& head);
  void RecordCallerPacket(Flow& flow,
                          const flow::PacketHead& head,
                          base::Millis now);
  void RecordUpstreamPacket(Flow& flow,
                            const flow::PacketHead& head,
                            base::Millis now);
  Holding HoldingOf(const flow::FlowEnds& ends,
                    uint32_t acknowledged,
                    base::Millis now) const;
  // Returns whether a flow that is not in the table can't be at the upstream.
  bool KnowsAllFlows(base::Millis now) const;
  void SendAnswer(base::Address balancer,
                  const flow::FlowEnds& ends,
                  Holding holding,
                  flow::Reason reason,
                  std::string packet,
                  base::Millis now,
                  GateActions& actions) const;
  void SetRequestPending(const flow::FlowEnds& ends,
                         Flow& flow,
                         bool pending,
                         base::Millis now);
  // Tells the callers of all open flows that their upstream has lost them.
  void ResetAllFlows(flow::Reason reason,
                     base::Millis now,
                     GateActions& actions);
  // Notes a sign of life.
  void RecordUpstreamActivity(base::Millis now, GateActions& actions);
  // Notes that the upstream has fallen silent or is heard again.
  void ReportSilence(bool silent,
                     base::Millis since_activity,
                     base::Millis now,
                     GateActions& actions);
  // Refuses an offer that is in the table, and drops it.
  Flows::iterator RefuseOffer(Flows::iterator flow,
                              flow::Reason reason,
                              base::Millis now,
                              GateActions& actions);
  // Notes that an offer was taken, or refused for a reason.
  void ReportOffer(const flow::FlowEnds& ends,
                   std::optional<flow::Reason> refused,
                   base::Millis took,
                   base::Millis now,
                   GateActions& actions) const;
  // Stops counting requests that have been without an answer for too long.
  void ExpireOverdueRequests(base::Millis now);
  void CheckLiveness(base::Millis now, GateActions& actions);
  void ExpireOffers(base::Millis now, GateActions& actions);
  void DropOldFlows(base::Millis now);
  Flows::iterator Erase(Flows::iterator flow, base::Millis now);
  UpstreamLoad CurrentLoad(base::Millis now) const;
  // Returns the upstream's state as balancers are to act on it.
  UpstreamState ReportedState(base::Millis now) const;

  const GateOptions m_options;
  const base::Millis m_started;
  std::shared_ptr<const RouteTable> m_routes =
      std::make_shared<const RouteTable>();
  Flows m_flows;

  FlowProbes m_probes;
  UpstreamLiveness m_liveness;
  base::Millis m_last_tick;
  RequestQueue m_queue;
  InFlightMeter m_meter;
  uint32_t m_open_flows = 0;
  base::Millis m_next_sweep{0};
  bool m_offers_pending = false;
  bool m_leaving = false;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_UPSTREAM_GATE_H_
