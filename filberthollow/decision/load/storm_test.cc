// Checks the requirements of issue 5 in a retry storm of ten times capacity,
// and that a naive baseline fails them.
#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/storm.h"

namespace filberthollow::testing {
namespace {

constexpr double kMinGoodput = 0.95;
constexpr double kMaxRetryShare = 0.10;
constexpr uint32_t kMaxRecoverySeconds = 10;

double RetryShare(const StormResult& result) {
  return static_cast<double>(result.retry_runs) /
         static_cast<double>(result.runs);
}

BOOST_AUTO_TEST_CASE(FirstAttemptsSucceedInARetryStormOfTenTimesCapacity) {
  StormResult ours = RunStorm({});
  BOOST_TEST(ours.storm_goodput >= kMinGoodput);
  BOOST_TEST(RetryShare(ours) <= kMaxRetryShare);
  BOOST_TEST(ours.recovery_s <= kMaxRecoverySeconds);
}

BOOST_AUTO_TEST_CASE(TheNaiveBaselineCollapses) {
  StormResult naive = RunNaiveStorm({});
  BOOST_TEST(naive.storm_goodput < kMinGoodput / 2);
  BOOST_TEST(naive.recovery_s > kMaxRecoverySeconds);
}

}  // namespace
}  // namespace filberthollow::testing
