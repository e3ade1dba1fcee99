// Per-event rate limit for log lines.
//
//   std::optional<uint64_t> held_back =
//       limiter.TryAcquire("flow_reset", max_lines, now);
//   if (held_back) { write(line, *held_back); }
#ifndef FILBERTHOLLOW_BASE_LOG_BUDGET_H_
#define FILBERTHOLLOW_BASE_LOG_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/base/clock.h"

namespace filberthollow::base {

// LogRateLimiter limits each event separately, so that a burst of one event
// does not suppress another. Not thread-safe.
class LogRateLimiter {
 public:
  static constexpr Millis kWindow{1000};

  // TryAcquire requests permission to write one line of `event`. Returns the
  // number of lines suppressed since the last one written, or nullopt if
  // `max_lines` were already written in the current window.
  std::optional<uint64_t> TryAcquire(std::string_view event,
                                     uint32_t max_lines,
                                     Millis now);
  // RecordUnwritten counts a permitted line that could not be written as
  // suppressed. `held_back` is the count that TryAcquire() returned for it.
  void RecordUnwritten(std::string_view event, uint64_t held_back);

 private:
  struct EventWindow {
    Millis window_start;
    uint32_t written = 0;
    uint64_t held_back = 0;
  };
  std::map<std::string, EventWindow, std::less<>> m_windows;
};

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_LOG_BUDGET_H_
