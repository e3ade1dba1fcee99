#include "filberthollow/decision/membership/balancer_set.h"

#include <algorithm>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision::membership {

bool BalancerSet::Add(base::Address balancer, base::Millis now) {
  return balancer != m_self &&
         m_balancers.try_emplace(balancer, Entry{.heard_at = now}).second;
}

bool BalancerSet::OnHello(base::Address balancer,
                          uint64_t run,
                          bool leaving,
                          base::Millis now) {
  if (balancer == m_self) {
    return false;
  }
  auto [found, added] = m_balancers.try_emplace(balancer);
  bool is_new = added || !found->second.heard || found->second.run != run;
  found->second = {.heard_at = now,
                   .run_heard_at = is_new ? now : found->second.run_heard_at,
                   .run = run,
                   .heard = true,
                   .leaving = leaving,
                   .takes_turns = !is_new && found->second.takes_turns,
                   .silent = found->second.silent};
  return is_new;
}

void BalancerSet::SetTakesTurns(base::Address balancer, bool takes_turns) {
  auto found = m_balancers.find(balancer);
  if (found != m_balancers.end()) {
    found->second.takes_turns = takes_turns;
  }
}

StoreTurn BalancerSet::Turn(base::Millis now) const {
  StoreTurn turn;
  for (const auto& [address, entry] : m_balancers) {
    if (entry.takes_turns && !entry.leaving && IsLive(entry, now)) {
      ++turn.watchers;
      turn.rank += address < m_self ? 1 : 0;
    }
  }
  return turn;
}

bool BalancerSet::IsLive(const Entry& entry, base::Millis now) const {
  base::Millis timeout =
      std::max(kMinSilenceTimeout, m_interval * kMissedHellos);
  return entry.heard && now - entry.heard_at < timeout;
}

bool BalancerSet::IsLive(base::Address balancer, base::Millis now) const {
  auto found = m_balancers.find(balancer);
  return found != m_balancers.end() && IsLive(found->second, now);
}

void BalancerSet::Forget(base::Millis now) {
  base::Millis timeout =
      std::max(kMinForgetTimeout, m_interval * kMissedHellosToForget);
  std::erase_if(m_balancers, [=](const auto& item) {
    return now - item.second.heard_at > timeout;
  });
}

std::vector<BalancerLivenessChange> BalancerSet::TakeLivenessChanges(
    base::Millis now) {
  std::vector<BalancerLivenessChange> changes;
  for (auto& [address, entry] : m_balancers) {
    bool silent = entry.heard && !IsLive(entry, now);
    if (silent != entry.silent) {
      entry.silent = silent;
      changes.push_back({address, silent, now - entry.heard_at});
    }
  }
  return changes;
}

template <class Predicate>
std::vector<base::Address> BalancerSet::Select(Predicate predicate) const {
  std::vector<base::Address> selection;
  for (const auto& [address, entry] : m_balancers) {
    if (predicate(entry)) {
      selection.push_back(address);
    }
  }
  return selection;
}

std::vector<base::Address> BalancerSet::Live(base::Millis now) const {
  return Select([this, now](const Entry& entry) { return IsLive(entry, now); });
}

std::vector<base::Address> BalancerSet::Silent(base::Millis now) const {
  return Select(
      [this, now](const Entry& entry) { return !IsLive(entry, now); });
}

bool BalancerSet::IsNewcomer(const Entry& entry, base::Millis now) const {
  return IsLive(entry, now) && now - entry.run_heard_at < kNewcomerTime;
}

std::vector<base::Address> BalancerSet::Newcomers(base::Millis now) const {
  return Select(
      [this, now](const Entry& entry) { return IsNewcomer(entry, now); });
}

bool BalancerSet::RanksHighFor(
    base::Address peer,
    const std::vector<base::Address>& balancers) const {
  // The balancer with the lowest value ranks highest.
  auto rank = [peer](base::Address balancer) {
    return base::HashWords({peer.ip, peer.port, balancer.ip, balancer.port});
  };
  uint64_t own = rank(m_self);
  size_t higher_ranked = 0;
  for (base::Address balancer : balancers) {
    higher_ranked += balancer != peer && rank(balancer) < own ? 1 : 0;
  }
  return higher_ranked < kNotifiersPerPeer;
}

bool BalancerSet::IsNotifierFor(base::Address peer, base::Millis now) const {
  return RanksHighFor(peer, LiveNotLeaving(now));
}

bool BalancerSet::IntroducesTo(base::Address peer, base::Millis now) const {
  return RanksHighFor(peer, Select([this, now](const Entry& entry) {
                        return IsLive(entry, now) && !entry.leaving &&
                               !IsNewcomer(entry, now);
                      }));
}

std::vector<base::Address> BalancerSet::LiveNotLeaving(base::Millis now) const {
  return Select([this, now](const Entry& entry) {
    return IsLive(entry, now) && !entry.leaving;
  });
}

std::vector<base::Address> BalancerSet::Advertised(base::Address peer,
                                                   base::Millis now) const {
  std::vector<base::Address> candidates = LiveNotLeaving(now);
  if (candidates.size() <= kMaxAdvertised) {
    return candidates;
  }
  uint64_t first =
      base::HashWords({m_self.ip, m_self.port, peer.ip, peer.port}) %
          candidates.size() +
      m_advertised_round * kMaxAdvertised;
  std::rotate(
      candidates.begin(),
      candidates.begin() + static_cast<ptrdiff_t>(first % candidates.size()),
      candidates.end());
  candidates.resize(kMaxAdvertised);
  return candidates;
}

}  // namespace filberthollow::decision::membership
