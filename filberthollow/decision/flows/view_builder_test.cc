#include "filberthollow/decision/flows/view_builder.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::flows {
namespace {

const base::ServiceId kService = base::ServiceIdOf("desk");

membership::MemberRecord Target(uint64_t id, membership::MemberState state) {
  return {.id = membership::MemberId{id},
          .kind = membership::MemberKind::kTarget,
          .state = state,
          .incarnation = base::Incarnation{id * 10},
          .sequence = 1,
          .service = kService,
          .address = {static_cast<uint32_t>(id), 1},
          .weight = 100};
}

settings::Tree ServiceTree() {
  settings::Tree tree;
  tree.services["desk"].overrides.placement = 1;
  return tree;
}

// Builds the view of one service with `ready` ready and `dead` dead targets.
TargetView ViewOf(uint64_t ready, uint64_t dead) {
  membership::Directory directory;
  for (uint64_t id = 1; id <= ready + dead; ++id) {
    directory.Merge(Target(id, id <= ready ? membership::MemberState::kReady
                                           : membership::MemberState::kDead));
  }
  return BuildView(directory, ServiceTree(), {});
}

BOOST_AUTO_TEST_CASE(ADeadTargetIsNoCandidateAndItsIncarnationHasEnded) {
  TargetView view = ViewOf(3, 1);
  BOOST_TEST(view.services.at(kService).candidates.size() == 3u);
  BOOST_TEST(view.ended_incarnations.contains(base::Incarnation{40}));
}

// Guards against taking nearly all targets out of service when failure
// detection is wrong about most of them at once.
BOOST_AUTO_TEST_CASE(DeadTargetsStayCandidatesAboveThePanicThreshold) {
  TargetView view = ViewOf(3, 4);
  BOOST_TEST(view.services.at(kService).candidates.size() == 7u);
  BOOST_TEST(view.ended_incarnations.empty());
}

BOOST_AUTO_TEST_CASE(OnlyReadyTargetsOfDeclaredServicesAreCandidates) {
  membership::Directory directory;
  directory.Merge(Target(1, membership::MemberState::kDraining));
  directory.Merge(Target(2, membership::MemberState::kStarting));
  directory.Merge(Target(3, membership::MemberState::kLeft));
  membership::MemberRecord other = Target(4, membership::MemberState::kReady);
  other.service = base::ServiceIdOf("undeclared");
  directory.Merge(other);
  TargetView view = BuildView(directory, ServiceTree(), {});
  BOOST_TEST(view.services.size() == 1u);
  BOOST_TEST(view.services.at(kService).candidates.empty());
  BOOST_TEST(
      (view.services.at(kService).placement == PlacementKind::kTwoChoice));
  // Flows of a draining target continue; those of a target that left end.
  BOOST_TEST(!view.ended_incarnations.contains(base::Incarnation{10}));
  BOOST_TEST(view.ended_incarnations.contains(base::Incarnation{30}));
}

BOOST_AUTO_TEST_CASE(LatestLoadOverridesTheDirectoryRecord) {
  membership::Directory directory;
  directory.Merge(Target(1, membership::MemberState::kReady));
  TargetView view =
      BuildView(directory, ServiceTree(), {{membership::MemberId{1}, 9}});
  BOOST_TEST(view.services.at(kService).candidates[0].reported_load == 9u);
}

}  // namespace
}  // namespace filberthollow::decision::flows
