#include "filberthollow/decision/flows/placement.h"

#include <array>
#include <cmath>
#include <cstddef>

namespace filberthollow::decision::flows {
namespace {

constexpr uint32_t kFreeSlot = UINT32_MAX;

// Mixes two words so that each bit of the result depends on every input bit
// (the finalizer of MurmurHash3, by Appleby).
uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t h = a ^ (b * 0x9e3779b97f4a7c15ULL);
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;
  h = (h ^ (h >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return h ^ (h >> 33);
}

// Returns the weighted rendezvous score of a target for a key.
double Score(uint64_t key, const Candidate& candidate) {
  constexpr double kUnit = 1.0 / (uint64_t{1} << 53);
  uint64_t hash = Mix(key, base::Value(candidate.id));
  double uniform = (static_cast<double>(hash >> 11) + 0.5) * kUnit;
  return -static_cast<double>(candidate.weight) / std::log(uniform);
}

// The two candidates with the highest scores; null if there are fewer.
struct TopTwo {
  const Candidate* first = nullptr;
  const Candidate* second = nullptr;
};

TopTwo FindTopTwo(uint64_t key,
                  std::span<const Candidate> candidates,
                  base::Incarnation avoid) {
  TopTwo top;
  double first_score = 0;
  double second_score = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.weight == 0 || candidate.incarnation == avoid) {
      continue;
    }
    double score = Score(key, candidate);
    if (top.first == nullptr || score > first_score) {
      top.second = top.first;
      second_score = first_score;
      top.first = &candidate;
      first_score = score;
    } else if (top.second == nullptr || score > second_score) {
      top.second = &candidate;
      second_score = score;
    }
  }
  return top;
}

// Like FindTopTwo(), but considers the target to avoid if there is no other.
TopTwo TopTwoOrAvoided(uint64_t key,
                       std::span<const Candidate> candidates,
                       base::Incarnation avoid) {
  TopTwo top = FindTopTwo(key, candidates, avoid);
  if (top.first == nullptr) {
    top = FindTopTwo(key, candidates, base::Incarnation{});
  }
  return top;
}

}  // namespace

const Candidate* RendezvousPlacement::Place(
    uint64_t key,
    std::span<const Candidate> candidates,
    base::Incarnation avoid) const {
  return TopTwoOrAvoided(key, candidates, avoid).first;
}

const Candidate* TwoChoicePlacement::Place(
    uint64_t key,
    std::span<const Candidate> candidates,
    base::Incarnation avoid) const {
  TopTwo top = TopTwoOrAvoided(key, candidates, avoid);
  if (top.second == nullptr) {
    return top.first;
  }
  uint64_t first_load = uint64_t{top.first->reported_load} * top.second->weight;
  uint64_t second_load =
      uint64_t{top.second->reported_load} * top.first->weight;
  return second_load < first_load ? top.second : top.first;
}

const PlacementPolicy& PolicyFor(PlacementKind kind) {
  static const RendezvousPlacement rendezvous;
  static const TwoChoicePlacement two_choice;
  static const std::array<const PlacementPolicy*, 2> policies{&rendezvous,
                                                              &two_choice};
  return *policies.at(static_cast<size_t>(kind));
}

MaglevTable::MaglevTable(std::span<const Candidate> candidates, uint32_t size)
    : m_slots(size, kFreeSlot) {
  std::vector<uint32_t> next(candidates.size(), 0);
  uint32_t filled = 0;
  while (filled < size) {
    for (uint32_t i = 0; i < candidates.size() && filled < size; ++i) {
      uint64_t id = base::Value(candidates[i].id);
      uint64_t offset = Mix(1, id) % size;
      uint64_t skip = Mix(2, id) % (size - 1) + 1;
      uint64_t slot = 0;
      do {
        slot = (offset + skip * next[i]++) % size;
      } while (m_slots[slot] != kFreeSlot);
      m_slots[slot] = i;
      ++filled;
    }
  }
}

}  // namespace filberthollow::decision::flows
