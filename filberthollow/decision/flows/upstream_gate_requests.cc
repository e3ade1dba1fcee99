// The part of UpstreamGate that counts requests in flight and queues requests.
#include <algorithm>
#include <utility>

#include "filberthollow/decision/flows/upstream_gate.h"

namespace filberthollow::decision::flows {

using flow::FlowEnds;
using flow::PacketHeader;

namespace {

// The agent does not measure its upstream's work time yet.
constexpr base::Millis kUnknownWork{0};

}  // namespace

bool UpstreamGate::AdvancesSequence(const Flow& flow,
                                    const PacketHeader& header) {
  uint32_t end = header.sequence + header.data_bytes;
  return !flow.caller_end_known ||
         flow::SequenceDistance(end, flow.caller_end) > 0;
}

bool UpstreamGate::BufferIfFull(Flow& flow,
                                const Forward& forward,
                                const PacketHeader& header,
                                base::Millis now) {
  if (header.resets) {
    // The caller has given up on the flow.
    flow.buffered_packets.clear();
    m_queue.Remove(header.FromCaller());
    return false;
  }
  bool queued = !flow.buffered_packets.empty();
  bool starts_request =
      !queued && !flow.request_pending && header.data_bytes > 0 &&
      AdvancesSequence(flow, header) && !m_queue.CanDeliverNow(m_meter.count());
  bool has_payload = header.data_bytes > 0 || header.finishes;
  if (!starts_request && !(queued && has_payload)) {
    return false;
  }
  if (starts_request) {
    const CompiledRoute* route = m_routes->Find(header.destination);
    flow.queued_at = now;
    m_queue.Add(
        {.flow = header.FromCaller(),
         .priority = route == nullptr ? 0 : route->priority,
         .latency_goal =
             route == nullptr ? base::Millis(0) : route->latency_goal,
         .queued_at = now,
         .timeout = route == nullptr ? base::Millis(0) : route->timeout});
  }
  flow.last_used = now;
  flow.caller_acknowledged = header.acknowledged;
  flow.caller_finished = flow.caller_finished || header.finishes;
  if (flow.buffered_packets.size() < kMaxBufferedPackets) {
    flow.buffered_packets.emplace(header.sequence, forward.packet);
  }
  return true;
}

base::Millis UpstreamGate::ExpectedAnswerTime(base::Millis now) const {
  constexpr int64_t kMicrosPerMilli = 1000;
  uint32_t slots = m_liveness.slots();
  int64_t work_us = m_work.Measure(m_meter.count(), slots, now).work_us;
  int64_t in_flight = int64_t{m_meter.count()} + 1;
  return base::Millis(work_us * std::max<int64_t>(in_flight, slots) / slots /
                      kMicrosPerMilli);
}

void UpstreamGate::DeliverQueuedRequests(base::Millis now,
                                         GateActions& actions) {
  while (std::optional<FlowEnds> ends =
             m_queue.TakeNext(m_meter.count(), now, ExpectedAnswerTime(now))) {
    auto found = m_flows.find(*ends);
    if (found == m_flows.end()) {
      continue;
    }
    DeliverRequest(*ends, found->second, now, actions);
  }
}

void UpstreamGate::DeliverAllRequests(base::Millis now, GateActions& actions) {
  constexpr uint32_t kNoneInFlight = 0;
  while (std::optional<FlowEnds> ends =
             m_queue.TakeNext(kNoneInFlight, now, kUnknownWork)) {
    if (auto found = m_flows.find(*ends); found != m_flows.end()) {
      DeliverRequest(*ends, found->second, now, actions);
    }
  }
}

void UpstreamGate::DeliverRequest(const FlowEnds& ends,
                                  Flow& flow,
                                  base::Millis now,
                                  GateActions& actions) {
  actions.emplace_back(
      RequestWaited{ends, now - flow.queued_at, m_queue.size()});
  for (auto& [sequence, packet] : std::exchange(flow.buffered_packets, {})) {
    actions.emplace_back(DeliverToUpstream{std::move(packet)});
  }
  if (flow.stage == Stage::kOffered) {
    flow.stage = Stage::kOpen;
  }
  SetRequestPending(ends, flow, flow.stage != Stage::kClosed, now);
}

void UpstreamGate::SetRequestPending(const FlowEnds& ends,
                                     Flow& flow,
                                     bool pending,
                                     base::Millis now) {
  if (flow.request_pending == pending) {
    return;
  }
  m_work.Advance(m_meter.count(), m_liveness.slots(), now);
  if (m_liveness.ColdTimeLeft(now) > base::Millis(0)) {
    // Else it would count as slow for some time after its cold start.
    m_work.Clear(now);
  }
  flow.request_pending = pending;
  flow.request_since = now;
  if (pending) {
    m_meter.Begin(ends, now);
  } else {
    m_meter.End(now);
  }
}

void UpstreamGate::ExpireOverdueRequests(base::Millis now) {
  while (std::optional<load::StartedRequest> overdue =
             m_meter.TakeOverdue(now)) {
    auto found = m_flows.find(overdue->flow);
    if (found != m_flows.end() &&
        found->second.request_since == overdue->started_at) {
      SetRequestPending(found->first, found->second, false, now);
    }
  }
}

}  // namespace filberthollow::decision::flows
