#include "filberthollow/decision/membership/observer.h"

#include <algorithm>
#include <tuple>

namespace filberthollow::decision::membership {

void Observer::OnHeartbeat(const MemberRecord& record, base::Millis now) {
  if (record.state == MemberState::kLeft) {
    m_watched.erase(record.id);
    return;
  }
  m_watched[record.id] = WatchedMember{record, now, HeartbeatInterval()};
}

base::Millis Observer::HeartbeatInterval() const {
  auto watched = static_cast<int64_t>(m_watched.size());
  return std::clamp(base::Millis(watched * 1000 / kMaxHeartbeatsPerSecond),
                    kMinInterval, kMaxInterval);
}

std::vector<Suspicion> Observer::OnTick(base::Millis now) {
  bool was_paused = now - m_last_tick > kMaxTickGap;
  m_last_tick = now;
  std::vector<Suspicion> suspicions;
  for (auto it = m_watched.begin(); it != m_watched.end();) {
    auto& [id, member] = *it;
    if (was_paused) {
      member.heard_at = now;
    }
    if (now - member.heard_at <= member.interval * kMissedHeartbeats) {
      ++it;
      continue;
    }
    suspicions.push_back({.member = id,
                          .incarnation = member.record.incarnation,
                          .sequence = member.record.sequence,
                          .observer = m_self});
    it = m_watched.erase(it);
  }
  return suspicions;
}

bool Observer::OnSuspicion(const Suspicion& suspicion, size_t balancer_count) {
  SuspectedVersion& suspected = m_suspected[suspicion.member];
  auto version = std::tie(suspicion.incarnation, suspicion.sequence);
  auto held = std::tie(suspected.incarnation, suspected.sequence);
  if (version < held) {
    return false;
  }
  if (version > held) {
    suspected = SuspectedVersion{suspicion.incarnation, suspicion.sequence, {}};
  }
  suspected.observers.insert(suspicion.observer);
  return suspected.observers.size() >= std::min(kConfirmations, balancer_count);
}

bool Observer::IsSuspected(const MemberRecord& record) const {
  auto suspected = m_suspected.find(record.id);
  return suspected != m_suspected.end() &&
         suspected->second.incarnation == record.incarnation &&
         suspected->second.sequence == record.sequence;
}

}  // namespace filberthollow::decision::membership
