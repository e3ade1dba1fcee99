#include "filberthollow/decision/flows/flow_guesses.h"

#include <utility>

namespace filberthollow::decision::flows {

void FlowProbes::Begin(const flow::FlowEnds& flow,
                       FlowProbe probe,
                       base::Millis now) {
  if (m_entries.size() < kMaxProbes || m_entries.contains(flow)) {
    m_entries[flow] = {.probe = std::move(probe), .at = now};
  }
}

std::optional<FlowProbe> FlowProbes::RecordBounce(const flow::FlowEnds& flow,
                                                  base::Millis now) {
  auto found = m_entries.find(flow);
  if (found == m_entries.end() || found->second.bounced_back) {
    return std::nullopt;
  }
  found->second.bounced_back = true;
  found->second.at = now;
  return std::exchange(found->second.probe, {});
}

std::optional<FlowProbe> FlowProbes::Confirm(const flow::FlowEnds& flow) {
  auto found = m_entries.find(flow);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  Entry entry = std::move(found->second);
  m_entries.erase(found);
  return entry.bounced_back ? std::nullopt
                            : std::optional(std::move(entry.probe));
}

bool FlowProbes::IsKnownNotHeld(const flow::FlowEnds& flow) const {
  auto found = m_entries.find(flow);
  return found != m_entries.end() && found->second.bounced_back;
}

void FlowProbes::DropExpired(base::Millis now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return now - entry.second.at > kRetention;
  });
}

}  // namespace filberthollow::decision::flows
