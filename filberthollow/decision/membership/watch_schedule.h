// When a balancer asks the platform's object store for changes.
//
// A watch whose answer is lost looks like one that waits for a change, so its
// caller can't tell before the wait is over. Balancers therefore take turns:
// their watches end one after the other, a short interval apart, and the first
// balancer that learns of a change tells the others. The interval depends on
// the deadline of a change and not on the size of the fleet, so the calls of
// the whole fleet don't grow with its size until every watch waits for
// kMaxWait.
//
// Turns follow the wall clock, which needs no messages. Where clocks differ,
// the intervals between turns become uneven; their number stays the same.
//
//   WatchSchedule schedule(deadline);
//   schedule.SetTurn({.watchers = 16, .rank = 3});
//   base::Millis wait = schedule.NextWait(base::WallMillis());
//   // The answer is overdue after `wait` and schedule.AnswerGrace().
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_WATCH_SCHEDULE_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_WATCH_SCHEDULE_H_

#include <cstddef>

#include "filberthollow/base/clock.h"

namespace filberthollow::decision::membership {

// The place of a balancer among those that take turns.
struct StoreTurn {
  size_t watchers = 1;  // including this balancer
  size_t rank = 0;      // from 0, by address
  friend bool operator==(const StoreTurn&, const StoreTurn&) = default;
};

// WatchSchedule is not thread-safe.
class WatchSchedule {
 public:
  // The longest time for which the platform holds back an answer.
  static constexpr base::Millis kMaxWait{30'000};
  // A fifth of the deadline each is for the wait until the next turn, for a
  // turn that a failed balancer misses, and for an overdue answer. The rest is
  // for passing a change on to the other balancers and the agents.
  static constexpr int64_t kTurnsPerDeadline = 5;
  // Limits the rate of calls where the deadline is very short.
  static constexpr base::Millis kMinTurnInterval{100};

  // `deadline` is the time within which a change must be in force.
  explicit WatchSchedule(base::Millis deadline);

  void SetTurn(StoreTurn turn) { m_turn = turn; }
  // Returns how long the next watch is to wait: until the next turn of this
  // balancer, or the one after it if that is due too soon. `wall_now` is the
  // time by the wall clock.
  base::Millis NextWait(base::Millis wall_now) const;
  // Returns how long after the end of its wait an answer is overdue.
  base::Millis AnswerGrace() const { return m_turn_interval; }
  // Returns the longest time between two calls while the store doesn't answer,
  // in a small fleet.
  base::Millis LongestRetryDelay() const { return m_turn_interval * 2; }

 private:
  const base::Millis m_turn_interval;
  StoreTurn m_turn;
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_WATCH_SCHEDULE_H_
