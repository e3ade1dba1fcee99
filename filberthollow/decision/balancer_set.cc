#include "filberthollow/decision/balancer_set.h"

namespace filberthollow::decision {

bool BalancerSet::Add(base::Address balancer, base::Millis now) {
  return balancer != m_self &&
         m_balancers.try_emplace(balancer, Entry{.heard_at = now}).second;
}

bool BalancerSet::Hear(base::Address balancer, bool leaving, base::Millis now) {
  if (balancer == m_self) {
    return false;
  }
  return m_balancers.insert_or_assign(balancer, Entry{now, true, leaving})
      .second;
}

void BalancerSet::Forget(base::Millis now) {
  std::erase_if(m_balancers, [now](const auto& item) {
    return now - item.second.heard_at > kForgetAfter;
  });
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
  return Select([now](const Entry& entry) { return IsLively(entry, now); });
}

std::vector<base::Address> BalancerSet::Silent(base::Millis now) const {
  return Select([now](const Entry& entry) { return !IsLively(entry, now); });
}

std::vector<base::Address> BalancerSet::Staying(base::Millis now) const {
  return Select([now](const Entry& entry) {
    return IsLively(entry, now) && !entry.leaving;
  });
}

}  // namespace filberthollow::decision
