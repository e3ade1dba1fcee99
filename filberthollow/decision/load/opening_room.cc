#include "filberthollow/decision/load/opening_room.h"

#include "filberthollow/decision/load/cold_limit.h"

namespace filberthollow::decision::load {

bool HasOpeningRoom(const UpstreamCandidate& candidate) {
  return candidate.load.openings_left == kUnlimitedOpenings ||
         candidate.load.openings_left > candidate.placed_since_load ||
         candidate.load_age > ColdLimiter::kWindow;
}

bool RemoveCandidatesWithoutRoom(std::vector<UpstreamCandidate>& candidates) {
  size_t removed = std::erase_if(candidates, [](const auto& candidate) {
    return !HasOpeningRoom(candidate);
  });
  return removed > 0 && candidates.empty();
}

}  // namespace filberthollow::decision::load
