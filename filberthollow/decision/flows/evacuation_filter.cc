#include "filberthollow/decision/flows/evacuation_filter.h"

#include <algorithm>

namespace filberthollow::decision::flows {

bool EvacuationFilter::MustWait(bool has_routes, base::Millis now) {
  if (!m_awaits_list || m_evacuations.IsKnown() || !has_routes) {
    return false;
  }
  m_waiting_since = std::min(m_waiting_since, now);
  return now - m_waiting_since < kMaxWait;
}

bool EvacuationFilter::RemoveEvacuated(
    std::vector<load::UpstreamCandidate>& candidates) const {
  return std::erase_if(
             candidates, [this](const load::UpstreamCandidate& candidate) {
               return m_evacuations.ContainsHash(candidate.data_centre);
             }) > 0;
}

}  // namespace filberthollow::decision::flows
