#include "filberthollow/base/log_budget.h"

#include <utility>

namespace filberthollow::base {

std::optional<uint64_t> LogRateLimiter::TryAcquire(std::string_view event,
                                                   uint32_t max_lines,
                                                   Millis now) {
  auto found = m_windows.find(event);
  if (found == m_windows.end()) {
    found = m_windows.emplace(event, EventWindow{.window_start = now}).first;
  }
  EventWindow& window = found->second;
  if (now - window.window_start >= kWindow) {
    window.window_start = now;
    window.written = 0;
  }
  if (window.written >= max_lines) {
    ++window.held_back;
    return std::nullopt;
  }
  ++window.written;
  return std::exchange(window.held_back, 0);
}

void LogRateLimiter::RecordUnwritten(std::string_view event,
                                     uint64_t held_back) {
  auto found = m_windows.find(event);
  if (found != m_windows.end()) {
    found->second.held_back += held_back + 1;
  }
}

}  // namespace filberthollow::base
