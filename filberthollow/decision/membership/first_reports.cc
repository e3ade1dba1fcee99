#include "filberthollow/decision/membership/first_reports.h"

#include <algorithm>

namespace filberthollow::decision::membership {

bool FirstReports::Begin(base::Address balancer, base::Millis now) {
  auto [found, added] = m_entries.try_emplace(balancer);
  if (!added && now - found->second.changed_at < kRepeatDelay) {
    return false;
  }
  found->second = {.changed_at = now};
  m_confirmed.erase(balancer);
  return true;
}

void FirstReports::OnConfirmed(base::Address balancer, base::Millis now) {
  if (auto found = m_entries.find(balancer); found != m_entries.end()) {
    found->second = {.changed_at = now, .confirmed = true};
  }
  if (auto sent = m_confirmed.find(balancer); sent != m_confirmed.end()) {
    sent->second = true;
  }
}

bool FirstReports::HasConfirmed(base::Address balancer) const {
  auto found = m_confirmed.find(balancer);
  return found != m_confirmed.end() && found->second;
}

void FirstReports::KeepConfirmationsOf(
    const std::vector<base::Address>& balancers) {
  std::erase_if(m_confirmed, [&balancers](const auto& entry) {
    return std::find(balancers.begin(), balancers.end(), entry.first) ==
           balancers.end();
  });
}

bool FirstReports::IsPending(base::Address balancer) const {
  auto found = m_entries.find(balancer);
  return found != m_entries.end() && !found->second.confirmed;
}

std::vector<base::Address> FirstReports::TakeDue(base::Millis now) {
  std::vector<base::Address> due;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    auto& [balancer, state] = *entry;
    if (now - state.changed_at < kRepeatDelay) {
      ++entry;
    } else if (state.confirmed || state.repeats == kMaxRepeats) {
      entry = m_entries.erase(entry);
    } else {
      state.changed_at = now;
      ++state.repeats;
      due.push_back(balancer);
      ++entry;
    }
  }
  return due;
}

}  // namespace filberthollow::decision::membership
