// Requests queued at an agent because their upstream is at capacity.
//
// An upstream that receives more requests than it can process queues them in
// order of arrival and then answers all of them late. Therefore an agent
// delivers only as many as keep the upstream busy and queues the rest here,
// where it can choose a better order: by the priority of the route, and within
// one priority the oldest first while waits are short. Once the oldest request
// has waited for half of its latency goal, the newest goes first, since it can
// still be answered in time (adaptive LIFO; see Maurer, "Fail at Scale", 2015).
// This answers the load pattern of an outage that ends in more requests than
// the upstreams can answer in time: in order of arrival, all answers would be
// late.
//
//   if (!queue.CanDeliverNow(in_flight)) queue.Add(request);
//   while (auto flow = queue.TakeNext(in_flight, now)) {
//     deliver(*flow);
//     ++in_flight;
//   }
#ifndef FILBERTHOLLOW_DECISION_LOAD_REQUEST_QUEUE_H_
#define FILBERTHOLLOW_DECISION_LOAD_REQUEST_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision::load {

// QueuedRequest is a request in the queue.
struct QueuedRequest {
  flow::FlowEnds flow;
  uint32_t priority = 0;  // of the route; lower values are delivered first
  base::Millis latency_goal;
  base::Millis queued_at;
  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

// QueueOrder is a strategy object without state that changes. It tells which of
// the requests of one priority is delivered next.
class QueueOrder {
 public:
  virtual ~QueueOrder() = default;
  // Returns whether the newest request goes next, and not `oldest`.
  virtual bool TakesNewest(const QueuedRequest& oldest,
                           base::Millis now) const = 0;
};

// AdaptiveLifo takes the newest request once the oldest one has waited for its
// latency goal divided by kGoalDivisor. The rest of the goal is left for
// processing and for the answer's way back.
class AdaptiveLifo final : public QueueOrder {
 public:
  static constexpr int64_t kGoalDivisor = 2;
  bool TakesNewest(const QueuedRequest& oldest,
                   base::Millis now) const override;
};

// Returns the strategy that agents use.
const QueueOrder& DefaultQueueOrder();

// RequestQueue is not thread-safe; it is owned by one UpstreamGate.
class RequestQueue {
 public:
  // An upstream is given up to one and a half times as many requests as it has
  // slots, plus one. With fewer, a slot would be idle between an answer and the
  // next delivery; with more, requests would wait at the upstream, where they
  // can't be reordered.
  static constexpr uint32_t kSlotsPerExtraRequest = 2;

  // `order` must outlive the queue.
  explicit RequestQueue(const QueueOrder& order = DefaultQueueOrder())
      : m_order(&order) {}

  // Sets how many requests the upstream processes concurrently.
  void SetSlots(uint32_t slots) {
    m_max_in_flight = slots + slots / kSlotsPerExtraRequest + 1;
  }
  // Returns whether a new request may bypass the queue: the upstream, with
  // `in_flight` requests, is below its limit, and no request is queued.
  bool CanDeliverNow(uint32_t in_flight) const {
    return in_flight < m_max_in_flight && m_queued.empty();
  }
  // Appends a request to those of its priority.
  void Add(const QueuedRequest& request);
  // Removes the request of a flow, if one is queued.
  void Remove(const flow::FlowEnds& flow);
  void Clear() { m_queued.clear(); }
  // Removes the next request to deliver and returns its flow. Returns nothing
  // if the upstream, with `in_flight` requests, is at its limit or none is
  // queued.
  std::optional<flow::FlowEnds> TakeNext(uint32_t in_flight, base::Millis now);
  // Returns the number of queued requests.
  size_t size() const;

 private:
  const QueueOrder* m_order;
  // How many requests may be in flight; the initial value is that for one slot.
  uint32_t m_max_in_flight = 2;
  std::map<uint32_t, std::deque<QueuedRequest>> m_queued;  // by priority
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_REQUEST_QUEUE_H_
