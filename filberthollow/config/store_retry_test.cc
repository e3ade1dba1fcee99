#include "filberthollow/config/store_retry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace filberthollow::config {
namespace {

using base::Millis;

constexpr uint32_t kReadsPerSecond = 2000;
constexpr uint64_t kSeed = 7;
constexpr int kCalls = 50;
// After an outage, a change must be in force within this time.
constexpr Millis kInForce{3000};

// Guards against a fleet that restarted during a long outage and waited for up
// to 10 s more after the store had returned.
BOOST_AUTO_TEST_CASE(ProcessWithoutConfigurationCallsSoonAlsoInALongOutage) {
  StoreRetry retry(kReadsPerSecond, kSeed);
  for (int call = 0; call < kCalls; ++call) {
    BOOST_TEST((retry.Next(false, 5) <= StoreRetry::kUnconfiguredDelay));
  }
}

BOOST_AUTO_TEST_CASE(ProcessWithConfigurationBacksOffWithinTheBound) {
  StoreRetry retry(kReadsPerSecond, kSeed);
  BOOST_TEST((retry.Next(true, 5) <= StoreRetry::kInitialDelay));
  Millis longest{0};
  for (int call = 0; call < kCalls; ++call) {
    longest = std::max(longest, retry.Next(true, 5));
  }
  BOOST_TEST((longest > StoreRetry::kInitialDelay));
  BOOST_TEST((longest < kInForce));
  retry.Reset();
  BOOST_TEST((retry.Next(true, 5) <= StoreRetry::kInitialDelay));
}

// All balancers of a fleet that has just started without a store.
BOOST_AUTO_TEST_CASE(LargeFleetStaysWithinItsShareOfTheReadRate) {
  constexpr size_t kBalancers = 1000;
  constexpr double kMillisPerSecond = 1000;
  StoreRetry retry(kReadsPerSecond, kSeed);
  double calls_per_second = 0;
  for (size_t balancer = 0; balancer < kBalancers; ++balancer) {
    Millis delay = retry.Next(false, kBalancers);
    calls_per_second += kMillisPerSecond / static_cast<double>(delay.count());
  }
  // The jitter shortens the mean delay to 3/4 of the limit, so that the rate is
  // up to 1.4 times the share.
  double share = kReadsPerSecond * StoreRetry::kMaxReadPercent / 100.0;
  BOOST_TEST(calls_per_second < 1.5 * share);
}

// Guards against a fleet that calls a store at the same moment, because it has
// come back, and is turned away. The first of the fleet calls soon.
BOOST_AUTO_TEST_CASE(CallsOfOneEventAreSpreadOverTheFleet) {
  constexpr size_t kBalancers = 1000;
  constexpr double kShare = kReadsPerSecond * StoreRetry::kMaxReadPercent / 100;
  StoreRetry retry(kReadsPerSecond, kSeed);
  Millis shortest = base::kNever;
  Millis longest{0};
  for (size_t balancer = 0; balancer < kBalancers; ++balancer) {
    Millis delay = retry.Spread(kBalancers);
    shortest = std::min(shortest, delay);
    longest = std::max(longest, delay);
    BOOST_TEST((retry.Spread(5) <= StoreRetry::kInitialDelay));
  }
  constexpr int64_t kAll =
      kBalancers * 1000 * 100 / (kReadsPerSecond * StoreRetry::kMaxReadPercent);
  BOOST_TEST(shortest.count() < kAll / 100);
  BOOST_TEST(longest.count() > kAll * 9 / 10);
  BOOST_TEST(longest.count() <= kAll);
  double seconds = static_cast<double>((longest - shortest).count()) / 1000;
  BOOST_TEST(kBalancers / seconds < 1.1 * kShare);
}

}  // namespace
}  // namespace filberthollow::config
