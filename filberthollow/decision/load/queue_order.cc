#include "filberthollow/decision/load/queue_order.h"

#include <algorithm>
#include <optional>

namespace filberthollow::decision::load {
namespace {

// Returns the index of the oldest request that can still be answered, or the
// number of requests if there is none. Deadlines are in order of arrival.
size_t FirstAnswerable(const ClassQueue& queue, const QueueView& view) {
  auto first = std::partition_point(
      queue.requests.begin(), queue.requests.end(),
      [&view](const QueueEntry& e) { return !view.CanAnswer(e.request); });
  return static_cast<size_t>(first - queue.requests.begin());
}

// Returns whether the answer would be late but before the timeout, if the
// request can be answered. Without a timeout that can't be told.
bool IsOverdue(const QueuedRequest& request, base::Millis now) {
  return request.timeout > base::Millis(0) &&
         now - request.queued_at > request.latency_goal;
}

// Turn is a class that may deliver next, and its oldest eligible request.
struct Turn {
  RequestClass request_class;
  const ClassQueue* queue = nullptr;
  size_t oldest = 0;
};

// Replaces `turn` by `other` if that class has gone longer without a delivery.
void PreferLongerWithout(std::optional<Turn>& turn, const Turn& other) {
  if (!turn || other.queue->last_delivery < turn->queue->last_delivery) {
    turn = other;
  }
}

// Like PreferLongerWithout(), but a lower priority value goes first. Classes
// are visited in order of priority.
void PreferPriority(std::optional<Turn>& turn, const Turn& other) {
  if (!turn || turn->request_class.priority == other.request_class.priority) {
    PreferLongerWithout(turn, other);
  }
}

// Returns whether none of the last deliveries is the one numbered `last`.
bool IsTurnDue(uint64_t last, const QueueView& view) {
  return view.delivered - last + 1 >= AnswerableFirst::kReservedTurn;
}

// Returns the index of the next request of a class of which requests from
// `turn.oldest` on can be answered.
size_t NextAnswerable(const Turn& turn, const QueueView& view) {
  const std::deque<QueueEntry>& requests = turn.queue->requests;
  bool all_late = view.expected_work > base::Millis(0) &&
                  IsOverdue(requests.back().request, view.now);
  bool newest =
      TakesNewest(requests[turn.oldest].request, view.now) && !all_late;
  return newest ? requests.size() - 1 : turn.oldest;
}

}  // namespace

bool TakesNewest(const QueuedRequest& oldest, base::Millis now) {
  return (now - oldest.queued_at) * kGoalDivisor > oldest.latency_goal;
}

QueueChoice AnswerableFirst::Choose(const QueueView& view) const {
  bool may_reserve = IsTurnDue(view.last_reserved, view);
  std::optional<Turn> answerable;
  std::optional<Turn> past_saving;
  std::optional<Turn> reserved;
  for (const auto& [request_class, queue] : view.classes) {
    if (queue.requests.empty()) {
      continue;
    }
    Turn turn{request_class, &queue, FirstAnswerable(queue, view)};
    if (turn.oldest == queue.requests.size()) {
      PreferPriority(past_saving, turn);
      continue;
    }
    PreferPriority(answerable, turn);
    if (may_reserve && IsTurnDue(queue.last_delivery, view) &&
        IsOverdue(queue.requests[turn.oldest].request, view.now)) {
      PreferLongerWithout(reserved, turn);
    }
  }
  if (reserved) {
    return {reserved->request_class, NextAnswerable(*reserved, view), true};
  }
  if (answerable) {
    return {answerable->request_class, NextAnswerable(*answerable, view)};
  }
  // The newest one has the most time left, and work may take less than
  // expected.
  return {past_saving->request_class, past_saving->queue->requests.size() - 1};
}

}  // namespace filberthollow::decision::load
