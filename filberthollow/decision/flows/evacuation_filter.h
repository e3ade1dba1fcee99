// Keeps new flows away from evacuated data centres at a balancer.
//
// A balancer that has just started has the configuration before it has the list
// of evacuations. It holds new flows back meanwhile, for a limited time: if the
// list can't be had at all, flows are placed as if nothing were evacuated,
// since an outage of one kind of object must not stop all services.
//
//   EvacuationFilter filter;
//   filter.AwaitList();
//   if (filter.MustWait(has_routes, now)) { ... }
//   bool removed = filter.RemoveEvacuated(candidates);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_EVACUATION_FILTER_H_
#define FILBERTHOLLOW_DECISION_FLOWS_EVACUATION_FILTER_H_

#include <utility>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/load/upstream_choice.h"
#include "filberthollow/decision/membership/evacuations.h"

namespace filberthollow::decision::flows {

// EvacuationFilter is not thread-safe; it is owned by one FlowRouter.
class EvacuationFilter {
 public:
  // How long new flows wait for the first list. Callers give up an opening
  // packet after 1.4 s, so they still get an answer.
  static constexpr base::Millis kMaxWait{1000};

  // Makes new flows wait for the first list. Without this call they never wait.
  void AwaitList() { m_awaits_list = true; }
  void Set(membership::Evacuations evacuations) {
    m_evacuations = std::move(evacuations);
  }
  // Returns whether a new flow must wait for the first list. The wait starts
  // when this is first called with `has_routes`.
  bool MustWait(bool has_routes, base::Millis now);
  // Removes the candidates in evacuated data centres. Returns whether there
  // were any.
  bool RemoveEvacuated(std::vector<load::UpstreamCandidate>& candidates) const;

 private:
  membership::Evacuations m_evacuations;
  bool m_awaits_list = false;
  base::Millis m_waiting_since{base::kNever};
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_EVACUATION_FILTER_H_
