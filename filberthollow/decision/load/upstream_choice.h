// Chooses the upstream that is offered a new pass-through flow.
//
// The strategy of the product is LocalFirstChoice, which compares a few sampled
// upstreams by LeastWorkChoice. They answer these load patterns: many flows
// that arrive between two load reports (they must not all go to the upstream
// that was idle in the last one), upstreams that are slow after their start,
// flows that are open but idle, upstreams in several data centres, and
// upstreams of uneven speed.
//
//   std::optional<size_t> best = LeastWorkChoice().Choose(
//       candidates, {own_data_centre, key, UsualWorkUs(candidates)});
#ifndef FILBERTHOLLOW_LOAD_UPSTREAM_CHOICE_H_
#define FILBERTHOLLOW_LOAD_UPSTREAM_CHOICE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

#include "filberthollow/base/address.h"
#include "filberthollow/decision/load/upstream_candidate.h"
#include "filberthollow/decision/load/work_factor.h"

namespace filberthollow::decision::load {

// ChoiceContext holds what a choice depends on besides the candidates.
struct ChoiceContext {
  uint64_t data_centre = 0;  // of the balancer
  // Differs by flow. Breaks ties, so that balancers do not all choose the same
  // upstream.
  uint64_t key = 0;
  // UsualWorkUs() of all candidates of the service, since the few that a
  // strategy samples do not show what is usual; 0: unknown.
  double usual_work_us = 0;
  friend bool operator==(const ChoiceContext&, const ChoiceContext&) = default;
};

// Returns the rank of an upstream for the flow with this key. The upstreams
// with the lowest ranks are considered first for the flow. Since the rank
// depends on nothing else (rendezvous hashing, Thaler and Ravishankar, 1998),
// every balancer knows where a flow probably is, and a change of one upstream
// moves no other one.
uint64_t UpstreamRank(uint64_t key, base::Address agent);

// UpstreamChoice is a strategy object without state that changes.
class UpstreamChoice {
 public:
  virtual ~UpstreamChoice() = default;
  // Choose returns the index of the best candidate, or nullopt if there are no
  // candidates.
  virtual std::optional<size_t> Choose(
      std::span<const UpstreamCandidate> candidates,
      const ChoiceContext& context) const = 0;
};

// LeastWorkChoice chooses the upstream with the least expected work per slot:
// the mean of the requests in progress and the requests expected from the open
// flows, plus the flows that this balancer has placed on the upstream since its
// load was last reported, times its WorkFactor. An upstream in another data
// centre gets a penalty, since traffic between data centres has a cost.
class LeastWorkChoice final : public UpstreamChoice {
 public:
  // Added to the expected work per slot of an upstream in another data centre.
  // Without it, two thirds of all bytes would cross between three data centres;
  // with a far larger value, queues would grow in the own data centre before
  // flows are placed in another.
  static constexpr double kRemotePenalty = 0.25;
  // How many times slower an upstream works just after its start.
  static constexpr double kColdFactor = 1.6;

  // `work_factor` must outlive this object.
  explicit LeastWorkChoice(const WorkFactor& work_factor = DefaultWorkFactor())
      : m_work_factor(work_factor) {}

  std::optional<size_t> Choose(std::span<const UpstreamCandidate> candidates,
                               const ChoiceContext& context) const override;

 private:
  const WorkFactor& m_work_factor;
};

// SampledChoice lets another strategy choose among a few candidates, which are
// drawn by the key of the flow. Balancers that know the same loads would else
// all send their next flows to the same upstream until its next load report.
// This answers the load patterns of an overload, of many balancers and of an
// upstream that comes back idle.
class SampledChoice final : public UpstreamChoice {
 public:
  // `inner` must outlive this object. `samples` must be positive.
  SampledChoice(const UpstreamChoice& inner, size_t samples)
      : m_inner(inner), m_samples(samples) {}

  std::optional<size_t> Choose(std::span<const UpstreamCandidate> candidates,
                               const ChoiceContext& context) const override;

 private:
  const UpstreamChoice& m_inner;
  const size_t m_samples;
};

// LocalFirstChoice lets another strategy choose among a few candidates, those
// with the lowest ranks, most of them in the balancer's own data centre. Of
// draws among all upstreams, fewer are local the more data centres there are:
// with five, both of two draws are remote for 64% of the flows. One draw from
// the other data centres lets flows leave the own one as soon as its upstreams
// are busier by LeastWorkChoice::kRemotePenalty. This answers the load patterns
// of callers or upstreams that are spread unevenly over data centres, and of a
// data centre whose upstreams are cold.
class LocalFirstChoice final : public UpstreamChoice {
 public:
  // Candidates drawn in the own data centre; drawn in the others if there are
  // none in the own one.
  static constexpr size_t kLocalSamples = 2;
  // Candidates drawn in the other data centres.
  static constexpr size_t kRemoteSamples = 1;

  // `inner` must outlive this object.
  explicit LocalFirstChoice(const UpstreamChoice& inner) : m_inner(inner) {}

  std::optional<size_t> Choose(std::span<const UpstreamCandidate> candidates,
                               const ChoiceContext& context) const override;

 private:
  const UpstreamChoice& m_inner;
};

// Returns the strategy that balancers use.
const UpstreamChoice& DefaultUpstreamChoice();

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_LOAD_UPSTREAM_CHOICE_H_
