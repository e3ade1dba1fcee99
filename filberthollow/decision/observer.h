// Finding members that died without a word.
//
// A target sends heartbeats to a few balancers, its observers. An observer that
// hears nothing for kMissedHeartbeats intervals suspects it. A target is found
// dead only when kConfirmations observers suspect the same sequence, so that
// one bad link, or one frozen observer, can't remove it.
//
//   observer.OnHeartbeat(record, now);
//   for (const Suspicion& s : observer.OnTick(now)) spread(s);
//   if (observer.OnSuspicion(s, now)) directory.Merge(dead record);
#ifndef FILBERTHOLLOW_DECISION_OBSERVER_H_
#define FILBERTHOLLOW_DECISION_OBSERVER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/member_record.h"

namespace filberthollow::decision {

// Suspicion is one observer's word that a member is silent.
struct Suspicion {
  MemberId member{};
  base::Incarnation incarnation{};
  uint32_t sequence = 0;
  MemberId observer{};
  friend auto operator<=>(const Suspicion&, const Suspicion&) = default;
};

// Observer belongs to one balancer.
class Observer {
 public:
  // A member is suspected after this many heartbeat intervals of silence.
  static constexpr int64_t kMissedHeartbeats = 4;
  // kMaxHeartbeatsPerSecond bounds the heartbeats that one balancer hears a
  // second: the more members it watches, the longer the interval that it asks
  // for.
  static constexpr int64_t kMaxHeartbeatsPerSecond = 3;
  static constexpr base::Millis kMinInterval{1000};
  static constexpr base::Millis kMaxInterval{10'000};
  // kMaxTickGap is the longest pause between ticks after which silence still
  // counts; after a longer one this process itself was paused.
  static constexpr base::Millis kMaxTickGap{1500};
  static constexpr size_t kConfirmations = 2;

  explicit Observer(MemberId self) : m_self(self) {}

  // OnHeartbeat notes that a member was heard directly.
  void OnHeartbeat(const MemberRecord& record, base::Millis now);
  // OnTick returns new suspicions; call it at least every second.
  std::vector<Suspicion> OnTick(base::Millis now);
  // OnSuspicion notes a suspicion, its own included; returns whether the
  // member is now found dead. `balancer_count` is how many balancers there are.
  bool OnSuspicion(const Suspicion& suspicion, size_t balancer_count);
  // IsSuspected returns whether anyone suspects this sequence of the member;
  // the member refutes it by a higher sequence.
  bool IsSuspected(const MemberRecord& record) const;
  // Returns the heartbeat interval to ask members for.
  base::Millis HeartbeatInterval() const;
  // Returns how many members were heard and not yet lost.
  size_t watched_count() const { return m_watched.size(); }

 private:
  struct WatchedMember {
    MemberRecord record;
    base::Millis heard_at;
    base::Millis interval;  // asked for when it was heard
  };
  struct SuspectedVersion {
    base::Incarnation incarnation{};
    uint32_t sequence = 0;
    std::set<MemberId> observers;
  };

  const MemberId m_self;
  base::Millis m_last_tick{INT64_MIN / 4};
  std::unordered_map<MemberId, WatchedMember> m_watched;
  std::unordered_map<MemberId, SuspectedVersion> m_suspected;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_OBSERVER_H_
