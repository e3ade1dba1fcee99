// Requests that wait at an agent because their upstream is full.
//
// An upstream that is offered more than it can work on queues it, first come
// first served, and then answers everybody late. So no more is delivered than
// keeps it busy; the rest waits here, where it can be put in a better order:
// by the priority of the route and then, while waiting is short, the oldest
// first. Once the oldest has waited for a good part of its latency goal, the
// newest goes first, since it still can be answered in time (adaptive LIFO; see
// Maurer, "Fail at Scale", 2015).
//
//   if (!queue.HasRoom(busy)) queue.Add(flow, entry);
//   while (auto flow = queue.Next(busy, now)) { deliver(*flow); ++busy; }
#ifndef FILBERTHOLLOW_DECISION_REQUEST_QUEUE_H_
#define FILBERTHOLLOW_DECISION_REQUEST_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision {

// WaitingRequest is one entry.
struct WaitingRequest {
  flow::FlowEnds flow;
  uint32_t priority = 0;  // 0 goes first
  base::Millis latency_goal;
  base::Millis since;
  friend bool operator==(const WaitingRequest&,
                         const WaitingRequest&) = default;
};

// RequestQueue belongs to one gate.
class RequestQueue {
 public:
  // An upstream is given half as many requests again as it has slots, and one
  // more: with less, a slot would stand idle between an answer and the next
  // delivery; with more, requests wait where they can't be put in order.
  static constexpr uint32_t kExtraPerSlots = 2;
  // The newest goes first once the oldest has waited for this part of its
  // latency goal; the rest of the goal is for the work and the way back.
  static constexpr int64_t kGoalParts = 2;

  // SetSlots sets how many requests the upstream works on at one time.
  void SetSlots(uint32_t slots) {
    m_limit = slots + slots / kExtraPerSlots + 1;
  }
  // HasRoom returns whether a request may be delivered at once.
  bool HasRoom(uint32_t busy) const {
    return busy < m_limit && m_waiting.empty();
  }
  // Add puts a request at the end of its priority.
  void Add(const WaitingRequest& request);
  // Remove drops the request of a flow, if it waits.
  void Remove(const flow::FlowEnds& flow);
  void Clear() { m_waiting.clear(); }
  // Next takes the request that is to be delivered now, if there is room.
  std::optional<flow::FlowEnds> Next(uint32_t busy, base::Millis now);
  // Returns how many requests wait.
  size_t size() const;

 private:
  uint32_t m_limit = 2;
  std::map<uint32_t, std::deque<WaitingRequest>> m_waiting;  // by priority
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_REQUEST_QUEUE_H_
