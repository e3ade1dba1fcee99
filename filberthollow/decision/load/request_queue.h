// Requests queued at an agent because their upstream is at capacity.
//
// An upstream that receives more requests than it can process queues them in
// order of arrival and then answers all of them late. Therefore an agent
// delivers only as many as keep the upstream busy and queues the rest here,
// where a QueueOrder chooses a better order; see queue_order.h. This answers
// the load pattern of an outage that ends in more requests than the upstreams
// can answer in time.
//
//   if (!queue.CanDeliverNow(in_flight)) queue.Add(request);
//   while (auto flow = queue.TakeNext(in_flight, now, expected_work)) {
//     deliver(*flow);
//     ++in_flight;
//   }
#ifndef FILBERTHOLLOW_DECISION_LOAD_REQUEST_QUEUE_H_
#define FILBERTHOLLOW_DECISION_LOAD_REQUEST_QUEUE_H_

#include <cstdint>
#include <optional>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/load/queue_order.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision::load {

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
    return in_flight < m_max_in_flight && m_size == 0;
  }
  // Appends a request. `queued_at` must not be earlier than that of the request
  // added before.
  void Add(const QueuedRequest& request);
  // Removes the request of a flow, if one is queued.
  void Remove(const flow::FlowEnds& flow);
  void Clear();
  // Removes the next request to deliver and returns its flow. Returns nothing
  // if the upstream, with `in_flight` requests, is at its limit or none is
  // queued. `expected_work` is the expected time from delivery until the
  // answer; 0 if it is not known. The cost is a binary search for each route
  // with queued requests.
  std::optional<flow::FlowEnds> TakeNext(uint32_t in_flight,
                                         base::Millis now,
                                         base::Millis expected_work);
  // Returns the number of queued requests.
  size_t size() const { return m_size; }

 private:
  // Adapts to the removal of one request.
  void OnRemoved();

  const QueueOrder* m_order;
  // How many requests may be in flight; the initial value is that for one slot.
  uint32_t m_max_in_flight = 2;
  // Empty classes are kept until the queue is empty, since a class that was
  // forgotten and came back at once would be delivered ahead of its turn.
  ClassQueues m_classes;
  size_t m_size = 0;
  uint64_t m_added = 0;
  uint64_t m_delivered = 0;
  uint64_t m_last_reserved = 0;
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_REQUEST_QUEUE_H_
