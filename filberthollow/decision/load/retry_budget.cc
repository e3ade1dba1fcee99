#include "filberthollow/decision/load/retry_budget.h"

#include <algorithm>

namespace filberthollow::decision::load {

void RetryBudget::Advance(base::Millis now) {
  int64_t step = now.count() / kStep.count();
  int64_t passed = std::min(step - m_step, kSteps);
  for (int64_t i = 0; i < passed; ++i) {
    Counts& oldest = m_counts[(step - i) % kSteps];
    m_sum.first_attempts -= oldest.first_attempts;
    m_sum.retries -= oldest.retries;
    oldest = Counts{};
  }
  m_step = std::max(step, m_step);
}

void RetryBudget::CountFirstAttempt(base::Millis now) {
  Advance(now);
  ++m_counts[m_step % kSteps].first_attempts;
  ++m_sum.first_attempts;
}

bool RetryBudget::TakeRetry(base::Millis now) {
  Advance(now);
  uint64_t allowed =
      std::max(kMinRetries, m_sum.first_attempts * m_percent / 100);
  if (m_sum.retries >= allowed) {
    return false;
  }
  ++m_counts[m_step % kSteps].retries;
  ++m_sum.retries;
  return true;
}

}  // namespace filberthollow::decision::load
