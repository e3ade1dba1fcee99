#include "filberthollow/decision/flows/flow_guesses.h"

#include <utility>

namespace filberthollow::decision::flows {

void FlowProbes::Begin(const flow::FlowEnds& flow,
                       FlowProbe probe,
                       base::Millis now) {
  auto found = m_entries.find(flow);
  bool replaces_pending =
      found != m_entries.end() && !found->second.bounced_back;
  if (!replaces_pending) {
    bool full = m_pending >= kMaxPendingProbes ||
                m_entries.size() >= kMaxPendingProbes + kMaxOutcomes;
    if (full) {
      return;
    }
    ++m_pending;
  }
  m_entries[flow] = {.probe = std::move(probe), .at = now};
}

std::optional<FlowProbe> FlowProbes::RecordBounce(const flow::FlowEnds& flow,
                                                  base::Millis now) {
  auto found = m_entries.find(flow);
  if (found == m_entries.end() || found->second.bounced_back) {
    return std::nullopt;
  }
  found->second.bounced_back = true;
  found->second.at = now;
  --m_pending;
  return std::exchange(found->second.probe, {});
}

std::optional<FlowProbe> FlowProbes::Confirm(const flow::FlowEnds& flow) {
  auto found = m_entries.find(flow);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  Entry entry = std::move(found->second);
  m_entries.erase(found);
  if (entry.bounced_back) {
    return std::nullopt;
  }
  --m_pending;
  return std::move(entry.probe);
}

bool FlowProbes::IsKnownNotHeld(const flow::FlowEnds& flow) const {
  auto found = m_entries.find(flow);
  return found != m_entries.end() && found->second.bounced_back;
}

void FlowProbes::DropExpired(base::Millis now) {
  std::erase_if(m_entries, [this, now](const auto& entry) {
    bool expired = now - entry.second.at > kRetention;
    m_pending -= expired && !entry.second.bounced_back ? 1 : 0;
    return expired;
  });
}

}  // namespace filberthollow::decision::flows
