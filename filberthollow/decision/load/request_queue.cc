#include "filberthollow/decision/load/request_queue.h"

#include <algorithm>

namespace filberthollow::decision::load {

const QueueOrder& DefaultQueueOrder() {
  static const AnswerableFirst answerable_first;
  return answerable_first;
}

void RequestQueue::Add(const QueuedRequest& request) {
  m_classes[RequestClass::Of(request)].requests.push_back({request, ++m_added});
  ++m_size;
}

void RequestQueue::Remove(const flow::FlowEnds& flow) {
  for (auto& [request_class, queue] : m_classes) {
    if (request_class.route != flow.route) {
      continue;
    }
    auto found = std::find_if(
        queue.requests.begin(), queue.requests.end(),
        [&flow](const QueueEntry& e) { return e.request.flow == flow; });
    if (found != queue.requests.end()) {
      queue.requests.erase(found);
      OnRemoved();
      return;
    }
  }
}

void RequestQueue::Clear() {
  m_classes.clear();
  m_size = 0;
}

std::optional<flow::FlowEnds> RequestQueue::TakeNext(
    uint32_t in_flight,
    base::Millis now,
    base::Millis expected_work) {
  if (in_flight >= m_max_in_flight || m_size == 0) {
    return std::nullopt;
  }
  QueueChoice choice = m_order->Choose({.classes = m_classes,
                                        .now = now,
                                        .expected_work = expected_work,
                                        .delivered = m_delivered,
                                        .last_reserved = m_last_reserved});
  ClassQueue& queue = m_classes.at(choice.request_class);
  auto chosen =
      queue.requests.begin() + static_cast<std::ptrdiff_t>(choice.index);
  flow::FlowEnds flow = chosen->request.flow;
  queue.requests.erase(chosen);
  queue.last_delivery = ++m_delivered;
  m_last_reserved = choice.reserved ? m_delivered : m_last_reserved;
  OnRemoved();
  return flow;
}

void RequestQueue::OnRemoved() {
  if (--m_size == 0) {
    m_classes.clear();
  }
}

}  // namespace filberthollow::decision::load
