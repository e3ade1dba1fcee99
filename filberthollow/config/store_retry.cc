#include "filberthollow/config/store_retry.h"

#include <algorithm>

namespace filberthollow::config {
namespace {

constexpr uint64_t kMillisPerSecond = 1000;
constexpr uint64_t kPercent = 100;

}  // namespace

StoreRetry::StoreRetry(uint32_t reads_per_second,
                       uint64_t seed,
                       base::Millis max_delay)
    : m_reads_per_second(std::max<uint64_t>(reads_per_second, 1)),
      m_max_delay(std::min(max_delay, kMaxDelay)),
      m_random(seed) {
  Reset();
}

base::Millis StoreRetry::Next(bool has_configuration, size_t fleet_size) {
  base::Millis delay = has_configuration ? m_delay : kUnconfiguredDelay;
  m_delay = std::min(m_delay * 2, m_max_delay);
  int64_t longest = std::max(delay, FleetDelay(fleet_size)).count();
  return base::Millis(
      std::uniform_int_distribution<int64_t>(longest / 2, longest)(m_random));
}

base::Millis StoreRetry::Spread(size_t fleet_size) {
  int64_t longest = std::max(kInitialDelay, FleetDelay(fleet_size)).count();
  return base::Millis(
      std::uniform_int_distribution<int64_t>(0, longest)(m_random));
}

base::Millis StoreRetry::FleetDelay(size_t fleet_size) const {
  return base::Millis(
      static_cast<int64_t>(fleet_size * kMillisPerSecond * kPercent /
                           (m_reads_per_second * kMaxReadPercent)));
}

}  // namespace filberthollow::config
