#include "filberthollow/decision/load/request_queue.h"

#include <algorithm>

namespace filberthollow::decision::load {

bool AdaptiveLifo::TakesNewest(const QueuedRequest& oldest,
                               base::Millis now) const {
  return (now - oldest.queued_at) * kGoalDivisor > oldest.latency_goal;
}

const QueueOrder& DefaultQueueOrder() {
  static const AdaptiveLifo adaptive_lifo;
  return adaptive_lifo;
}

void RequestQueue::Add(const QueuedRequest& request) {
  m_queued[request.priority].push_back(request);
}

void RequestQueue::Remove(const flow::FlowEnds& flow) {
  for (auto& [priority, requests] : m_queued) {
    std::erase_if(requests, [&flow](const QueuedRequest& request) {
      return request.flow == flow;
    });
  }
  std::erase_if(m_queued,
                [](const auto& entry) { return entry.second.empty(); });
}

std::optional<flow::FlowEnds> RequestQueue::TakeNext(uint32_t in_flight,
                                                     base::Millis now) {
  if (in_flight >= m_max_in_flight || m_queued.empty()) {
    return std::nullopt;
  }
  auto first = m_queued.begin();
  std::deque<QueuedRequest>& requests = first->second;
  const QueuedRequest& oldest = requests.front();
  bool newest = m_order->TakesNewest(oldest, now);
  flow::FlowEnds flow = newest ? requests.back().flow : oldest.flow;
  if (newest) {
    requests.pop_back();
  } else {
    requests.pop_front();
  }
  if (requests.empty()) {
    m_queued.erase(first);
  }
  return flow;
}

size_t RequestQueue::size() const {
  size_t size = 0;
  for (const auto& [priority, requests] : m_queued) {
    size += requests.size();
  }
  return size;
}

}  // namespace filberthollow::decision::load
