// Decides which upstreams a balancer need not offer a new flow to, because they
// are cold and have no room for it according to their last load. Their agents
// would refuse it (load::ColdLimiter), which costs a caller a round trip. The
// load pattern is a fleet in which many upstreams are cold at once.
//
//   std::vector<UpstreamCandidate> candidates = ...;
//   bool no_room = RemoveCandidatesWithoutRoom(candidates);
#ifndef FILBERTHOLLOW_DECISION_LOAD_OPENING_ROOM_H_
#define FILBERTHOLLOW_DECISION_LOAD_OPENING_ROOM_H_

#include <vector>

#include "filberthollow/decision/load/upstream_choice.h"

namespace filberthollow::decision::load {

// Returns whether the upstream may have room for one more new flow. A load
// older than ColdLimiter::kWindow shows nothing: all openings that it counted
// are out of the window. In a large fleet the next report comes much later than
// that.
bool HasOpeningRoom(const UpstreamCandidate& candidate);

// Removes the candidates without room. Returns whether there were candidates
// and none is left.
bool RemoveCandidatesWithoutRoom(std::vector<UpstreamCandidate>& candidates);

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_OPENING_ROOM_H_
