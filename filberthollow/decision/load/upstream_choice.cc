#include "filberthollow/decision/load/upstream_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision::load {
namespace {

constexpr double kHundredths = 100.0;
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
               double work_factor,
               uint64_t data_centre) {
  double running = candidate.load.in_flight;
  double expected = candidate.load.open_flows * in_flight_per_flow;
  double work = (running + expected) / 2 + candidate.placed_since_load;
  double cold = candidate.load.cold_ms > 0 ? LeastWorkChoice::kColdFactor : 1.0;
  double work_per_slot =
      work * cold * work_factor / std::max<double>(candidate.load.slots, 1);
  return candidate.data_centre == data_centre
             ? work_per_slot
             : work_per_slot + LeastWorkChoice::kRemotePenalty;
}

// Appends the `count` indexes whose candidates have the lowest ranks to
// `drawn`.
void DrawLowestRanks(std::vector<size_t> indexes,
                     size_t count,
                     std::span<const UpstreamCandidate> candidates,
                     uint64_t key,
                     std::vector<size_t>& drawn) {
  auto end =
      indexes.begin() + static_cast<ptrdiff_t>(std::min(count, indexes.size()));
  std::partial_sort(indexes.begin(), end, indexes.end(),
                    [&](size_t left, size_t right) {
                      return UpstreamRank(key, candidates[left].agent) <
                             UpstreamRank(key, candidates[right].agent);
                    });
  drawn.insert(drawn.end(), indexes.begin(), end);
}

// Lets `choice` choose among the candidates with the given indexes.
std::optional<size_t> ChooseAmong(const UpstreamChoice& choice,
                                  std::span<const UpstreamCandidate> candidates,
                                  const std::vector<size_t>& indexes,
                                  const ChoiceContext& context) {
  std::vector<UpstreamCandidate> sample;
  sample.reserve(indexes.size());
  for (size_t index : indexes) {
    sample.push_back(candidates[index]);
  }
  std::optional<size_t> best = choice.Choose(sample, context);
  return best ? std::optional(indexes[*best]) : std::nullopt;
}

}  // namespace

uint64_t UpstreamRank(uint64_t key, base::Address agent) {
  return base::HashWords({key, agent.ip, agent.port});
}

std::optional<size_t> LeastWorkChoice::Choose(
    std::span<const UpstreamCandidate> candidates,
    const ChoiceContext& context) const {
  double in_flight_per_flow = InFlightPerFlow(candidates);
  std::optional<size_t> best;
  std::pair<double, uint64_t> best_rank;
  for (size_t i = 0; i < candidates.size(); ++i) {
    double work_factor = m_work_factor.Of(candidates[i], context.usual_work_us);
    std::pair<double, uint64_t> rank{
        ScoreOf(candidates[i], in_flight_per_flow, work_factor,
                context.data_centre),
        UpstreamRank(context.key, candidates[i].agent)};
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
  std::vector<size_t> drawn;
  for (uint64_t draw = 0; drawn.size() < m_samples; ++draw) {
    size_t index = base::HashWords({context.key, draw}) % candidates.size();
    if (std::find(drawn.begin(), drawn.end(), index) == drawn.end()) {
      drawn.push_back(index);
    }
  }
  return ChooseAmong(m_inner, candidates, drawn, context);
}

std::optional<size_t> LocalFirstChoice::Choose(
    std::span<const UpstreamCandidate> candidates,
    const ChoiceContext& context) const {
  std::vector<size_t> local;
  std::vector<size_t> remote;
  for (size_t i = 0; i < candidates.size(); ++i) {
    bool is_local = candidates[i].data_centre == context.data_centre;
    (is_local ? local : remote).push_back(i);
  }
  std::vector<size_t> drawn;
  size_t remote_samples = local.empty() ? kLocalSamples : kRemoteSamples;
  DrawLowestRanks(std::move(local), kLocalSamples, candidates, context.key,
                  drawn);
  DrawLowestRanks(std::move(remote), remote_samples, candidates, context.key,
                  drawn);
  return ChooseAmong(m_inner, candidates, drawn, context);
}

const UpstreamChoice& DefaultUpstreamChoice() {
  static const LeastWorkChoice least_work;
  static const LocalFirstChoice local_first(least_work);
  return local_first;
}

}  // namespace filberthollow::decision::load
