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

// Of the requests with the lowest priority value, finds the one that arrived
// first or last.
load::QueueChoice FindByArrival(const load::QueueView& view, bool newest) {
  std::optional<load::QueueChoice> best;
  uint64_t best_number = 0;
  for (const auto& [request_class, queue] : view.classes) {
    if (queue.requests.empty()) {
      continue;
    }
    if (best && best->request_class.priority < request_class.priority) {
      break;
    }
    size_t index = newest ? queue.requests.size() - 1 : 0;
    uint64_t number = queue.requests[index].number;
    if (!best || (newest ? number > best_number : number < best_number)) {
      best = {request_class, index};
      best_number = number;
    }
  }
  return best.value_or(load::QueueChoice{});
}

// First come, first served.
class Fifo final : public load::QueueOrder {
 public:
  load::QueueChoice Choose(const load::QueueView& view) const override {
    return FindByArrival(view, false);
  }
};

// Last come, first served.
class Lifo final : public load::QueueOrder {
 public:
  load::QueueChoice Choose(const load::QueueView& view) const override {
    return FindByArrival(view, true);
  }
};

// Adaptive LIFO within each priority, which ignores routes and timeouts: the
// order of the product before AnswerableFirst.
class AdaptiveLifo final : public load::QueueOrder {
 public:
  load::QueueChoice Choose(const load::QueueView& view) const override {
    load::QueueChoice oldest = FindByArrival(view, false);
    const load::ClassQueue& queue = view.classes.at(oldest.request_class);
    return load::TakesNewest(queue.requests[oldest.index].request, view.now)
               ? FindByArrival(view, true)
               : oldest;
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
  static const AdaptiveLifo adaptive_lifo;
  static const std::array<Policy, 12> policies{{
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
      {.name = "adaptive_lifo", .order = &adaptive_lifo},
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
