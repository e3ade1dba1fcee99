#include "filberthollow/decision/load/upstream_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision::load {
namespace {

constexpr double kHundredths = 100.0;
// More samples balance the load better, fewer spread a burst better.
constexpr size_t kSampledUpstreams = 2;

// Returns the mean number of requests in progress per open flow, over all
// candidates.
double InFlightPerFlow(std::span<const UpstreamCandidate> candidates) {
  double in_flight = 0;
  double open_flows = 0;
  for (const UpstreamCandidate& candidate : candidates) {
    in_flight += candidate.load.in_flight_mean / kHundredths;
    open_flows += candidate.load.open_flows;
  }
  return open_flows > 0 ? in_flight / open_flows : 0;
}

double ScoreOf(const UpstreamCandidate& candidate,
               double in_flight_per_flow,
               uint64_t data_centre) {
  double running = candidate.load.in_flight;
  double expected = candidate.load.open_flows * in_flight_per_flow;
  double work = (running + expected) / 2 + candidate.placed_since_load;
  double cold = candidate.load.cold_ms > 0 ? LeastWorkChoice::kColdFactor : 1.0;
  double work_per_slot =
      work * cold / std::max<double>(candidate.load.slots, 1);
  return candidate.data_centre == data_centre
             ? work_per_slot
             : work_per_slot + LeastWorkChoice::kRemotePenalty;
}

}  // namespace

std::optional<size_t> LeastWorkChoice::Choose(
    std::span<const UpstreamCandidate> candidates,
    const ChoiceContext& context) const {
  double in_flight_per_flow = InFlightPerFlow(candidates);
  std::optional<size_t> best;
  std::pair<double, uint64_t> best_rank;
  for (size_t i = 0; i < candidates.size(); ++i) {
    std::pair<double, uint64_t> rank{
        ScoreOf(candidates[i], in_flight_per_flow, context.data_centre),
        base::HashWords(
            {context.key, candidates[i].agent.ip, candidates[i].agent.port})};
    if (!best || rank < best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

std::optional<size_t> SampledChoice::Choose(
    std::span<const UpstreamCandidate> candidates,
    const ChoiceContext& context) const {
  if (candidates.size() <= m_samples) {
    return m_inner.Choose(candidates, context);
  }
  std::vector<size_t> indexes;
  std::vector<UpstreamCandidate> sample;
  for (uint64_t draw = 0; sample.size() < m_samples; ++draw) {
    size_t index = base::HashWords({context.key, draw}) % candidates.size();
    if (std::find(indexes.begin(), indexes.end(), index) == indexes.end()) {
      indexes.push_back(index);
      sample.push_back(candidates[index]);
    }
  }
  return indexes[*m_inner.Choose(sample, context)];
}

const UpstreamChoice& DefaultUpstreamChoice() {
  static const LeastWorkChoice least_work;
  static const SampledChoice sampled(least_work, kSampledUpstreams);
  return sampled;
}

}  // namespace filberthollow::decision::load
