#include "filberthollow/decision/load/opening_room.h"

#include <boost/test/unit_test.hpp>

#include "filberthollow/decision/load/cold_limit.h"

namespace filberthollow::decision::load {
namespace {

using base::Millis;

UpstreamCandidate Candidate(uint16_t openings_left,
                            uint32_t placed,
                            Millis load_age = Millis(0)) {
  return {.load = {.openings_left = openings_left},
          .placed_since_load = placed,
          .load_age = load_age};
}

BOOST_AUTO_TEST_CASE(FlowsPlacedSinceTheLoadTakeRoom) {
  BOOST_TEST(HasOpeningRoom(Candidate(3, 2)));
  BOOST_TEST(!HasOpeningRoom(Candidate(3, 3)));
  BOOST_TEST(!HasOpeningRoom(Candidate(0, 0)));
}

// Guards against a limit where none is configured.
BOOST_AUTO_TEST_CASE(UpstreamWithoutLimitAlwaysHasRoom) {
  BOOST_TEST(HasOpeningRoom(Candidate(kUnlimitedOpenings, 1'000'000)));
}

// Guards against a cold upstream that stays idle until its next report, which
// comes after many seconds in a large fleet.
BOOST_AUTO_TEST_CASE(OldLoadShowsNoLackOfRoom) {
  BOOST_TEST(!HasOpeningRoom(Candidate(0, 0, ColdLimiter::kWindow)));
  BOOST_TEST(HasOpeningRoom(Candidate(0, 9, ColdLimiter::kWindow + Millis(1))));
}

BOOST_AUTO_TEST_CASE(OnlyCandidatesWithoutRoomAreRemoved) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(0, 0), Candidate(kUnlimitedOpenings, 0), Candidate(2, 1)};
  BOOST_TEST(!RemoveCandidatesWithoutRoom(candidates));
  BOOST_TEST(candidates.size() == 2U);
  candidates = {Candidate(0, 0), Candidate(2, 2)};
  BOOST_TEST(RemoveCandidatesWithoutRoom(candidates));
  BOOST_TEST(!RemoveCandidatesWithoutRoom(candidates));  // none from the start
}

}  // namespace
}  // namespace filberthollow::decision::load
