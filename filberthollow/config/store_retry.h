// Delays of calls to the object store that all processes make at one time:
// failed calls that read the configuration, and writes of what a restored store
// has lost.
//
// A process that has a configuration keeps serving with it, so it calls again
// after a growing delay. A process that has none cannot accept new flows, so it
// calls again soon and its delay does not grow. In both cases the delay is long
// enough for all balancers of the fleet together to stay within a share of the
// store's read rate. In a large fleet, each balancer thus calls rarely, but one
// of them soon reaches the store, and the others read the configuration from
// it.
//
//   StoreRetry retry(reads_per_second, seed);
//   loop.After(retry.Next(has_configuration, fleet_size), call);
//   retry.Reset();  // after a success
//   loop.After(retry.Spread(fleet_size), write);
#ifndef FILBERTHOLLOW_CONFIG_STORE_RETRY_H_
#define FILBERTHOLLOW_CONFIG_STORE_RETRY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

#include "filberthollow/base/clock.h"

namespace filberthollow::config {

// StoreRetry is not thread-safe.
class StoreRetry {
 public:
  // Delay of a process without a configuration, in a small fleet.
  static constexpr base::Millis kUnconfiguredDelay{100};
  // First and largest delay of a process with a configuration, in a small
  // fleet. The largest is below the time within which a change must be in force
  // after an outage of the store.
  static constexpr base::Millis kInitialDelay{500};
  static constexpr base::Millis kMaxDelay{2000};
  // Percentage of the store's read rate that all retries together may take.
  static constexpr uint64_t kMaxReadPercent = 10;

  // `reads_per_second` is the rate that the store grants to the whole fleet.
  // `max_delay` replaces kMaxDelay if it is shorter.
  StoreRetry(uint32_t reads_per_second,
             uint64_t seed,
             base::Millis max_delay = kMaxDelay);

  // Returns the delay before the next call, chosen uniformly between half of
  // the current delay and all of it, so that processes don't call in step.
  // `fleet_size` is the number of balancers that watch the store.
  base::Millis Next(bool has_configuration, size_t fleet_size);
  // Returns the delay of a call that every balancer makes because of the same
  // event: between 0 and kInitialDelay, up to longer in a large fleet.
  base::Millis Spread(size_t fleet_size);
  // Starts again with kInitialDelay. To be called after a success.
  void Reset() { m_delay = std::min(kInitialDelay, m_max_delay); }

 private:
  // Returns the delay at which the calls of the fleet take kMaxReadPercent.
  base::Millis FleetDelay(size_t fleet_size) const;

  const uint64_t m_reads_per_second;
  const base::Millis m_max_delay;
  base::Millis m_delay;
  std::mt19937_64 m_random;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_STORE_RETRY_H_
