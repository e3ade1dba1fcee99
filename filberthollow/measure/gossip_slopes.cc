// Measurements of gossip among balancers, over simulated links.
#include <algorithm>
#include <string>

#include "filberthollow/measure/fixtures.h"
#include "filberthollow/measure/slopes.h"
#include "filberthollow/testing/fake_links.h"

namespace filberthollow::measure {

using internal::kSeed;
using internal::TargetRecord;

Series IdleGossipBytes(const Sizes& balancers) {
  Series series{"idle_gossip", "balancers", "bytes/s a balancer", {}};
  for (uint32_t size : balancers) {
    testing::FakeLinks links(size, 0, kSeed);
    constexpr uint32_t kWarmUpRounds = 60;
    constexpr uint32_t kMeasuredRounds = 40;
    links.Run(kWarmUpRounds);
    links.TakeTraffic();
    links.Run(kMeasuredRounds);
    double seconds =
        static_cast<double>(
            (decision::membership::Gossip::kRoundInterval * kMeasuredRounds)
                .count()) /
        1000;
    series.points.push_back(
        {static_cast<double>(size),
         static_cast<double>(links.TakeTraffic().bytes) / size / seconds});
  }
  return series;
}

Series ChangeGossipBytes(const Sizes& balancers) {
  Series series{"change_gossip", "balancers", "bytes a balancer a change", {}};
  for (uint32_t size : balancers) {
    testing::FakeLinks links(size, 0, kSeed);
    constexpr uint32_t kWarmUpRounds = 60;
    constexpr uint32_t kMeasuredRounds = 40;
    links.Run(kWarmUpRounds);
    links.TakeTraffic();
    links.Run(kMeasuredRounds);
    auto idle = static_cast<double>(links.TakeTraffic().bytes);
    links.node(0).Learn(TargetRecord(1));
    links.Run(kMeasuredRounds);
    auto busy = static_cast<double>(links.TakeTraffic().bytes);
    series.points.push_back({static_cast<double>(size), (busy - idle) / size});
  }
  return series;
}

namespace {

// Cost of a burst of changes, averaged over the balancers.
struct Burst {
  double bytes = 0;      // sent by a balancer in the whole burst
  double peak_rate = 0;  // bytes/s sent by a balancer in the busiest round
  double rounds = 0;     // until every balancer holds every change
};

bool HaveConverged(testing::FakeLinks& links) {
  for (size_t i = 1; i < links.size(); ++i) {
    if (links.node(i).directory().group_digests() !=
        links.node(0).directory().group_digests()) {
      return false;
    }
  }
  return true;
}

Burst MeasureBurst(uint32_t changes) {
  constexpr size_t kBalancers = 128;
  constexpr uint32_t kMaxRounds = 400;
  testing::FakeLinks links(kBalancers, 0, kSeed);
  links.Run(40);
  for (uint32_t i = 0; i < changes; ++i) {
    links.node(i % kBalancers).Learn(TargetRecord(i));
  }
  Burst burst;
  while (burst.rounds < kMaxRounds && !HaveConverged(links)) {
    links.TakeTraffic();
    links.Run(1);
    double bytes = static_cast<double>(links.TakeTraffic().bytes) / kBalancers;
    double rate = bytes * 1000 /
                  static_cast<double>(
                      decision::membership::Gossip::kRoundInterval.count());
    burst.bytes += bytes;
    burst.peak_rate = std::max(burst.peak_rate, rate);
    ++burst.rounds;
  }
  return burst;
}

Series BurstSeries(const char* name,
                   const char* unit,
                   const Sizes& changes,
                   double Burst::*value) {
  Series series{name, "changes at once", unit, {}};
  for (uint32_t size : changes) {
    series.points.push_back(
        {static_cast<double>(size), MeasureBurst(size).*value});
  }
  return series;
}

}  // namespace

Series BurstGossipBytes(const Sizes& changes) {
  return BurstSeries("burst_gossip", "bytes a balancer", changes,
                     &Burst::bytes);
}

Series BurstPeakRate(const Sizes& changes) {
  return BurstSeries("burst_peak_rate", "bytes/s a balancer", changes,
                     &Burst::peak_rate);
}

Series BurstRounds(const Sizes& changes) {
  return BurstSeries("burst_rounds", "rounds", changes, &Burst::rounds);
}

Series RoundsUntilConverged(const Sizes& balancers, uint32_t loss_percent) {
  Series series{"rounds_to_all_loss_" + std::to_string(loss_percent),
                "balancers",
                "rounds (worst of 5)",
                {}};
  for (uint32_t size : balancers) {
    double worst = 0;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      testing::FakeLinks links(size, loss_percent, seed);
      links.Run(40);
      links.node(0).Learn(TargetRecord(1));
      worst =
          std::max<double>(worst, links.RunUntilAllKnow(TargetRecord(1), 200));
    }
    series.points.push_back({static_cast<double>(size), worst});
  }
  return series;
}

}  // namespace filberthollow::measure
