#include "filberthollow/decision/flows/placement.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace filberthollow::decision::flows {
namespace {

std::vector<Candidate> Candidates(uint32_t count) {
  std::vector<Candidate> candidates;
  for (uint32_t i = 1; i <= count; ++i) {
    candidates.push_back({.id = base::TargetId{i * 1000},
                          .incarnation = base::Incarnation{i},
                          .agent = {i, 1},
                          .weight = 100});
  }
  return candidates;
}

// Stiklotava requires that at most 1.1/n of the flows move when one of n
// targets leaves or joins.
RC_BOOST_PROP(RemovingATargetMovesOnlyItsOwnFlows, (uint32_t seed)) {
  constexpr uint32_t kTargets = 7;
  constexpr uint32_t kFlows = 20'000;
  const PlacementPolicy& policy = PolicyFor(PlacementKind::kRendezvous);
  std::vector<Candidate> all = Candidates(kTargets);
  std::vector<Candidate> fewer = all;
  fewer.erase(fewer.begin() + seed % kTargets);
  uint32_t moved = 0;
  for (uint32_t i = 0; i < kFlows; ++i) {
    uint64_t key = base::HashWords({seed, i});
    const Candidate* before = policy.Place(key, all, {});
    const Candidate* after = policy.Place(key, fewer, {});
    bool stays = before->id == after->id;
    moved += stays ? 0 : 1;
    RC_ASSERT(stays || before->id == all[seed % kTargets].id);
  }
  RC_ASSERT(moved <= kFlows * 11 / 10 / kTargets);
}

BOOST_AUTO_TEST_CASE(WeightsDetermineTheSharesOfFlows) {
  std::vector<Candidate> candidates = Candidates(3);
  candidates[0].weight = 200;
  candidates[2].weight = 0;
  std::map<base::TargetId, uint32_t> counts;
  for (uint64_t i = 0; i < 30'000; ++i) {
    ++counts[PolicyFor(PlacementKind::kRendezvous)
                 .Place(base::HashWords({i}), candidates, {})
                 ->id];
  }
  BOOST_TEST(counts.size() == 2u);
  BOOST_TEST(counts[candidates[0].id] > 19'500u);
  BOOST_TEST(counts[candidates[0].id] < 20'500u);
}

BOOST_AUTO_TEST_CASE(AnAvoidedTargetIsTakenOnlyIfItIsTheLast) {
  std::vector<Candidate> two = Candidates(2);
  const PlacementPolicy& policy = PolicyFor(PlacementKind::kRendezvous);
  for (uint64_t key = 0; key < 100; ++key) {
    BOOST_TEST((policy.Place(key, two, base::Incarnation{1})->incarnation ==
                base::Incarnation{2}));
  }
  two.pop_back();
  BOOST_TEST((policy.Place(5, two, base::Incarnation{1}) != nullptr));
  BOOST_TEST((policy.Place(5, {}, {}) == nullptr));
}

// The Permit Office requires a peak-to-mean ratio of new flows of at most 1.25
// with 7 targets and loads that are reported one second late.
BOOST_AUTO_TEST_CASE(TwoChoicePlacementBalancesABurstOfNewFlows) {
  constexpr uint32_t kFlows = 2100;
  constexpr uint32_t kReportEvery = 25;  // flows placed per load report
  auto peak_over_mean = [](PlacementKind kind) {
    std::vector<Candidate> candidates = Candidates(7);
    std::vector<uint32_t> held(candidates.size(), 0);
    for (uint64_t i = 0; i < kFlows; ++i) {
      if (i % kReportEvery == 0) {
        for (size_t t = 0; t < held.size(); ++t) {
          candidates[t].reported_load = held[t];
        }
      }
      const Candidate* chosen =
          PolicyFor(kind).Place(base::HashWords({i, 5}), candidates, {});
      ++held[static_cast<size_t>(chosen - candidates.data())];
    }
    return static_cast<double>(*std::max_element(held.begin(), held.end())) *
           7 / kFlows;
  };
  double balanced = peak_over_mean(PlacementKind::kTwoChoice);
  double stable = peak_over_mean(PlacementKind::kRendezvous);
  BOOST_TEST(balanced <= 1.25);
  BOOST_TEST(balanced < stable);
}

BOOST_AUTO_TEST_CASE(MaglevFillsItsTableEvenly) {
  MaglevTable table(Candidates(7), 65'537);
  std::vector<uint32_t> counts(7, 0);
  for (uint64_t key = 0; key < 65'537; ++key) {
    ++counts[table.Lookup(key)];
  }
  auto [least, most] = std::minmax_element(counts.begin(), counts.end());
  BOOST_TEST(*most - *least <= 1u);
}

}  // namespace
}  // namespace filberthollow::decision::flows
