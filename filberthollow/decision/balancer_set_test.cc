#include "filberthollow/decision/balancer_set.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace filberthollow::decision {
namespace {

using base::Address;
using base::Millis;

constexpr Address kSelf{1, 10};
constexpr Address kOther{2, 10};
constexpr uint64_t kRun = 7;

BOOST_AUTO_TEST_CASE(ItselfIsNeverAdded) {
  BalancerSet set(kSelf);
  BOOST_TEST(!set.Add(kSelf, Millis(0)));
  BOOST_TEST(!set.Hear(kSelf, kRun, false, Millis(0)));
  BOOST_TEST(set.size() == 0U);
}

BOOST_AUTO_TEST_CASE(OnlyWhoWasHeardIsLively) {
  BalancerSet set(kSelf);
  BOOST_TEST(set.Add(kOther, Millis(0)));
  BOOST_TEST(set.Lively(Millis(0)).empty());
  BOOST_TEST(set.Silent(Millis(0)).size() == 1U);
  BOOST_TEST(set.Hear(kOther, kRun, false, Millis(10)));
  BOOST_TEST(!set.Hear(kOther, kRun, false, Millis(10)));
  BOOST_TEST(set.Lively(Millis(10)).size() == 1U);
  BOOST_TEST(set.Lively(Millis(10) + BalancerSet::kLivelyFor).empty());
}

// A balancer that stops goes on forwarding for seconds. One that heard no more
// reports took every agent for lost and reset open flows.
BOOST_AUTO_TEST_CASE(ALeavingBalancerIsStillTold) {
  BalancerSet set(kSelf);
  set.Hear(kOther, kRun, true, Millis(0));
  BOOST_TEST(set.Lively(Millis(1000)).size() == 1U);
  BOOST_TEST(set.Staying(Millis(1000)).empty());
}

// A balancer that restarts at its address knows no agents; with reports a
// second apart it reset open flows whose agents it had not heard of.
BOOST_AUTO_TEST_CASE(ANewRunIsNews) {
  BalancerSet set(kSelf);
  set.Hear(kOther, kRun, false, Millis(0));
  BOOST_TEST(!set.Hear(kOther, kRun, true, Millis(1)));
  BOOST_TEST(set.Hear(kOther, kRun + 1, false, Millis(2)));
}

// In a fleet of a thousand balancers one is heard of every 50 s.
BOOST_AUTO_TEST_CASE(InALargeFleetSilenceTakesLonger) {
  BalancerSet set(kSelf);
  set.SetHelloInterval(Millis(50'000));
  set.Hear(kOther, kRun, false, Millis(0));
  set.Forget(Millis(100'000));
  BOOST_TEST(set.Lively(Millis(100'000)).size() == 1U);
  BOOST_TEST(set.Lively(Millis(150'000)).empty());
}

BOOST_AUTO_TEST_CASE(EachPeerIsToldNewsByAFewBalancers) {
  constexpr uint32_t kFleet = 50;
  constexpr Address kPeer{1000, 10};
  size_t tellers = 0;
  for (uint32_t own = 1; own <= kFleet; ++own) {
    BalancerSet set(Address{own, 10});
    for (uint32_t other = 1; other <= kFleet; ++other) {
      set.Hear({other, 10}, kRun, false, Millis(0));
    }
    tellers += set.IsTeller(kPeer, Millis(0)) ? 1 : 0;
  }
  BOOST_TEST(tellers == BalancerSet::kTellers);
}

BOOST_AUTO_TEST_CASE(ALoneBalancerTellsEverybody) {
  BOOST_TEST(BalancerSet(kSelf).IsTeller(kOther, Millis(0)));
}

BOOST_AUTO_TEST_CASE(ASilentBalancerIsForgotten) {
  BalancerSet set(kSelf);
  set.Add(kOther, Millis(0));
  set.Forget(BalancerSet::kForgetAfter);
  BOOST_TEST(set.size() == 1U);
  set.Forget(BalancerSet::kForgetAfter + Millis(1));
  BOOST_TEST(set.size() == 0U);
}

BOOST_AUTO_TEST_CASE(SilenceAndReturnAreToldOnce) {
  BalancerSet set(kSelf);
  set.Add({3, 10}, Millis(0));  // named by others, never heard
  set.Hear(kOther, kRun, false, Millis(0));
  BOOST_TEST(set.TakeSilences(Millis(100)).empty());
  Millis late = BalancerSet::kLivelyFor + Millis(1);
  BalancerSilence lost{kOther, true, late};
  BOOST_TEST((set.TakeSilences(late) == std::vector{lost}));
  BOOST_TEST(set.TakeSilences(late).empty());
  set.Hear(kOther, kRun + 1, false, late);
  BalancerSilence regained{kOther, false, Millis(2)};
  BOOST_TEST((set.TakeSilences(late + Millis(2)) == std::vector{regained}));
}

// With a thousand balancers a hello that named all took 6 KB, and the hellos of
// one balancer 120 KB a second.
BOOST_AUTO_TEST_CASE(AHelloNamesFewBalancersAndAllInTurn) {
  constexpr uint32_t kFleet = 1000;
  BalancerSet set(kSelf);
  for (uint32_t i = 0; i < kFleet; ++i) {
    set.Hear({100 + i, 10}, kRun, false, Millis(0));
  }
  std::set<Address> named;
  for (size_t turn = 0; turn <= kFleet / BalancerSet::kNamed; ++turn) {
    std::vector<Address> some = set.Named(Millis(1));
    BOOST_TEST(some.size() == BalancerSet::kNamed);
    // Had each hello its own names, a peer could get the same ones each turn.
    BOOST_TEST((set.Named(Millis(1)) == some));
    named.insert(some.begin(), some.end());
    set.NextTurn(Millis(1));
  }
  BOOST_TEST(named.size() == kFleet);
}

BOOST_AUTO_TEST_CASE(AHelloOfASmallFleetNamesAll) {
  BalancerSet set(kSelf);
  set.Hear(kOther, kRun, false, Millis(0));
  BOOST_TEST((set.Named(Millis(1)) == std::vector{kOther}));
}

}  // namespace
}  // namespace filberthollow::decision
