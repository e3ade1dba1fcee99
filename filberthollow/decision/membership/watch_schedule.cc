#include "filberthollow/decision/membership/watch_schedule.h"

#include <algorithm>

namespace filberthollow::decision::membership {

WatchSchedule::WatchSchedule(base::Millis deadline)
    : m_turn_interval(
          std::clamp(base::Millis(deadline.count() / kTurnsPerDeadline),
                     kMinTurnInterval,
                     kMaxWait)) {}

base::Millis WatchSchedule::NextWait(base::Millis wall_now) const {
  auto watchers = static_cast<int64_t>(std::max<size_t>(m_turn.watchers, 1));
  int64_t period = std::min(m_turn_interval * watchers, kMaxWait).count();
  int64_t own_turn = period * static_cast<int64_t>(m_turn.rank) / watchers;
  int64_t wait = (own_turn - wall_now.count() % period + period) % period;
  // The answer that precedes this watch has just shown the same.
  bool too_soon = wait < m_turn_interval.count() / 2;
  return std::min(base::Millis(too_soon ? wait + period : wait), kMaxWait);
}

}  // namespace filberthollow::decision::membership
