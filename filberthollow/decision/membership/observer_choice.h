// Selects the balancers that a target sends its heartbeats to.
//
// The observers of a target are the kObservers balancers that rank highest for
// it in rendezvous hashing, which distributes the heartbeats of the fleet
// evenly. A balancer that does not answer is skipped for kSkipDuration, and the
// next one in rank takes its place.
//
//   ObserverChoice choice(target);
//   choice.SetBalancers(addresses);
//   for (base::Address to : choice.Choose(now)) Send(to);
//   choice.OnAnswer(from);
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_OBSERVER_CHOICE_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_OBSERVER_CHOICE_H_

#include <cstdint>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/membership/member_record.h"

namespace filberthollow::decision::membership {

// The choice of one agent. Not thread-safe: use it from a single task.
class ObserverChoice {
 public:
  // Number of balancers that each heartbeat is sent to.
  static constexpr size_t kObservers = 3;
  // A balancer is skipped after this many consecutive unanswered heartbeats.
  static constexpr uint32_t kMaxUnanswered = 3;
  // Time for which a balancer that does not answer is skipped.
  static constexpr base::Millis kSkipDuration{30'000};

  explicit ObserverChoice(MemberId target) : m_target(target) {}

  // Replaces the list of known balancers. The unanswered count and the skip
  // time of a balancer in both lists are kept.
  void SetBalancers(const std::vector<base::Address>& balancers);
  // Returns the balancers to send the next heartbeat to. The heartbeat counts
  // as unanswered until OnAnswer() is called for the balancer.
  std::vector<base::Address> Choose(base::Millis now);
  // Returns whether the last choice had fewer than kObservers balancers because
  // some of the known ones do not answer.
  bool NeedsMoreBalancers() const {
    return m_chosen < kObservers && m_skipped > 0;
  }
  // Records that a balancer answered and ends any skipping of it.
  void OnAnswer(base::Address balancer);

 private:
  struct RankedBalancer {
    uint64_t rank = 0;
    base::Address address;
    // Heartbeats sent since the balancer last answered or was skipped.
    uint32_t unanswered = 0;
    base::Millis skipped_until;
  };

  const MemberId m_target;
  // Numbers of balancers that the last Choose() returned and skipped.
  size_t m_chosen = 0;
  size_t m_skipped = 0;
  std::vector<RankedBalancer> m_balancers;  // highest rank first
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_OBSERVER_CHOICE_H_
