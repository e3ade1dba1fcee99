#include "filberthollow/lab/optimum.h"

#include <algorithm>
#include <cmath>

namespace filberthollow::lab {
namespace {

constexpr int kIterations = 100;
// Limits the step where nearly nothing can be done, as in an outage.
constexpr double kMaxExcess = 10;
// Iterations between two evaluations of the mean of the prices.
constexpr int kMeanInterval = 10;
// Size of the first step of a price, relative to the mean worth of a unit of
// work.
constexpr double kFirstStep = 0.1;

size_t BucketOf(base::Millis time, size_t buckets) {
  auto bucket =
      static_cast<size_t>(std::max<int64_t>(time.count(), 0) / kBucket.count());
  return std::min(bucket, buckets - 1);
}

// Returns the bucket with the lowest price from `first` to `last`.
size_t Cheapest(const std::vector<double>& prices, size_t first, size_t last) {
  size_t cheapest = first;
  for (size_t bucket = first + 1; bucket <= last; ++bucket) {
    cheapest = prices[bucket] < prices[cheapest] ? bucket : cheapest;
  }
  return cheapest;
}

// Evaluates the bound for `prices` and adds the work that is bought at them to
// `demand`.
double Evaluate(const OfferedLoad& load,
                const std::vector<double>& prices,
                std::vector<double>& demand) {
  double bound = 0;
  for (size_t i = 0; i < prices.size(); ++i) {
    bound += prices[i] * load.capacity_ms[i];
  }
  for (const OfferedRequest& request : load.requests) {
    size_t first = BucketOf(request.from, prices.size());
    size_t in_goal = Cheapest(
        prices, first, std::max(first, BucketOf(request.goal, prices.size())));
    size_t in_limit = Cheapest(
        prices, first, std::max(first, BucketOf(request.limit, prices.size())));
    double gain = request.worth - request.work_ms * prices[in_goal];
    double late_gain = request.late_worth - request.work_ms * prices[in_limit];
    if (std::max(gain, late_gain) > 0) {
      bound += std::max(gain, late_gain);
      demand[gain >= late_gain ? in_goal : in_limit] += request.work_ms;
    }
  }
  return bound;
}

}  // namespace

double UpperBound(const OfferedLoad& load) {
  double worth = 0;
  double work = 0;
  for (const OfferedRequest& request : load.requests) {
    worth += request.worth;
    work += request.work_ms;
  }
  if (load.capacity_ms.empty() || work <= 0) {
    return worth;
  }
  std::vector<double> prices(load.capacity_ms.size(), 0);
  std::vector<double> mean(prices.size(), 0);
  double best = worth;
  for (int i = 1; i <= kIterations; ++i) {
    std::vector<double> demand(prices.size(), 0);
    best = std::min(best, Evaluate(load, prices, demand));
    double step = kFirstStep * worth / work / std::sqrt(i);
    for (size_t bucket = 0; bucket < prices.size(); ++bucket) {
      double capacity = std::max(load.capacity_ms[bucket], 1.0);
      double excess = (demand[bucket] - load.capacity_ms[bucket]) / capacity;
      prices[bucket] =
          std::max(0.0, prices[bucket] + step * std::min(excess, kMaxExcess));
    }
    // The mean of the latest prices converges where the prices oscillate.
    double weight = 2.0 / (i + 1);
    for (size_t bucket = 0; bucket < prices.size(); ++bucket) {
      mean[bucket] += weight * (prices[bucket] - mean[bucket]);
    }
    if (i % kMeanInterval == 0) {
      std::vector<double> unused(prices.size(), 0);
      best = std::min(best, Evaluate(load, mean, unused));
    }
  }
  return best;
}

}  // namespace filberthollow::lab
