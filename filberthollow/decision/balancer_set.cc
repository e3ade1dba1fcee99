#include "filberthollow/decision/balancer_set.h"

#include <algorithm>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision {

bool BalancerSet::Add(base::Address balancer, base::Millis now) {
  return balancer != m_self &&
         m_balancers.try_emplace(balancer, Entry{.heard_at = now}).second;
}

bool BalancerSet::Hear(base::Address balancer,
                       uint64_t run,
                       bool leaving,
                       base::Millis now) {
  if (balancer == m_self) {
    return false;
  }
  auto [found, added] = m_balancers.try_emplace(balancer);
  bool news = added || !found->second.heard || found->second.run != run;
  found->second = {.heard_at = now,
                   .run = run,
                   .heard = true,
                   .leaving = leaving,
                   .silent = found->second.silent};
  return news;
}

bool BalancerSet::IsLively(const Entry& entry, base::Millis now) const {
  base::Millis patience = std::max(kLivelyFor, m_interval * kMissedHellos);
  return entry.heard && now - entry.heard_at < patience;
}

void BalancerSet::Forget(base::Millis now) {
  base::Millis patience = std::max(kForgetAfter, m_interval * kForgottenHellos);
  std::erase_if(m_balancers, [=](const auto& item) {
    return now - item.second.heard_at > patience;
  });
}

std::vector<BalancerSilence> BalancerSet::TakeSilences(base::Millis now) {
  std::vector<BalancerSilence> changes;
  for (auto& [address, entry] : m_balancers) {
    bool silent = entry.heard && !IsLively(entry, now);
    if (silent != entry.silent) {
      entry.silent = silent;
      changes.push_back({address, silent, now - entry.heard_at});
    }
  }
  return changes;
}

template <class Keep>
std::vector<base::Address> BalancerSet::Select(Keep keep) const {
  std::vector<base::Address> selected;
  for (const auto& [address, entry] : m_balancers) {
    if (keep(entry)) {
      selected.push_back(address);
    }
  }
  return selected;
}

std::vector<base::Address> BalancerSet::Lively(base::Millis now) const {
  return Select(
      [this, now](const Entry& entry) { return IsLively(entry, now); });
}

std::vector<base::Address> BalancerSet::Silent(base::Millis now) const {
  return Select(
      [this, now](const Entry& entry) { return !IsLively(entry, now); });
}

bool BalancerSet::IsTeller(base::Address peer, base::Millis now) const {
  auto rank = [peer](base::Address balancer) {
    return base::HashWords({peer.ip, peer.port, balancer.ip, balancer.port});
  };
  uint64_t own = rank(m_self);
  size_t better = 0;
  for (base::Address balancer : Staying(now)) {
    better += balancer != peer && rank(balancer) < own ? 1 : 0;
  }
  return better < kTellers;
}

std::vector<base::Address> BalancerSet::Staying(base::Millis now) const {
  return Select([this, now](const Entry& entry) {
    return IsLively(entry, now) && !entry.leaving;
  });
}

std::vector<base::Address> BalancerSet::Named(base::Millis now) const {
  std::vector<base::Address> staying = Staying(now);
  if (staying.size() <= kNamed) {
    return staying;
  }
  auto first = std::upper_bound(staying.begin(), staying.end(), m_named_from);
  std::rotate(staying.begin(), first, staying.end());
  staying.resize(kNamed);
  return staying;
}

void BalancerSet::NextTurn(base::Millis now) {
  std::vector<base::Address> named = Named(now);
  if (!named.empty()) {
    m_named_from = named.back();
  }
}

}  // namespace filberthollow::decision
