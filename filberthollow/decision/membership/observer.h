// Failure detector for members that stop without announcing it.
//
// A target sends heartbeats to a few balancers, its observers. An observer that
// receives none for kMissedHeartbeats intervals suspects the target. A target
// is declared dead only when kConfirmations observers suspect the same
// sequence of its record, so that one broken link or one frozen observer
// cannot remove it.
//
//   observer.OnHeartbeat(record, now);
//   for (const Suspicion& s : observer.OnTick(now)) gossip.SpreadSuspicion(s);
//   if (observer.OnSuspicion(s, balancer_count)) { /* declare it dead */ }
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_OBSERVER_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_OBSERVER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/membership/member_record.h"

namespace filberthollow::decision::membership {

// One observer's statement that it no longer receives heartbeats from a member.
struct Suspicion {
  MemberId member{};
  // Incarnation and sequence of the last record received from the member.
  base::Incarnation incarnation{};
  uint32_t sequence = 0;
  // The balancer that suspects the member.
  MemberId observer{};
  friend auto operator<=>(const Suspicion&, const Suspicion&) = default;
};

// The failure detector of one balancer. Not thread-safe: use it from a single
// task.
class Observer {
 public:
  // Number of heartbeat intervals of silence after which a member is suspected.
  static constexpr int64_t kMissedHeartbeats = 4;
  // Maximum rate of the heartbeats that one balancer receives: the more members
  // it watches, the longer the interval that it requests. The limit no longer
  // holds once the interval has reached kMaxInterval.
  static constexpr int64_t kMaxHeartbeatsPerSecond = 3;
  // Bounds of the requested heartbeat interval.
  static constexpr base::Millis kMinInterval{1000};
  static constexpr base::Millis kMaxInterval{10'000};
  // Longest gap between calls of OnTick() after which silence still counts. A
  // longer gap means that this process itself was paused; the silence of every
  // member is then measured from the end of the gap.
  static constexpr base::Millis kMaxTickGap{1500};
  // Number of observers that must suspect a member before it is declared dead.
  // A fleet with fewer balancers needs the suspicions of all of them.
  static constexpr size_t kConfirmations = 2;

  // `self` is the identifier of this balancer.
  explicit Observer(MemberId self) : m_self(self) {}

  // Records a heartbeat from a member. A member in state kLeft is no longer
  // watched.
  void OnHeartbeat(const MemberRecord& record, base::Millis now);
  // Returns the members that have become suspect since the last call and stops
  // watching them until their next heartbeat. Call it at least every second.
  std::vector<Suspicion> OnTick(base::Millis now);
  // Records a suspicion of another balancer or of this one, and returns whether
  // enough observers now suspect the member to declare it dead.
  // `balancer_count` is the number of balancers in the fleet.
  bool OnSuspicion(const Suspicion& suspicion, size_t balancer_count);
  // Returns whether any balancer suspects the member at the incarnation and
  // sequence of `record`. The member refutes the suspicion with a higher
  // sequence.
  bool IsSuspected(const MemberRecord& record) const;
  // Returns the heartbeat interval to request from members.
  base::Millis HeartbeatInterval() const;
  // Returns the number of members whose silence is being watched.
  size_t watched_count() const { return m_watched.size(); }

 private:
  struct WatchedMember {
    MemberRecord record;
    base::Millis heard_at;
    // The interval that was requested in answer to the last heartbeat.
    base::Millis interval;
  };
  // The newest suspected version of a member and the observers that suspect it.
  struct SuspectedVersion {
    base::Incarnation incarnation{};
    uint32_t sequence = 0;
    std::set<MemberId> observers;
  };

  const MemberId m_self;
  // The initial value makes the first OnTick() count as the end of a pause.
  base::Millis m_last_tick{INT64_MIN / 4};
  std::unordered_map<MemberId, WatchedMember> m_watched;
  std::unordered_map<MemberId, SuspectedVersion> m_suspected;
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_OBSERVER_H_
