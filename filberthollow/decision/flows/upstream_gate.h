// Decides how an agent handles the packets of flows that are passed through
// unchanged between callers and its one upstream.
//
// Only the agent can reach its upstream, and it sees every packet in both
// directions. Therefore the gate enforces what must never happen: it refuses
// new flows for another service or for a draining upstream, and returns to the
// balancer packets of flows that the upstream does not hold.
//
// A new flow is offered to the upstream by delivering its opening packet. The
// offer is pending until the upstream accepts or refuses it, or until the gate
// refuses it because UpstreamLiveness::kOpenTimeout has passed. The upstream
// bounces a packet whose flow it neither holds nor accepts
// (PacketHeader::bounced).
//
// A flow has at most one request in flight: from the delivery of data of the
// caller until the upstream answers with data. While the upstream is at
// capacity, further requests are queued and their packets are buffered here.
//
// The gate does no I/O. Its methods append what the agent has to do, and
// reports for logs and metrics, to `actions`; the agent carries them out in
// that order.
//
//   GateActions actions;
//   gate.OnForward(forward, header, source, now, actions);
//   for (const GateAction& action : actions) { ... }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_GATE_H_
#define FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_GATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "filberthollow/decision/flows/flow_guesses.h"
#include "filberthollow/decision/flows/gate_actions.h"
#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/decision/flows/route_table.h"
#include "filberthollow/decision/flows/upstream_life.h"
#include "filberthollow/decision/load/busy_meter.h"
#include "filberthollow/decision/load/cold_limit.h"
#include "filberthollow/decision/load/request_queue.h"
#include "filberthollow/decision/load/work_meter.h"

namespace filberthollow::decision::flows {

// GateOptions don't change after construction.
struct GateOptions {
  base::ServiceId service{};
  base::Address upstream;
  uint64_t data_centre = 0;  // hash of its name
  // Whether the whole system starts for the first time, so that the upstream
  // can't hold a flow that this agent has not seen.
  bool first_start = false;
  // The time after which a flow need not be kept. An agent that has run for
  // longer knows all flows that its upstream must hold.
  base::Millis flow_lifetime{60'000};
  base::Millis heartbeat_interval{1000};  // between heartbeats of the upstream
  load::ColdBounds cold_bounds;
  // Order of the queued requests; must outlive the gate.
  const load::QueueOrder* queue_order = &load::DefaultQueueOrder();
  friend bool operator==(const GateOptions&, const GateOptions&) = default;
};

// UpstreamGate is not thread-safe; it is owned by one task. All times are
// monotonic.
class UpstreamGate {
 public:
  // How long a closed flow is kept for late retransmissions of its last
  // packets. Callers and upstreams retransmit for up to 1.6 s.
  static constexpr base::Millis kClosedFlowRetention{3000};
  // A longer gap between ticks means that this process was paused. It could not
  // receive anything meanwhile, so the gap does not count as upstream silence.
  static constexpr base::Millis kMaxTickGap{350};
  // How far, in bytes, a caller's acknowledgement may differ from the last byte
  // that the agent has seen from the upstream. Packets may pass unseen while an
  // agent restarts.
  static constexpr uint32_t kSequenceSlack = 76'800;
  // Limits the packets buffered for one request. A caller has at most 16
  // unacknowledged packets.
  static constexpr size_t kMaxBufferedPackets = 16;

  UpstreamGate(GateOptions options, base::Millis now);

  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    m_routes = std::move(routes);
  }
  // Returns the revision of the configuration in force.
  uint64_t revision() const { return m_routes->revision(); }
  // Tells the gate whether its data centre is evacuated. New flows are refused
  // while it is; open flows continue. When this ends, the upstream may be cold
  // since a moment ago.
  void SetEvacuated(bool evacuated, base::Millis now, GateActions& actions);
  bool evacuated() const { return m_evacuated; }
  // Prepares for the end of this agent. New flows are refused from now on,
  // since they would be cut off; open flows continue.
  void Leave() { m_leaving = true; }

  // Processes a caller's packet that a balancer forwarded; `header` is the
  // header of `forward.packet`.
  void OnForward(const Forward& forward,
                 const flow::PacketHeader& header,
                 const ForwardSource& source,
                 base::Millis now,
                 GateActions& actions);
  // Answers a balancer that asks which of some flows the upstream holds.
  void OnLocate(const Locate& locate,
                base::Address balancer,
                base::Millis now,
                GateActions& actions);
  // Processes a packet that the upstream sent or bounced.
  void OnUpstreamPacket(std::string_view packet,
                        const flow::PacketHeader& header,
                        base::Millis now,
                        GateActions& actions);
  // Processes a heartbeat of the upstream. Does nothing if IsIgnored() holds
  // for the returned outcome.
  HeartbeatOutcome OnHeartbeat(const UpstreamHeartbeat& beat,
                               base::Millis now,
                               GateActions& actions);
  // Processes the result of the health check that CheckUpstream asked for.
  void OnHealthCheck(bool answered, base::Millis now, GateActions& actions);
  // Applies the timeouts. Call it repeatedly, each time TickDelay() after the
  // last call.
  void OnTick(base::Millis now, GateActions& actions);
  base::Millis TickDelay() const {
    return m_offers_pending ? kPendingOfferTick : kIdleTick;
  }
  // Tick while an offer is pending: half of UpstreamLiveness::kOpenTimeout, so
  // that an unanswered offer is refused at most half a timeout late.
  static constexpr base::Millis kPendingOfferTick{25};
  // Tick while no offer is pending. Silence timeouts are hundreds of
  // milliseconds long, so shorter ticks would use CPU time without any gain.
  static constexpr base::Millis kIdleTick{100};

