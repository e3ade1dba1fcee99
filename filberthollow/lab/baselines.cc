#include "filberthollow/lab/baselines.h"

#include <algorithm>
#include <array>

#include "filberthollow/base/ids.h"

namespace filberthollow::lab {
namespace {

namespace load = decision::load;
using Candidates = std::span<const load::UpstreamCandidate>;

size_t HashedIndex(const load::ChoiceContext& context,
                   uint64_t salt,
                   size_t size) {
  return base::HashWords({context.key, salt}) % size;
}

// Chooses by a hash of the flow.
class RandomChoice final : public load::UpstreamChoice {
 public:
  std::optional<size_t> Choose(
      Candidates candidates,
      const load::ChoiceContext& context) const override {
    return candidates.empty()
               ? std::nullopt
               : std::optional(HashedIndex(context, 0, candidates.size()));
  }
};

// Chooses each candidate in turn. All balancers of a run share the turn.
class RoundRobinChoice final : public load::UpstreamChoice {
 public:
  std::optional<size_t> Choose(
      Candidates candidates,
      const load::ChoiceContext& /*context*/) const override {
    return candidates.empty() ? std::nullopt
                              : std::optional(m_next++ % candidates.size());
  }

 private:
  mutable size_t m_next = 0;
};

double RequestsPerSlot(const load::UpstreamCandidate& candidate) {
  return (candidate.load.in_flight + double{1} * candidate.placed_since_load) /
         std::max<double>(candidate.load.slots, 1);
}

// Chooses the candidate with the fewest requests per slot.
class LeastLoadedChoice final : public load::UpstreamChoice {
 public:
  std::optional<size_t> Choose(
      Candidates candidates,
      const load::ChoiceContext& context) const override {
    if (candidates.empty()) {
      return std::nullopt;
    }
    auto rank = [&](size_t i) {
      return std::pair(RequestsPerSlot(candidates[i]),
                       base::HashWords({context.key, candidates[i].agent.ip}));
    };
    size_t best = 0;
    for (size_t i = 1; i < candidates.size(); ++i) {
      best = rank(i) < rank(best) ? i : best;
    }
    return best;
  }
};

// Samples two candidates and takes the one with fewer requests per slot.
class TwoChoices final : public load::UpstreamChoice {
 public:
  std::optional<size_t> Choose(
      Candidates candidates,
      const load::ChoiceContext& context) const override {
    if (candidates.empty()) {
      return std::nullopt;
    }
    size_t first = HashedIndex(context, 1, candidates.size());
    size_t second = HashedIndex(context, 2, candidates.size());
    return RequestsPerSlot(candidates[second]) <
                   RequestsPerSlot(candidates[first])
               ? second
               : first;
  }
};

// First come, first served.
class Fifo final : public load::QueueOrder {
 public:
  bool TakesNewest(const load::QueuedRequest& /*oldest*/,
                   base::Millis /*now*/) const override {
    return false;
  }
};

// Last come, first served.
class Lifo final : public load::QueueOrder {
 public:
  bool TakesNewest(const load::QueuedRequest& /*oldest*/,
                   base::Millis /*now*/) const override {
    return true;
  }
};

}  // namespace

std::span<const Policy> AllPolicies() {
  static const RandomChoice random;
  static const RoundRobinChoice round_robin;
  static const LeastLoadedChoice least_loaded;
  static const TwoChoices two_choices;
  static const load::LeastWorkChoice least_work;
  static const load::EvenWorkFactor even;
  static const load::LeastWorkChoice even_work(even);
  static const load::LocalFirstChoice without_speed(even_work);
  static const load::SampledChoice sampled_2(least_work, 2);
  static const load::SampledChoice sampled_3(least_work, 3);
  static const Fifo fifo;
  static const Lifo lifo;
  static const std::array<Policy, 11> policies{{
      {.name = kProductPolicy},
      {.name = "random", .choice = &random},
      {.name = "round_robin", .choice = &round_robin},
      {.name = "two_choices", .choice = &two_choices},
      {.name = "least_work", .choice = &least_work},
      {.name = "sampled_2", .choice = &sampled_2},
      {.name = "sampled_3", .choice = &sampled_3},
      {.name = kWithoutSpeedPolicy, .choice = &without_speed},
      {.name = "perfect", .choice = &least_loaded, .perfect_knowledge = true},
      {.name = "fifo", .order = &fifo},
      {.name = "lifo", .order = &lifo},
  }};
  return policies;
}

const Policy* FindPolicy(std::string_view name) {
  std::span<const Policy> all = AllPolicies();
  auto found = std::find_if(all.begin(), all.end(),
                            [name](const Policy& p) { return p.name == name; });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace filberthollow::lab
