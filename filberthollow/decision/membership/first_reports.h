// Which balancers have confirmed that they have this agent's first report.
//
// A balancer that has just started learns of an agent by the agent's first
// report to it, and may not call a flow lost before it knows all agents. Later
// reports follow at an interval that grows with the fleet. The first report is
// therefore repeated soon until the balancer confirms it, so that a lost
// datagram does not delay the balancer by a report interval.
//
// This answers the load pattern of callers that wait on flows that a power
// failure has ended: the time until a balancer may tell them so does not grow
// with the fleet. Without losses it costs no further messages.
//
// A balancer that has confirmed no report of this agent may take it for another
// one, which had its address before. HasConfirmed() tells whether it has.
//
//   FirstReports first_reports;
//   if (first_reports.Begin(balancer, now)) { ... }  // send it a report
//   first_reports.OnConfirmed(balancer, now);  // its hello confirms a report
//   for (base::Address to : first_reports.TakeDue(now)) { ... }
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_FIRST_REPORTS_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_FIRST_REPORTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"

namespace filberthollow::decision::membership {

// FirstReports belongs to one task and is not thread-safe.
class FirstReports {
 public:
  // Time to wait for a confirmation: a round trip between distant data centres,
  // and the queue of a balancer that all agents report to at once.
  static constexpr base::Millis kRepeatDelay{150};
  // Limits the repetitions to a balancer that has gone, or that runs a release
  // that does not confirm reports. They end within the discovery period of a
  // balancer.
  static constexpr uint32_t kMaxRepeats = 4;

  // Begins to wait for a confirmation, since the balancer has just started.
  // Returns whether a report must be sent to it now. It need not if this is
  // known already: several balancers announce each start.
  bool Begin(base::Address balancer, base::Millis now);
  // A report was sent to the balancer, the first one or a later one.
  void OnSent(base::Address balancer) { m_confirmed.try_emplace(balancer); }
  // The balancer has confirmed a report.
  void OnConfirmed(base::Address balancer, base::Millis now);
  // Returns whether the balancer has confirmed a report since it started. What
  // it says before it was sent one is about another agent.
  bool HasConfirmed(base::Address balancer) const;
  // Forgets the confirmations of all balancers but these.
  void KeepConfirmationsOf(const std::vector<base::Address>& balancers);
  // Returns whether a confirmation of the balancer is awaited.
  bool IsPending(base::Address balancer) const;
  // Returns the balancers to repeat the report to now, and counts the
  // repetition. Stops waiting for those that have had kMaxRepeats.
  std::vector<base::Address> TakeDue(base::Millis now);

 private:
  // Entries are removed kRepeatDelay after the confirmation or the last
  // repetition.
  struct Entry {
    base::Millis changed_at;  // when the report was last sent, or confirmed
    uint32_t repeats = 0;
    bool confirmed = false;
  };
  std::map<base::Address, Entry> m_entries;
  // Whether each balancer that was sent a report has confirmed one.
  std::map<base::Address, bool> m_confirmed;
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_FIRST_REPORTS_H_