  // Delivers all queued requests, whatever the upstream's capacity. Call it
  // before the agent ends: their packets are buffered nowhere else, and the
  // upstream can refuse those that it has no room for.
  void DeliverAllRequests(base::Millis now, GateActions& actions);

  // Returns the report for the balancers. The sender must set its `interval`.
  UpstreamReport Report(base::Millis now) const;
  // Returns whether it is known if there is an upstream: it has sent a
  // heartbeat to this agent, or should have by now. An agent must not stop
  // before that: balancers would take it that an upstream still holds flows
  // there, and not tell callers that their flows are lost.
  bool KnowsWhetherUpstreamRuns(base::Millis now) const {
    return m_liveness.state() != UpstreamState::kUnknown ||
           m_liveness.IsAbsent(now);
  }
  // Returns whether no request is in flight or queued and no offer is pending.
  // An offer that was answered still counts as pending until the next tick.
  bool IsIdle() const {
    return !m_offers_pending && m_meter.count() == 0 && m_queue.size() == 0;
  }
  // Returns the run of the upstream that flows are offered to.
  const UpstreamRun& current_run() const { return m_liveness.current_run(); }
  // Returns the number of flows in the table, including offers and closed flows
  // that have not been removed yet.
  size_t flows() const { return m_flows.size(); }
  // Returns the number of flows in the table that are not closed, by counting
  // them. Equals `open_flows` of the reported load.
  size_t CountOpenFlows() const;

 private:
  // A flow is kOffered until a packet that the caller sent after the opening
  // packet is delivered.
  enum class Stage : uint8_t { kOffered, kOpen, kClosed };

  struct Flow {
    Stage stage = Stage::kOffered;
    bool accepted = false;  // the upstream has sent a packet of the flow
    bool caller_finished = false;
    bool upstream_finished = false;
    bool request_pending = false;      // a request is in flight
    bool upstream_end_known = false;   // `upstream_end` is valid
    bool caller_end_known = false;     // `caller_end` is valid
    uint32_t upstream_end = 0;         // sequence after the last upstream byte
    uint32_t caller_end = 0;           // sequence after the last caller byte
    uint32_t caller_acknowledged = 0;  // the caller's last acknowledgement
    Offerer offerer;                   // none if the flow was never offered
    base::Address balancer;    // that forwarded the last packet of the caller
    base::Millis offered_at;   // or first seen, if it was never offered
    base::Millis accepted_at;  // only if `accepted`
    base::Millis last_used;
    base::Millis request_since;  // when `request_pending` last changed
    // Packets of the queued request, by sequence number; empty if there is
    // none.
    std::map<uint32_t, std::string> buffered_packets;
    base::Millis queued_at;  // when the last queued request was queued
  };
  using Flows = std::unordered_map<flow::FlowEnds, Flow, flow::FlowEndsHash>;

