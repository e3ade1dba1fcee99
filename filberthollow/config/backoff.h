// Exponential backoff with jitter for calls to the platform. The jitter keeps
// the processes of the fleet from retrying at the same time after an outage.
//
//   Backoff backoff(kInitialDelay, kMaxDelay, seed);
//   loop.After(backoff.Next(), retry);
//   backoff.Reset();  // after a success
#ifndef FILBERTHOLLOW_CONFIG_BACKOFF_H_
#define FILBERTHOLLOW_CONFIG_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "filberthollow/base/clock.h"

namespace filberthollow::config {

// Backoff is not thread-safe.
class Backoff {
 public:
  Backoff(base::Millis initial_delay, base::Millis max_delay, uint64_t seed)
      : m_initial_delay(initial_delay),
        m_max_delay(max_delay),
        m_current_limit(initial_delay),
        m_random(seed) {}

  // Returns the next delay, chosen uniformly between half the current limit and
  // the limit. The limit starts at `initial_delay` and doubles with each call,
  // up to `max_delay`.
  base::Millis Next() {
    int64_t half = m_current_limit.count() / 2;
    std::uniform_int_distribution<int64_t> jitter(half,
                                                  m_current_limit.count());
    m_current_limit = std::min(m_current_limit * 2, m_max_delay);
    return base::Millis(jitter(m_random));
  }
  // Sets the limit back to `initial_delay`. To be called after a success.
  void Reset() { m_current_limit = m_initial_delay; }

 private:
  const base::Millis m_initial_delay;
  const base::Millis m_max_delay;
  base::Millis m_current_limit;
  std::mt19937_64 m_random;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_BACKOFF_H_
