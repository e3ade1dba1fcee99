#include "filberthollow/decision/membership/observer_choice.h"

#include <algorithm>
#include <utility>

namespace filberthollow::decision::membership {

void ObserverChoice::SetBalancers(const std::vector<base::Address>& balancers) {
  std::vector<RankedBalancer> previous = std::exchange(m_balancers, {});
  for (base::Address address : balancers) {
    auto known = std::find_if(
        previous.begin(), previous.end(),
        [address](const RankedBalancer& b) { return b.address == address; });
    uint64_t rank =
        base::HashWords({base::Value(m_target), address.ip, address.port});
    m_balancers.push_back(
        known != previous.end()
            ? *known
            : RankedBalancer{.rank = rank, .address = address});
  }
  std::sort(m_balancers.begin(), m_balancers.end(),
            [](const RankedBalancer& a, const RankedBalancer& b) {
              return a.rank > b.rank;
            });
}

std::vector<base::Address> ObserverChoice::Choose(base::Millis now) {
  std::vector<base::Address> chosen;
  m_skipped = 0;
  for (RankedBalancer& balancer : m_balancers) {
    if (chosen.size() == kObservers) {
      break;
    }
    if (balancer.skipped_until > now) {
      ++m_skipped;
      continue;
    }
    if (balancer.unanswered >= kMaxUnanswered) {
      balancer.unanswered = 0;
      balancer.skipped_until = now + kSkipDuration;
      ++m_skipped;
      continue;
    }
    ++balancer.unanswered;
    chosen.push_back(balancer.address);
  }
  m_chosen = chosen.size();
  return chosen;
}

void ObserverChoice::OnAnswer(base::Address balancer) {
  for (RankedBalancer& known : m_balancers) {
    if (known.address == balancer) {
      known.unanswered = 0;
      known.skipped_until = base::Millis(0);
    }
  }
}

}  // namespace filberthollow::decision::membership