  void OnOpeningPacket(const Forward& forward,
                       const flow::PacketHeader& header,
                       const ForwardSource& source,
                       base::Millis now,
                       GateActions& actions);
  // Returns the reason to refuse a new flow, or nothing if it may be offered.
  std::optional<flow::Reason> RefusalReason(const Forward& forward,
                                            const flow::PacketHeader& header,
                                            const ForwardSource& source,
                                            base::Millis now) const;
  // Returns the reason to refuse a new flow that may not go to this upstream's
  // service, or if that can't be told yet; nothing if it may go there.
  std::optional<flow::Reason> RouteRefusalReason(
      const Forward& forward,
      const flow::PacketHeader& header,
      const ForwardSource& source) const;
  // Returns whether the upstream must be treated as cold.
  bool IsCold(base::Millis now) const;
  // Returns how many new flows the upstream may take now because it is cold, or
  // load::kUnlimitedOpenings.
  uint16_t OpeningsLeft(base::Millis now) const;
  void OnBouncedPacket(const flow::PacketHeader& header,
                       base::Millis now,
                       GateActions& actions);
  // Buffers the packet if it belongs to a queued request or starts a request
  // while the upstream is at capacity. Returns whether it was buffered. A reset
  // drops the flow's buffered packets instead.
  bool BufferIfFull(Flow& flow,
                    const Forward& forward,
                    const flow::PacketHeader& header,
                    base::Millis now);
  // Returns the time from delivery to answer that the next request can expect:
  // it shares the slots with those in flight. 0 if it is not known.
  base::Millis ExpectedAnswerTime(base::Millis now) const;
  // Delivers queued requests until the upstream is at capacity.
  void DeliverQueuedRequests(base::Millis now, GateActions& actions);
  void DeliverRequest(const flow::FlowEnds& ends,
                      Flow& flow,
                      base::Millis now,
                      GateActions& actions);
  // Returns whether a packet of the caller extends beyond all bytes known of
  // it, as a retransmission does not.
  static bool AdvancesSequence(const Flow& flow,
                               const flow::PacketHeader& header);
  void RecordCallerPacket(Flow& flow,
                          const flow::PacketHeader& header,
                          base::Millis now);
  void RecordUpstreamPacket(Flow& flow,
                            const flow::PacketHeader& header,
                            base::Millis now);
  // Returns whether the upstream holds a flow of which the caller's last
  // acknowledgement is `acknowledged`.
  Holding HoldingOf(const flow::FlowEnds& ends,
                    uint32_t acknowledged,
                    base::Millis now) const;
  // Returns whether the table has every flow that the upstream can hold.
  bool KnowsAllFlows(base::Millis now) const;
  void SendAnswer(base::Address balancer,
                  const flow::FlowEnds& ends,
                  Holding holding,
                  flow::Reason reason,
                  std::string packet,
                  base::Millis now,
                  GateActions& actions) const;
  // Starts or stops counting the flow's request as in flight.
  void SetRequestPending(const flow::FlowEnds& ends,
                         Flow& flow,
                         bool pending,
                         base::Millis now);
  // Removes the flows that the upstream had accepted until `accepted_until`,
  // since it has lost them, and the offers made until then. Resets the callers
  // of the open ones.
  void ResetFlows(base::Millis accepted_until,
                  flow::Reason reason,
                  base::Millis now,
                  GateActions& actions);
  // Records that the upstream has sent something.
  void RecordUpstreamActivity(base::Millis now, GateActions& actions);
  // Reports that the upstream became silent or is no longer silent, to
  // balancers and to logs. `heard_ago` is the time since it was last heard
  // before this change.
  void ReportSilence(bool silent,
                     base::Millis heard_ago,
                     base::Millis now,
                     GateActions& actions);
  // Refuses an offer that is in the table and removes it. Returns the next
  // flow.
  Flows::iterator RefuseOffer(Flows::iterator flow,
                              flow::Reason reason,
                              base::Millis now,
                              GateActions& actions);
  // Reports to logs and metrics that an offer was accepted, or why it was
  // refused; `took` is the time that the upstream had it.
  void ReportOffer(const flow::FlowEnds& ends,
                   const Offerer& offerer,
                   std::optional<flow::Reason> refused,
                   base::Millis took,
                   base::Millis now,
                   GateActions& actions) const;
  // Stops counting requests in flight after InFlightMeter::kMaxRequestTime.
  void ExpireOverdueRequests(base::Millis now);
  // Returns whether this process did not run for some time before now.
  bool WasPaused(base::Millis now) const {
    return now - m_last_tick > kMaxTickGap;
  }
  // Applies the liveness timeouts, and resets all flows of a dead upstream.
  void CheckLiveness(base::Millis now, GateActions& actions);
  // Refuses offers without an answer after UpstreamLiveness::kOpenTimeout.
  void ExpireOffers(base::Millis now, GateActions& actions);
  // Removes flows that were closed or idle for too long.
  void DropOldFlows(base::Millis now);
  Flows::iterator Erase(Flows::iterator flow, base::Millis now);
  // Marks the flow as closed.
  void Close(Flow& flow);
  load::UpstreamLoad CurrentLoad(base::Millis now) const;
  // Returns the state that balancers should assume for the upstream.
  UpstreamState ReportedState(base::Millis now) const;

  const GateOptions m_options;
  const base::Millis m_started;
  std::shared_ptr<const RouteTable> m_routes =
      std::make_shared<const RouteTable>();
  Flows m_flows;

  FlowProbes m_probes;
  UpstreamLiveness m_liveness;
  base::Millis m_last_tick;
  load::RequestQueue m_queue;
  load::InFlightMeter m_meter;
  load::ColdLimiter m_cold_limiter;
  load::ColdDoubt m_cold_doubt;
  load::WorkMeter m_work;
  uint32_t m_open_flows = 0;  // flows that are not closed, including offers
  base::Millis m_next_sweep{0};
  bool m_offers_pending = false;
  bool m_leaving = false;
  bool m_evacuated = false;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_GATE_H_
