#include "filberthollow/decision/flows/upstream_gate.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace filberthollow::decision::flows {
namespace {

using flow::FlowEnds;
using flow::PacketHeader;
using flow::Reason;

constexpr base::Millis kSweepInterval{500};
constexpr double kHundredths = 100.0;

uint16_t ClampToUint16(int64_t value) {
  return static_cast<uint16_t>(std::clamp<int64_t>(value, 0, UINT16_MAX));
}

}  // namespace

UpstreamGate::UpstreamGate(GateOptions options, base::Millis now)
    : m_options(options),
      m_started(now),
      m_liveness(options.service,
                 options.upstream,
                 options.heartbeat_interval,
                 now),
      m_last_tick(now),
      m_queue(*options.queue_order),
      m_meter(now),
      m_cold_limiter(options.cold_bounds, now),
      m_work(now) {}

bool UpstreamGate::KnowsAllFlows(base::Millis now) const {
  return m_options.first_start || m_liveness.observed_from_start() ||
         m_liveness.IsAbsent(now) || now - m_started > m_options.flow_lifetime;
}

Holding UpstreamGate::HoldingOf(const FlowEnds& ends,
                                uint32_t acknowledged,
                                base::Millis now) const {
  auto found = m_flows.find(ends);
  // A flow without a packet of the upstream is new, or was open before this
  // agent started and its caller has sent a copy of the opening packet.
  if (found == m_flows.end() || !found->second.accepted) {
    bool known_not_held = KnowsAllFlows(now) || m_probes.IsKnownNotHeld(ends);
    return known_not_held ? Holding::kNotHeld : Holding::kUnsure;
  }
  const Flow& flow = found->second;
  // Two upstreams may have accepted copies of one opening packet. The caller
  // continues with the one whose sequence numbers it acknowledges.
  int32_t distance = flow::SequenceDistance(acknowledged, flow.upstream_end);
  bool acknowledges_upstream =
      std::abs(int64_t{distance}) <= int64_t{kSequenceSlack};
  return acknowledges_upstream || !flow.upstream_end_known ? Holding::kHeld
                                                           : Holding::kNotHeld;
}

void UpstreamGate::SendAnswer(base::Address balancer,
                              const FlowEnds& ends,
                              Holding holding,
                              Reason reason,
                              std::string packet,
                              base::Millis now,
                              GateActions& actions) const {
  actions.emplace_back(
      AnswerBalancer{balancer, FlowAnswer{.flow = ends,
                                          .holding = holding,
                                          .reason = reason,
                                          .load = CurrentLoad(now),
                                          .packet = std::move(packet)}});
}

void UpstreamGate::OnLocate(const Locate& locate,
                            base::Address balancer,
                            base::Millis now,
                            GateActions& actions) {
  Located answer{.load = CurrentLoad(now)};
  for (const FlowQuestion& question : locate.flows) {
    answer.flows.push_back(
        {question.flow, HoldingOf(question.flow, question.acknowledged, now)});
  }
  actions.emplace_back(AnswerLocate{balancer, std::move(answer)});
}

void UpstreamGate::OnForward(const Forward& forward,
                             const PacketHeader& header,
                             const ForwardSource& source,
                             base::Millis now,
                             GateActions& actions) {
  if (header.AsksToOpen()) {
    OnOpeningPacket(forward, header, source, now, actions);
    return;
  }
  FlowEnds ends = header.FromCaller();
  Holding holding = HoldingOf(ends, header.acknowledged, now);
  bool deliver = holding == Holding::kHeld ||
                 (holding == Holding::kUnsure && forward.probe);
  if (!deliver) {
    SendAnswer(source.balancer, ends, holding, Reason::kNoSuchFlow,
               forward.packet, now, actions);
    return;
  }
  if (auto found = m_flows.find(ends);
      found != m_flows.end() && found->second.accepted) {
    found->second.balancer = source.balancer;
    if (BufferIfFull(found->second, forward, header, now)) {
      if (header.finishes) {
        // A caller that finishes while its request is queued has given up. The
        // request is delivered at once, because the upstream will drop it; if
        // it stayed queued, it would later take capacity from other requests.
        m_queue.Remove(ends);
        DeliverRequest(ends, found->second, now, actions);
      }
      return;
    }
    RecordCallerPacket(found->second, header, now);
  } else {
    m_probes.Begin(ends, {source.balancer, forward.packet}, now);
  }
  actions.emplace_back(DeliverToUpstream{forward.packet});
}

