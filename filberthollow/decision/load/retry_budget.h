// A retry budget limits retries to a percentage of recent first attempts.
//
//   RetryBudget budget(/*percent=*/10);
//   budget.CountFirstAttempt(now);
//   if (!budget.TakeRetry(now)) refuse(Reason::kRetryBudget);
#ifndef FILBERTHOLLOW_DECISION_LOAD_RETRY_BUDGET_H_
#define FILBERTHOLLOW_DECISION_LOAD_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "filberthollow/base/clock.h"

namespace filberthollow::decision::load {

// RetryBudget counts attempts over a sliding window of length kWindow that
// advances in steps of kStep. It is not thread-safe.
class RetryBudget {
 public:
  static constexpr base::Millis kStep{1000};
  static constexpr int64_t kSteps = 10;
  static constexpr base::Millis kWindow = kStep * kSteps;
  // kMinRetries retries are always allowed per window, so that a service with
  // little traffic can retry at all.
  static constexpr uint64_t kMinRetries = 3;

  // Limits retries to `percent` of the first attempts in the window.
  explicit RetryBudget(uint32_t percent) : m_percent(percent) {}

  // SetPercent changes the percentage and keeps the counts.
  void SetPercent(uint32_t percent) { m_percent = percent; }
  // CountFirstAttempt records a first attempt.
  void CountFirstAttempt(base::Millis now);
  // TakeRetry records a retry and returns true, or returns false if the budget
  // is exhausted.
  bool TakeRetry(base::Millis now);

 private:
  struct Counts {
    uint64_t first_attempts = 0;
    uint64_t retries = 0;
  };

  // Moves the window to `now` and drops the counts that left it.
  void Advance(base::Millis now);

  uint32_t m_percent;
  int64_t m_step = 0;                     // current step: time / kStep
  std::array<Counts, kSteps> m_counts{};  // ring buffer, by step % kSteps
  Counts m_sum;                           // over m_counts
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_RETRY_BUDGET_H_
