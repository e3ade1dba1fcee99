#include "filberthollow/decision/balancer_set.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision {
namespace {

using base::Address;
using base::Millis;

constexpr Address kSelf{1, 10};
constexpr Address kOther{2, 10};

BOOST_AUTO_TEST_CASE(ItselfIsNeverAdded) {
  BalancerSet set(kSelf);
  BOOST_TEST(!set.Add(kSelf, Millis(0)));
  BOOST_TEST(!set.Hear(kSelf, false, Millis(0)));
  BOOST_TEST(set.size() == 0U);
}

BOOST_AUTO_TEST_CASE(OnlyWhoWasHeardIsLively) {
  BalancerSet set(kSelf);
  BOOST_TEST(set.Add(kOther, Millis(0)));
  BOOST_TEST(set.Lively(Millis(0)).empty());
  BOOST_TEST(set.Silent(Millis(0)).size() == 1U);
  BOOST_TEST(!set.Hear(kOther, false, Millis(10)));
  BOOST_TEST(set.Lively(Millis(10)).size() == 1U);
  BOOST_TEST(set.Lively(Millis(10) + BalancerSet::kLivelyFor).empty());
}

// A balancer that stops goes on forwarding for seconds. One that heard no more
// reports took every agent for lost and reset open flows.
BOOST_AUTO_TEST_CASE(ALeavingBalancerIsStillTold) {
  BalancerSet set(kSelf);
  set.Hear(kOther, true, Millis(0));
  BOOST_TEST(set.Lively(Millis(1000)).size() == 1U);
  BOOST_TEST(set.Staying(Millis(1000)).empty());
}

BOOST_AUTO_TEST_CASE(ASilentBalancerIsForgotten) {
  BalancerSet set(kSelf);
  set.Add(kOther, Millis(0));
  set.Forget(BalancerSet::kForgetAfter);
  BOOST_TEST(set.size() == 1U);
  set.Forget(BalancerSet::kForgetAfter + Millis(1));
  BOOST_TEST(set.size() == 0U);
}

}  // namespace
}  // namespace filberthollow::decision
