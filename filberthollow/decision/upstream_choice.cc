#include "filberthollow/decision/upstream_choice.h"

#include <algorithm>
#include <utility>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision {
namespace {

constexpr double kHundredths = 100.0;

// The mean of requests in progress that one open flow brings, over all options.
double BusyPerFlow(std::span<const UpstreamOption> options) {
  double busy = 0;
  double open = 0;
  for (const UpstreamOption& option : options) {
    busy += option.load.busy_mean / kHundredths;
    open += option.load.open;
  }
  return open > 0 ? busy / open : 0;
}

double ScoreOf(const UpstreamOption& option,
               double busy_per_flow,
               uint64_t data_centre) {
  double running = option.load.busy;
  double expected = option.load.open * busy_per_flow;
  double work = (running + expected) / 2 + option.placed;
  double cold = option.load.cold_ms > 0 ? kColdFactor : 1.0;
  double share = work * cold / std::max<double>(option.load.slots, 1);
  return option.data_centre == data_centre ? share : share + kRemotePenalty;
}

}  // namespace

std::optional<size_t> ChooseUpstream(std::span<const UpstreamOption> options,
                                     uint64_t data_centre,
                                     uint64_t key) {
  double busy_per_flow = BusyPerFlow(options);
  std::optional<size_t> best;
  std::pair<double, uint64_t> best_rank;
  for (size_t i = 0; i < options.size(); ++i) {
    std::pair<double, uint64_t> rank{
        ScoreOf(options[i], busy_per_flow, data_centre),
        base::HashWords({key, options[i].agent.ip, options[i].agent.port})};
    if (!best || rank < best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace filberthollow::decision