void UpstreamGate::RecordCallerPacket(Flow& flow,
                                      const PacketHeader& header,
                                      base::Millis now) {
  flow.last_used = now;
  flow.caller_acknowledged = header.acknowledged;
  if (flow.stage == Stage::kOffered) {
    flow.stage = Stage::kOpen;
  }
  flow.caller_finished = flow.caller_finished || header.finishes;
  if (header.resets || (flow.caller_finished && flow.upstream_finished)) {
    Close(flow);
  }
  uint32_t end = header.sequence + header.data_bytes;
  bool advances = AdvancesSequence(flow, header);
  if (advances && (header.data_bytes > 0 || !flow.caller_end_known)) {
    flow.caller_end_known = true;
    flow.caller_end = end;
  }
  bool starts_request = advances && header.data_bytes > 0;
  bool is_closed = flow.stage == Stage::kClosed;
  SetRequestPending(header.FromCaller(), flow,
                    (flow.request_pending || starts_request) && !is_closed,
                    now);
}

void UpstreamGate::RecordUpstreamPacket(Flow& flow,
                                        const PacketHeader& header,
                                        base::Millis now) {
  flow.last_used = now;
  if (!flow.accepted) {
    flow.accepted = true;
    flow.accepted_at = now;
  }
  uint32_t end = header.sequence + header.data_bytes;
  if (!flow.upstream_end_known ||
      flow::SequenceDistance(end, flow.upstream_end) > 0) {
    flow.upstream_end_known = true;
    flow.upstream_end = end;
  }
  // After an agent restart, the acknowledgement shows what the caller has
  // already sent.
  if (header.acknowledges &&
      (!flow.caller_end_known ||
       flow::SequenceDistance(header.acknowledged, flow.caller_end) > 0)) {
    flow.caller_end_known = true;
    flow.caller_end = header.acknowledged;
  }
  flow.upstream_finished = flow.upstream_finished || header.finishes;
  if (header.resets || (flow.caller_finished && flow.upstream_finished)) {
    Close(flow);
  }
  bool done = header.finishes || flow.stage == Stage::kClosed;
  if (header.data_bytes > 0 || done) {
    SetRequestPending(header.ToCaller(), flow, false, now);
  }
}

void UpstreamGate::OnUpstreamPacket(std::string_view packet,
                                    const PacketHeader& header,
                                    base::Millis now,
                                    GateActions& actions) {
  RecordUpstreamActivity(now, actions);
  if (header.bounced) {
    OnBouncedPacket(header, now, actions);
    return;
  }
  FlowEnds ends = header.ToCaller();
  auto [found, added] = m_flows.try_emplace(ends);
  Flow& flow = found->second;
  if (added) {
    // The flow was opened before this agent started, accepted after its offer
    // had expired, or closed so long ago that it was removed. Its stage becomes
    // kOpen when the caller sends the next packet.
    flow.offered_at = now;
    ++m_open_flows;
  }
  bool newly_accepted = !flow.accepted;
  bool was_open = flow.stage != Stage::kClosed;
  if (flow.request_pending && header.data_bytes > 0) {
    actions.emplace_back(RequestAnswered{now - flow.request_since});
    m_work.CountAnswer(m_meter.count(), m_liveness.slots(), now);
  }
  if (header.resets && was_open) {
    actions.emplace_back(UpstreamReset{
        ends, flow.request_pending,
        flow.request_pending ? now - flow.request_since : base::Millis(0),
        now - flow.offered_at});
  }
  RecordUpstreamPacket(flow, header, now);
  m_liveness.RecordFlowPacket(flow.accepted_at, now);
  DeliverQueuedRequests(now, actions);
  if (auto probe = m_probes.Confirm(ends)) {
    SendAnswer(probe->balancer, ends, Holding::kHeld, {}, "", now, actions);
  }
  if (newly_accepted && !added) {
    SendAnswer(flow.balancer, ends, Holding::kHeld, {}, "", now, actions);
    ReportOffer(ends, flow.offerer, std::nullopt, now - flow.offered_at, now,
                actions);
  }
  actions.emplace_back(DeliverToCaller{ends.caller, std::string(packet)});
}

