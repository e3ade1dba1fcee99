#include "filberthollow/decision/membership/balancer_set.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace filberthollow::decision::membership {
namespace {

using base::Address;
using base::Millis;

constexpr Address kSelf{1, 10};
constexpr Address kOther{2, 10};
constexpr uint64_t kRun = 7;

BOOST_AUTO_TEST_CASE(OwnAddressIsNeverAdded) {
  BalancerSet set(kSelf);
  BOOST_TEST(!set.Add(kSelf, Millis(0)));
  BOOST_TEST(!set.OnHello(kSelf, kRun, false, Millis(0)));
  BOOST_TEST(set.size() == 0U);
}

// Guards against turns at the store that nobody takes: of balancers of an
// earlier release, that have stopped, or that are about to.
BOOST_AUTO_TEST_CASE(TurnCountsBalancersThatTakeTurns) {
  constexpr Address kLower{0, 10};
  constexpr Address kHigher{3, 10};
  BalancerSet set(kSelf);
  BOOST_TEST((set.Turn(Millis(0)) == StoreTurn{1, 0}));
  for (Address balancer : {kLower, kOther, kHigher}) {
    set.OnHello(balancer, kRun, false, Millis(0));
    set.SetTakesTurns(balancer, balancer != kOther);
  }
  BOOST_TEST((set.Turn(Millis(0)) == StoreTurn{3, 1}));
  set.OnHello(kHigher, kRun, true, Millis(1));
  BOOST_TEST((set.Turn(Millis(1)) == StoreTurn{2, 1}));
  set.OnHello(kLower, kRun + 1, false, Millis(2));
  BOOST_TEST((set.Turn(Millis(2)) == StoreTurn{1, 0}));
  set.SetTakesTurns(kLower, true);
  BOOST_TEST((set.Turn(Millis(2)) == StoreTurn{2, 1}));
  Millis silent = Millis(2) + BalancerSet::kMinSilenceTimeout;
  BOOST_TEST((set.Turn(silent) == StoreTurn{1, 0}));
}

BOOST_AUTO_TEST_CASE(OnlyHeardBalancersAreLive) {
  BalancerSet set(kSelf);
  BOOST_TEST(set.Add(kOther, Millis(0)));
  BOOST_TEST(set.Live(Millis(0)).empty());
  BOOST_TEST(set.Silent(Millis(0)).size() == 1U);
  BOOST_TEST(set.OnHello(kOther, kRun, false, Millis(10)));
  BOOST_TEST(!set.OnHello(kOther, kRun, false, Millis(10)));
  BOOST_TEST(set.Live(Millis(10)).size() == 1U);
  BOOST_TEST(set.Live(Millis(10) + BalancerSet::kMinSilenceTimeout).empty());
}

// A balancer that is stopping still forwards packets for several seconds. When
// it received no more reports, it considered every agent lost and reset open
// flows.
BOOST_AUTO_TEST_CASE(ALeavingBalancerIsStillLive) {
  BalancerSet set(kSelf);
  set.OnHello(kOther, kRun, true, Millis(0));
  BOOST_TEST(set.Live(Millis(1000)).size() == 1U);
  BOOST_TEST(set.LiveNotLeaving(Millis(1000)).empty());
}

// A balancer counts as a newcomer for some time after each of its starts.
BOOST_AUTO_TEST_CASE(BalancerThatHasStartedIsNewcomer) {
  BalancerSet set(kSelf);
  set.OnHello(kOther, kRun, false, Millis(0));
  Millis later = BalancerSet::kNewcomerTime;
  set.OnHello(kOther, kRun, false, later - Millis(1));
  BOOST_TEST(set.Newcomers(later - Millis(1)).size() == 1U);
  BOOST_TEST(set.Newcomers(later).empty());
  set.OnHello(kOther, kRun + 1, false, later);
  BOOST_TEST(set.Newcomers(later).size() == 1U);
}

// Guards against newcomers that are assigned to tell each other of agents that
// none of them knows.
BOOST_AUTO_TEST_CASE(BalancerIntroducesAgentsIfAllOthersAreNewcomers) {
  BalancerSet set(kSelf);
  constexpr uint32_t kNewcomers = 20;
  for (uint32_t host = 101; host < 101 + kNewcomers; ++host) {
    set.OnHello({host, 1}, kRun, false, Millis(0));
  }
  uint32_t notified = 0;
  for (base::Address newcomer : set.Newcomers(Millis(1))) {
    BOOST_TEST(set.IntroducesTo(newcomer, Millis(1)));
    notified += set.IsNotifierFor(newcomer, Millis(1)) ? 1 : 0;
  }
  BOOST_TEST(notified < kNewcomers);
  set.OnHello(kOther, kRun, false, BalancerSet::kNewcomerTime);
  BOOST_TEST(set.Newcomers(BalancerSet::kNewcomerTime).size() == 1U);
}

// A balancer restarted at the same address knows no agents. With reports one
// second apart, it reset open flows of agents that it had not heard from yet.
BOOST_AUTO_TEST_CASE(ARestartedBalancerIsReportedAsNew) {
  BalancerSet set(kSelf);
  set.OnHello(kOther, kRun, false, Millis(0));
  BOOST_TEST(!set.OnHello(kOther, kRun, true, Millis(1)));
  BOOST_TEST(set.OnHello(kOther, kRun + 1, false, Millis(2)));
}

// In a fleet of 1000 balancers, a hello arrives from each every 50 s.
BOOST_AUTO_TEST_CASE(SilenceTimeoutGrowsWithTheHelloInterval) {
  BalancerSet set(kSelf);
  set.SetHelloInterval(Millis(50'000));
  set.OnHello(kOther, kRun, false, Millis(0));
  set.Forget(Millis(100'000));
  BOOST_TEST(set.Live(Millis(100'000)).size() == 1U);
  BOOST_TEST(set.Live(Millis(150'000)).empty());
}

BOOST_AUTO_TEST_CASE(EachPeerHasAFewNotifiers) {
  constexpr uint32_t kFleet = 50;
  constexpr Address kPeer{1000, 10};
  size_t notifiers = 0;
  for (uint32_t own = 1; own <= kFleet; ++own) {
    BalancerSet set(Address{own, 10});
    for (uint32_t other = 1; other <= kFleet; ++other) {
      set.OnHello({other, 10}, kRun, false, Millis(0));
    }
    notifiers += set.IsNotifierFor(kPeer, Millis(0)) ? 1 : 0;
  }
  BOOST_TEST(notifiers == BalancerSet::kNotifiersPerPeer);
}

BOOST_AUTO_TEST_CASE(ALoneBalancerNotifiesEveryPeer) {
  BOOST_TEST(BalancerSet(kSelf).IsNotifierFor(kOther, Millis(0)));
}

BOOST_AUTO_TEST_CASE(ASilentBalancerIsForgottenAfterATimeout) {
  BalancerSet set(kSelf);
  set.Add(kOther, Millis(0));
  set.Forget(BalancerSet::kMinForgetTimeout);
  BOOST_TEST(set.size() == 1U);
  set.Forget(BalancerSet::kMinForgetTimeout + Millis(1));
  BOOST_TEST(set.size() == 0U);
}

BOOST_AUTO_TEST_CASE(SilenceAndReturnAreReportedOnce) {
  BalancerSet set(kSelf);
  set.Add({3, 10}, Millis(0));  // advertised by others, never heard
  set.OnHello(kOther, kRun, false, Millis(0));
  BOOST_TEST(set.TakeLivenessChanges(Millis(100)).empty());
  Millis late = BalancerSet::kMinSilenceTimeout + Millis(1);
  BalancerLivenessChange lost{kOther, true, late};
  BOOST_TEST((set.TakeLivenessChanges(late) == std::vector{lost}));
  BOOST_TEST(set.TakeLivenessChanges(late).empty());
  set.OnHello(kOther, kRun + 1, false, late);
  BalancerLivenessChange regained{kOther, false, Millis(2)};
  BOOST_TEST(
      (set.TakeLivenessChanges(late + Millis(2)) == std::vector{regained}));
}

// With 1000 balancers, a hello that advertised all of them took 6 KB, and the
// hellos of one balancer 120 KB per second.
BOOST_AUTO_TEST_CASE(HellosAdvertiseAllBalancersInBatches) {
  constexpr uint32_t kFleet = 1000;
  BalancerSet set(kSelf);
  for (uint32_t i = 0; i < kFleet; ++i) {
    set.OnHello({100 + i, 10}, kRun, false, Millis(0));
  }
  std::set<Address> advertised;
  for (size_t round = 0; round <= kFleet / BalancerSet::kMaxAdvertised;
       ++round) {
    std::vector<Address> batch = set.Advertised(kOther, Millis(1));
    BOOST_TEST(batch.size() == BalancerSet::kMaxAdvertised);
    // The batch must not change between the hellos of a round. Otherwise a peer
    // could receive the same batch in every round.
    BOOST_TEST((set.Advertised(kOther, Millis(1)) == batch));
    advertised.insert(batch.begin(), batch.end());
    set.AdvanceAdvertised();
  }
  BOOST_TEST(advertised.size() == kFleet);
}

BOOST_AUTO_TEST_CASE(AHelloOfASmallFleetAdvertisesAll) {
  BalancerSet set(kSelf);
  set.OnHello(kOther, kRun, false, Millis(0));
  BOOST_TEST((set.Advertised({3, 10}, Millis(1)) == std::vector{kOther}));
}

// Returns the number of exchanges after which an agent that joins knows all
// balancers, if it reports to those that it knows and each answers with a
// hello.
size_t ExchangesUntilAgentKnowsAll(uint32_t fleet) {
  constexpr uint32_t kSeeds = 3;
  constexpr size_t kMaxExchanges = 100;
  constexpr Address kAgent{5, 20};
  std::vector<Address> all;
  for (uint32_t i = 0; i < fleet; ++i) {
    all.push_back({100 + i, 10});
  }
  std::set<Address> known(all.begin(), all.begin() + kSeeds);
  std::set<Address> answered;
  size_t exchanges = 0;
  while (known.size() < fleet && exchanges < kMaxExchanges) {
    ++exchanges;
    for (Address balancer : std::set<Address>(known)) {
      if (!answered.insert(balancer).second) {
        continue;
      }
      BalancerSet set(balancer);
      for (Address other : all) {
        set.OnHello(other, kRun, false, Millis(0));
      }
      std::vector<Address> named = set.Advertised(kAgent, Millis(1));
      known.insert(named.begin(), named.end());
    }
  }
  return exchanges;
}

// Guards against an agent that joins a fleet of 69 balancers and hears the same
// 16 names from each: the other balancers did not know it for many seconds, and
// reset its flows.
BOOST_AUTO_TEST_CASE(JoiningAgentKnowsAllBalancersAfterAFewExchanges) {
  BOOST_TEST(ExchangesUntilAgentKnowsAll(4) == 1U);
  BOOST_TEST(ExchangesUntilAgentKnowsAll(69) <= 3U);
  BOOST_TEST(ExchangesUntilAgentKnowsAll(300) <= 4U);
  BOOST_TEST(ExchangesUntilAgentKnowsAll(1000) <= 4U);
}

}  // namespace
}  // namespace filberthollow::decision::membership
