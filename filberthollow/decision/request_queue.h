// Requests that wait at an agent because their upstream is full.
//
// An upstream that is offered more than it can work on queues it, first come
// first served, and then answers everybody late. So no more is delivered than
// keeps it in_flight; the rest waits here, where it can be put in a better
// order: by the priority of the route and then, while waiting is short, the
// oldest first. Once the oldest has waited for a good part of its latency goal,
// the newest goes first, since it still can be answered in time (adaptive LIFO;
// see Maurer, "Fail at Scale", 2015).
//
//   if (!queue.CanDeliverNow(in_flight)) queue.Add(flow, entry);
//   while (auto flow = queue.TakeNext(in_flight, now)) { deliver(*flow);
//   ++in_flight; }
#ifndef FILBERTHOLLOW_DECISION_REQUEST_QUEUE_H_
#define FILBERTHOLLOW_DECISION_REQUEST_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision {

// QueuedRequest is one entry.
struct QueuedRequest {
  flow::FlowEnds flow;
  uint32_t priority = 0;  // 0 goes first
  base::Millis latency_goal;
  base::Millis queued_at;
  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

// RequestQueue belongs to one gate.
class RequestQueue {
 public:
  // An upstream is given half as many requests again as it has slots, and one
  // more: with less, a slot would stand idle between an answer and the next
  // delivery; with more, requests wait where they can't be put in order.
  static constexpr uint32_t kSlotsPerExtraRequest = 2;
  // The newest goes first once the oldest has waited for this part of its
  // latency goal; the rest of the goal is for the work and the way back.
  static constexpr int64_t kOverloadGoalDivisor = 2;

  // SetSlots sets how many requests the upstream works on at one time.
  void SetSlots(uint32_t slots) {
    m_max_in_flight = slots + slots / kSlotsPerExtraRequest + 1;
  }
  // CanDeliverNow returns whether a request may be delivered at once.
  bool CanDeliverNow(uint32_t in_flight) const {
    return in_flight < m_max_in_flight && m_queued.empty();
  }
  // Add puts a request at the end of its priority.
  void Add(const QueuedRequest& request);
  // Remove drops the request of a flow, if it waits.
  void Remove(const flow::FlowEnds& flow);
  void Clear() { m_queued.clear(); }
  // TakeNext takes the request that is to be delivered now, if there is room.
  std::optional<flow::FlowEnds> TakeNext(uint32_t in_flight, base::Millis now);
  // Returns how many requests wait.
  size_t size() const;

 private:
  uint32_t m_max_in_flight = 2;
  std::map<uint32_t, std::deque<QueuedRequest>> m_queued;  // by priority
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_REQUEST_QUEUE_H_
