#include "filberthollow/base/log_budget.h"

#include <utility>

namespace filberthollow::base {

std::optional<uint64_t> LogBudget::Take(std::string_view event,
                                        uint32_t limit,
                                        Millis now) {
  auto found = m_buckets.find(event);
  if (found == m_buckets.end()) {
    found = m_buckets.emplace(event, Bucket{.span_start = now}).first;
  }
  Bucket& bucket = found->second;
  if (now - bucket.span_start >= kSpan) {
    bucket.span_start = now;
    bucket.written = 0;
  }
  if (bucket.written >= limit) {
    ++bucket.held_back;
    return std::nullopt;
  }
  ++bucket.written;
  return std::exchange(bucket.held_back, 0);
}

void LogBudget::Return(std::string_view event, uint64_t held_back) {
  auto found = m_buckets.find(event);
  if (found != m_buckets.end()) {
    found->second.held_back += held_back + 1;
  }
}

}  // namespace filberthollow::base
