#include "filberthollow/decision/membership/gossip.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <memory>

#include "filberthollow/testing/fake_links.h"

namespace filberthollow::decision::membership {
namespace {

using base::Millis;
using testing::FakeLinks;

MemberRecord TargetRecord(uint64_t id, uint32_t sequence = 1) {
  return {.id = MemberId{id * 7919},
          .kind = MemberKind::kTarget,
          .state = MemberState::kReady,
          .incarnation = base::Incarnation{1},
          .sequence = sequence,
          .service = base::ServiceId{5},
          .address = {9, 9}};
}

BOOST_AUTO_TEST_CASE(UpdatesReachEveryBalancerWithinTenRounds) {
  FakeLinks links(64, /*loss_percent=*/0, /*seed=*/3);
  links.node(0).Learn(TargetRecord(1));
  uint32_t rounds = links.RunUntilAllKnow(TargetRecord(1), 40);
  BOOST_TEST(rounds <= 10u);
}

RC_BOOST_PROP(LossyLinksConvergeByAntiEntropy, (uint16_t seed)) {
  FakeLinks links(12, /*loss_percent=*/40, seed);
  for (uint64_t id = 1; id <= 30; ++id) {
    links.node(id % 12).Learn(TargetRecord(id));
  }
  links.Run(600);
  for (size_t i = 1; i < links.size(); ++i) {
    RC_ASSERT(links.node(i).directory().group_digests() ==
              links.node(0).directory().group_digests());
  }
}

BOOST_AUTO_TEST_CASE(APartitionHealsWithoutARestart) {
  FakeLinks links(10, 0, 4);
  links.Run(20);
  links.SetPartition(5);  // nodes 0 to 4 and 5 to 9 cannot reach each other
  links.node(0).Learn(TargetRecord(1, 2));
  links.node(7).Learn(TargetRecord(2, 2));
  links.Run(100);
  BOOST_TEST((links.node(9).directory().Find(TargetRecord(1).id) == nullptr));
  links.SetPartition(0);
  links.Run(200);
  for (size_t i = 0; i < links.size(); ++i) {
    BOOST_TEST((links.node(i).directory().Find(TargetRecord(1).id) != nullptr));
    BOOST_TEST((links.node(i).directory().Find(TargetRecord(2).id) != nullptr));
  }
}

BOOST_AUTO_TEST_CASE(AnOlderRecordNeverReplacesANewerOne) {
  Directory directory;
  MemberRecord newer = TargetRecord(1, 5);
  BOOST_TEST(directory.Merge(newer));
  BOOST_TEST(!directory.Merge(TargetRecord(1, 4)));
  MemberRecord dead = newer;
  dead.state = MemberState::kDead;
  BOOST_TEST(directory.Merge(dead));
  BOOST_TEST(!directory.Merge(newer));
  newer.sequence = 6;  // the member refutes kDead
  BOOST_TEST(directory.Merge(newer));
  MemberRecord restarted = TargetRecord(1, 1);
  restarted.incarnation = base::Incarnation{2};
  BOOST_TEST(directory.Merge(restarted));
  BOOST_TEST(directory.replaced_incarnations().contains(base::Incarnation{1}));
  BOOST_TEST(!directory.Merge(newer));
}

RC_BOOST_PROP(DigestsAreEqualExactlyWhenRecordsAre,
              (const std::vector<uint8_t>& order)) {
  Directory a;
  Directory b;
  for (size_t i = 0; i < order.size(); ++i) {
    a.Merge(TargetRecord(order[i] % 16, order[i] / 16 + 1));
    b.Merge(TargetRecord(order[order.size() - 1 - i] % 16,
                         order[order.size() - 1 - i] / 16 + 1));
  }
  RC_ASSERT(a.group_digests() == b.group_digests());
  a.Merge(TargetRecord(3, 99));
  RC_ASSERT(a.group_digests() != b.group_digests());
  uint32_t group = a.FirstDifferingGroup(b.group_digests(), 7);
  RC_ASSERT(group < kGroups);
  RC_ASSERT(a.BucketDigestsOf(group) != b.BucketDigestsOf(group));
}

BOOST_AUTO_TEST_CASE(OneObserverAloneCannotDeclareAMemberDead) {
  Observer observer(MemberId{1});
  MemberRecord target = TargetRecord(1);
  observer.OnHeartbeat(target, Millis(0));
  std::vector<Suspicion> suspicions;
  for (int64_t now = 0; now <= 6000; now += 500) {
    for (const Suspicion& s : observer.OnTick(Millis(now))) {
      suspicions.push_back(s);
    }
  }
  BOOST_REQUIRE(suspicions.size() == 1u);
  BOOST_TEST(!observer.OnSuspicion(suspicions[0], 3));
  BOOST_TEST(observer.IsSuspected(target));
  Suspicion other = suspicions[0];
  other.observer = MemberId{2};
  BOOST_TEST(observer.OnSuspicion(other, 3));
  target.sequence = 2;
  BOOST_TEST(!observer.IsSuspected(target));
}

BOOST_AUTO_TEST_CASE(APausedObserverSuspectsNoMember) {
  Observer observer(MemberId{1});
  observer.OnTick(Millis(0));
  observer.OnHeartbeat(TargetRecord(1), Millis(0));
  BOOST_TEST(observer.OnTick(Millis(60'000)).empty());
  BOOST_TEST(observer.OnTick(Millis(61'000)).empty());
}

}  // namespace
}  // namespace filberthollow::decision::membership
