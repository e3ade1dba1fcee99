#include "filberthollow/decision/request_queue.h"

#include <algorithm>

namespace filberthollow::decision {

void RequestQueue::Add(const WaitingRequest& request) {
  m_waiting[request.priority].push_back(request);
}

void RequestQueue::Remove(const flow::FlowEnds& flow) {
  for (auto& [priority, requests] : m_waiting) {
    std::erase_if(requests, [&flow](const WaitingRequest& request) {
      return request.flow == flow;
    });
  }
  std::erase_if(m_waiting,
                [](const auto& entry) { return entry.second.empty(); });
}

std::optional<flow::FlowEnds> RequestQueue::Next(uint32_t busy,
                                                 base::Millis now) {
  if (busy >= m_limit || m_waiting.empty()) {
    return std::nullopt;
  }
  auto first = m_waiting.begin();
  std::deque<WaitingRequest>& requests = first->second;
  const WaitingRequest& oldest = requests.front();
  bool overloaded = (now - oldest.since) * kGoalParts > oldest.latency_goal;
  flow::FlowEnds flow = overloaded ? requests.back().flow : oldest.flow;
  if (overloaded) {
    requests.pop_back();
  } else {
    requests.pop_front();
  }
  if (requests.empty()) {
    m_waiting.erase(first);
  }
  return flow;
}

size_t RequestQueue::size() const {
  size_t size = 0;
  for (const auto& [priority, requests] : m_waiting) {
    size += requests.size();
  }
  return size;
}

}  // namespace filberthollow::decision
