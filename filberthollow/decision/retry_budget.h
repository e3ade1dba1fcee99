// A retry budget: retries may be at most a share of recent first attempts.
//
//   RetryBudget budget(/*percent=*/10);
//   budget.CountFirstAttempt(now);
//   if (!budget.TakeRetry(now)) refuse(Reason::kRetryBudget);
#ifndef FILBERTHOLLOW_DECISION_RETRY_BUDGET_H_
#define FILBERTHOLLOW_DECISION_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "filberthollow/base/clock.h"

namespace filberthollow::decision {

// RetryBudget counts over a sliding window of kWindow in steps of kStep.
class RetryBudget {
 public:
  static constexpr base::Millis kStep{1000};
  static constexpr int64_t kSteps = 10;
  static constexpr base::Millis kWindow = kStep * kSteps;
  // kMinRetries per window are allowed even with few first attempts, so that a
  // quiet service can retry at all.
  static constexpr uint64_t kMinRetries = 3;

  // Allows retries up to `percent` of the first attempts in the window.
  explicit RetryBudget(uint32_t percent) : m_percent(percent) {}

  // SetPercent changes the share and keeps the counts.
  void SetPercent(uint32_t percent) { m_percent = percent; }
  // CountFirstAttempt records a first attempt.
  void CountFirstAttempt(base::Millis now);
  // TakeRetry records a retry and returns true, or returns false if the budget
  // is spent.
  bool TakeRetry(base::Millis now);

 private:
  struct Counts {
    uint64_t first = 0;
    uint64_t retries = 0;
  };

  void Advance(base::Millis now);

  uint32_t m_percent;
  int64_t m_step = 0;
  std::array<Counts, kSteps> m_counts{};
  Counts m_sum;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_RETRY_BUDGET_H_
