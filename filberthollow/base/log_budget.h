// How many log lines of each event may be written in a second.
//
//   std::optional<uint64_t> held = budget.TryAcquire("flow_reset", max_lines,
//   now); if (held) { write(line, *held); }
#ifndef FILBERTHOLLOW_BASE_LOG_BUDGET_H_
#define FILBERTHOLLOW_BASE_LOG_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/base/clock.h"

namespace filberthollow::base {

// LogRateLimiter counts by event, so that a flood of one event takes no line
// from another. It is not safe for several threads.
class LogRateLimiter {
 public:
  static constexpr Millis kWindow{1000};

  // TryAcquire asks for one line. Returns how many lines of the event were held
  // back since the last that was written, or nothing if this one is to be held
  // back because `max_lines` lines were written within the present span.
  std::optional<uint64_t> TryAcquire(std::string_view event,
                                     uint32_t max_lines,
                                     Millis now);
  // RecordUnwritten gives a line back that could not be written, with the count
  // that TryAcquire() gave for it.
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
