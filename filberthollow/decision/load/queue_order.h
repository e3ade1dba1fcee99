// The order in which an agent delivers the requests that wait for its upstream.
//
// A QueueOrder chooses the next request among those queued. It keeps no state;
// what it needs to know about earlier deliveries is in the QueueView.
//
// This answers two load patterns: a peak with more requests than the upstreams
// can answer before the callers' timeouts, and a flood of one kind of request
// beside other kinds (lab patterns peak-with-timeouts and flood-of-one-kind).
//
//   QueueChoice next = order.Choose(view);
//   const QueuedRequest& request =
//       view.classes.at(next.request_class).requests[next.index].request;
#ifndef FILBERTHOLLOW_DECISION_LOAD_QUEUE_ORDER_H_
#define FILBERTHOLLOW_DECISION_LOAD_QUEUE_ORDER_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision::load {

// QueuedRequest is a request in the queue.
struct QueuedRequest {
  flow::FlowEnds flow;
  uint32_t priority = 0;  // of the route; lower values are delivered first
  base::Millis latency_goal;
  base::Millis queued_at;
  base::Millis timeout{0};  // of callers of the route; 0 if it is not known
  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;

  // Returns the time after which the caller no longer waits for the answer.
  base::Millis Deadline() const {
    return timeout > base::Millis(0) ? queued_at + timeout : base::kNever;
  }
};

// RequestClass identifies requests that are ordered by arrival only. The
// timeout is part of it, so that deadlines within a class are in order of
// arrival also when the configuration changes the timeout of the route.
struct RequestClass {
  uint32_t priority = 0;
  base::Address route;
  base::Millis timeout{0};
  friend auto operator<=>(const RequestClass&, const RequestClass&) = default;

  static RequestClass Of(const QueuedRequest& request) {
    return {request.priority, request.flow.route, request.timeout};
  }
};

// QueueEntry is a request and its position in the order of arrival, which tells
// requests of the same millisecond apart.
struct QueueEntry {
  QueuedRequest request;
  uint64_t number = 0;
  friend bool operator==(const QueueEntry&, const QueueEntry&) = default;
};

// ClassQueue holds the requests of one class, oldest first.
struct ClassQueue {
  std::deque<QueueEntry> requests;
  uint64_t last_delivery = 0;  // number of the last delivery of this class
  friend bool operator==(const ClassQueue&, const ClassQueue&) = default;
};

using ClassQueues = std::map<RequestClass, ClassQueue>;

// QueueView is what a QueueOrder decides by.
struct QueueView {
  const ClassQueues& classes;  // some may be empty, but not all
  base::Millis now;
  // Expected time from delivery until the answer; 0 if it is not known.
  base::Millis expected_work{0};
  uint64_t delivered = 0;      // deliveries so far
  uint64_t last_reserved = 0;  // number of the last one with `reserved` set

  // Returns whether the answer can be expected before the caller's timeout.
  bool CanAnswer(const QueuedRequest& request) const {
    return now + expected_work <= request.Deadline();
  }
};

// QueueChoice names a request in a QueueView.
struct QueueChoice {
  RequestClass request_class;
  size_t index = 0;
  bool reserved = false;  // see AnswerableFirst::kReservedTurn
  friend bool operator==(const QueueChoice&, const QueueChoice&) = default;
};

class QueueOrder {
 public:
  virtual ~QueueOrder() = default;
  virtual QueueChoice Choose(const QueueView& view) const = 0;
};

// Returns whether the newest request goes before `oldest`, since `oldest` has
// waited for its latency goal divided by kGoalDivisor. The rest of the goal is
// left for processing and for the answer's way back (adaptive LIFO; see Maurer,
// "Fail at Scale", 2015).
inline constexpr int64_t kGoalDivisor = 2;
bool TakesNewest(const QueuedRequest& oldest, base::Millis now);

// AnswerableFirst delivers requests that can still be answered before their
// timeout before all others. Among these, the lowest priority value goes first,
// and routes of one priority take turns. Within a route, the order is adaptive
// LIFO. Once even the newest request has waited for its latency goal, all
// answers are late, and the oldest request goes first, since it is the next to
// reach its timeout. Without a known work time, the newest still goes first:
// the oldest may have too little time left.
//
// Every kReservedTurn-th delivery is reserved for a class that has an overdue
// request and received none of the deliveries between, whatever its priority.
// The reserved delivery follows the order within the class: giving it to the
// oldest request overall lowered the lab's burst-of-3 with stated timeouts from
// 0.860 to 0.820, since it answers requests late in place of others in time.
//
// Requests without a known timeout can always be answered, are never overdue
// and are ordered by priority, turns and adaptive LIFO only.
class AnswerableFirst final : public QueueOrder {
 public:
  static constexpr uint64_t kReservedTurn = 4;
  QueueChoice Choose(const QueueView& view) const override;
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_QUEUE_ORDER_H_
