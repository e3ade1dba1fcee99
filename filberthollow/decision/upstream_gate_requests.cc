// The part of UpstreamGate that counts requests and lets them wait.
#include <utility>

#include "filberthollow/decision/upstream_gate.h"

namespace filberthollow::decision {

using flow::FlowEnds;
using flow::PacketHead;

bool UpstreamGate::IsNews(const Flow& flow, const PacketHead& head) {
  uint32_t end = head.sequence + head.data_bytes;
  return !flow.caller_seen || flow::SequenceDistance(end, flow.caller_end) > 0;
}

bool UpstreamGate::KeepWaiting(Flow& flow,
                               const Forward& forward,
                               const PacketHead& head,
                               base::Millis now) {
  if (head.resets) {
    // The caller has given up.
    flow.waiting.clear();
    m_queue.Remove(head.FromCaller());
    return false;
  }
  bool waits = !flow.waiting.empty();
  bool begins = !waits && !flow.busy && head.data_bytes > 0 &&
                IsNews(flow, head) && !m_queue.HasRoom(m_meter.count());
  bool carries = head.data_bytes > 0 || head.finishes;
  if (!begins && !(waits && carries)) {
    return false;
  }
  if (begins) {
    const CompiledRoute* route = m_routes->Find(head.destination);
    flow.waiting_since = now;
    m_queue.Add({.flow = head.FromCaller(),
                 .priority = route == nullptr ? 0 : route->priority,
                 .latency_goal =
                     route == nullptr ? base::Millis(0) : route->latency_goal,
                 .since = now});
  }
  flow.last_used = now;
  flow.caller_acknowledged = head.acknowledged;
  flow.caller_finished = flow.caller_finished || head.finishes;
  if (flow.waiting.size() < kMaxWaitingPackets) {
    flow.waiting.emplace(head.sequence, forward.packet);
  }
  return true;
}

void UpstreamGate::DeliverWaiting(base::Millis now, GateActions& actions) {
  while (std::optional<FlowEnds> ends = m_queue.Next(m_meter.count(), now)) {
    auto found = m_flows.find(*ends);
    if (found == m_flows.end()) {
      continue;
    }
    DeliverRequest(*ends, found->second, now, actions);
  }
}

void UpstreamGate::DeliverRequest(const FlowEnds& ends,
                                  Flow& flow,
                                  base::Millis now,
                                  GateActions& actions) {
  actions.emplace_back(
      RequestWaited{ends, now - flow.waiting_since, m_queue.size()});
  for (auto& [sequence, packet] : std::exchange(flow.waiting, {})) {
    actions.emplace_back(DeliverToUpstream{std::move(packet)});
  }
  if (flow.stage == Stage::kOffered) {
    flow.stage = Stage::kOpen;
  }
  SetBusy(ends, flow, flow.stage != Stage::kClosed, now);
}

void UpstreamGate::SetBusy(const FlowEnds& ends,
                           Flow& flow,
                           bool busy,
                           base::Millis now) {
  if (flow.busy == busy) {
    return;
  }
  flow.busy = busy;
  flow.busy_since = now;
  if (busy) {
    m_meter.Begin(ends, now);
  } else {
    m_meter.End(now);
  }
}

void UpstreamGate::ExpireBusy(base::Millis now) {
  while (std::optional<BegunRequest> overdue = m_meter.TakeOverdue(now)) {
    auto found = m_flows.find(overdue->flow);
    if (found != m_flows.end() && found->second.busy_since == overdue->at) {
      SetBusy(found->first, found->second, false, now);
    }
  }
}

}  // namespace filberthollow::decision
