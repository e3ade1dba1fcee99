// How many log lines of each event may be written in a second.
//
//   std::optional<uint64_t> held = budget.Take("flow_reset", limit, now);
//   if (held) { write(line, *held); }
#ifndef FILBERTHOLLOW_BASE_LOG_BUDGET_H_
#define FILBERTHOLLOW_BASE_LOG_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/base/clock.h"

namespace filberthollow::base {

// LogBudget counts by event, so that a flood of one event takes no line from
// another. It is not safe for several threads.
class LogBudget {
 public:
  static constexpr Millis kSpan{1000};

  // Take asks for one line. Returns how many lines of the event were held back
  // since the last that was written, or nothing if this one is to be held back
  // because `limit` lines were written within the present span.
  std::optional<uint64_t> Take(std::string_view event,
                               uint32_t limit,
                               Millis now);
  // Return gives a line back that could not be written, with the count that
  // Take() gave for it.
  void Return(std::string_view event, uint64_t held_back);

 private:
  struct Bucket {
    Millis span_start;
    uint32_t written = 0;
    uint64_t held_back = 0;
  };
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_LOG_BUDGET_H_
