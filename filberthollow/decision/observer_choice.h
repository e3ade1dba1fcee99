// Which balancers a target sends its heartbeats to.
//
// The few that rank highest for the target by rendezvous hashing are its
// observers, so that the fleet's heartbeats spread evenly. One that does not
// answer is passed over for a while in favour of the next in rank.
//
//   ObserverChoice choice(target);
//   choice.SetBalancers(addresses);
//   for (Address to : choice.Choose(now)) send(to);
//   choice.OnAnswer(from);
#ifndef FILBERTHOLLOW_DECISION_OBSERVER_CHOICE_H_
#define FILBERTHOLLOW_DECISION_OBSERVER_CHOICE_H_

#include <cstdint>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/member_record.h"

namespace filberthollow::decision {

// ObserverChoice belongs to one agent.
class ObserverChoice {
 public:
  static constexpr size_t kObservers = 3;
  static constexpr uint32_t kMaxUnanswered = 3;
  static constexpr base::Millis kSkipDuration{30'000};

  explicit ObserverChoice(MemberId target) : m_target(target) {}

  // SetBalancers replaces the known balancers; what is known of those that
  // stay is kept.
  void SetBalancers(const std::vector<base::Address>& balancers);
  // Choose returns whom to send the next heartbeat to, and counts it as not
  // answered until OnAnswer().
  std::vector<base::Address> Choose(base::Millis now);
  // NeedsMoreBalancers returns whether the last choice found fewer than
  // kObservers balancers, though some are known that do not answer.
  bool NeedsMoreBalancers() const {
    return m_chosen < kObservers && m_skipped > 0;
  }
  // OnAnswer notes that a balancer answered.
  void OnAnswer(base::Address balancer);

 private:
  struct RankedBalancer {
    uint64_t rank = 0;
    base::Address address;
    uint32_t unanswered = 0;
    base::Millis skipped_until;
  };

  const MemberId m_target;
  size_t m_chosen = 0;
  size_t m_skipped = 0;
  std::vector<RankedBalancer> m_balancers;  // highest rank first
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_OBSERVER_CHOICE_H_