void UpstreamGate::OnBouncedPacket(const PacketHeader& header,
                                   base::Millis now,
                                   GateActions& actions) {
  FlowEnds ends = header.FromCaller();
  auto found = m_flows.find(ends);
  if (header.AsksToOpen()) {
    m_cold_doubt.Raise(now);  // the upstream may be restarting
    if (found != m_flows.end() && !found->second.accepted) {
      RefuseOffer(found, Reason::kUpstreamRefused, now, actions);
      if (m_liveness.RecordRefusal(now)) {
        actions.emplace_back(ReportNow{});
      }
    }
    return;
  }
  if (found == m_flows.end() || !found->second.accepted) {
    if (auto probe = m_probes.RecordBounce(ends, now)) {
      SendAnswer(probe->balancer, ends, Holding::kNotHeld, Reason::kNoSuchFlow,
                 std::move(probe->packet), now, actions);
    }
    return;
  }
  // The upstream has bounced a packet of a flow in the table: it has restarted
  // and lost the flow.
  m_cold_doubt.Raise(now);
  bool open = found->second.stage == Stage::kOpen;
  if (open && !header.resets) {
    actions.emplace_back(
        ResetCaller{ends, header.acknowledged, Reason::kUpstreamRestarted});
  }
  Erase(found, now);
}

void UpstreamGate::Close(Flow& flow) {
  if (flow.stage != Stage::kClosed) {
    flow.stage = Stage::kClosed;
    --m_open_flows;
  }
}

size_t UpstreamGate::CountOpenFlows() const {
  return std::count_if(m_flows.begin(), m_flows.end(), [](const auto& entry) {
    return entry.second.stage != Stage::kClosed;
  });
}

UpstreamGate::Flows::iterator UpstreamGate::Erase(Flows::iterator flow,
                                                  base::Millis now) {
  SetRequestPending(flow->first, flow->second, false, now);
  if (!flow->second.buffered_packets.empty()) {
    m_queue.Remove(flow->first);
  }
  if (flow->second.stage != Stage::kClosed) {
    --m_open_flows;
  }
  return m_flows.erase(flow);
}

void UpstreamGate::DropOldFlows(base::Millis now) {
  base::Millis idle_timeout = m_routes->idle_timeout();
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    base::Millis idle_for = now - flow->second.last_used;
    bool closed = flow->second.stage == Stage::kClosed;
    bool expired = closed ? idle_for > kClosedFlowRetention
                          : idle_timeout > base::Millis(0) &&
                                idle_for > idle_timeout + kClosedFlowRetention;
    flow = expired ? Erase(flow, now) : std::next(flow);
  }
}

void UpstreamGate::OnTick(base::Millis now, GateActions& actions) {
  bool was_paused = WasPaused(now);
  m_last_tick = now;
  if (was_paused) {
    m_liveness.OnProcessPaused(now);
    m_cold_doubt.Raise(now);
    return;
  }
  CheckLiveness(now, actions);
  ExpireOverdueRequests(now);
  DeliverQueuedRequests(now, actions);
  ExpireOffers(now, actions);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    DropOldFlows(now);
    m_probes.DropExpired(now);
  }
}

load::UpstreamLoad UpstreamGate::CurrentLoad(base::Millis now) const {
  auto mean = static_cast<int64_t>(m_meter.Mean(now) * kHundredths);
  auto in_flight = static_cast<int64_t>(m_meter.count() + m_queue.size());
  load::MeasuredWork work =
      m_work.Measure(m_meter.count(), m_liveness.slots(), now);
  return {.slots = ClampToUint16(m_liveness.slots()),
          .in_flight = ClampToUint16(in_flight),
          .open_flows = ClampToUint16(m_open_flows),
          .in_flight_mean = ClampToUint16(mean),
          .cold_ms = ClampToUint16(m_liveness.ColdTimeLeft(now).count()),
          .openings_left = OpeningsLeft(now),
          .work_age_ms = ClampToUint16(work.age.count()),
          .work_us = work.work_us};
}

UpstreamState UpstreamGate::ReportedState(base::Millis now) const {
  if (m_liveness.IsAbsent(now)) {
    return UpstreamState::kGone;
  }
  // An upstream that has announced its shutdown keeps its flows until it exits.
  bool draining = (m_leaving && m_liveness.state() == UpstreamState::kReady) ||
                  m_liveness.IsShuttingDown();
  return draining ? UpstreamState::kDraining : m_liveness.state();
}

UpstreamReport UpstreamGate::Report(base::Millis now) const {
  UpstreamState state = ReportedState(now);
  return {.service = m_options.service,
          .data_centre = m_options.data_centre,
          .run = m_liveness.run(),
          .state = state,
          .silent = m_liveness.silent() || m_liveness.IsRefusing(now),
          .load = CurrentLoad(now),
          .revision = m_routes->revision(),
          .leaving = m_leaving && state != UpstreamState::kGone &&
                     !m_liveness.IsShuttingDown()};
}

}  // namespace filberthollow::decision::flows
