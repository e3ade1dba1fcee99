#include "filberthollow/decision/flow_guesses.h"

#include <utility>

namespace filberthollow::decision {

void FlowGuesses::Begin(const flow::FlowEnds& flow,
                        FlowGuess guess,
                        base::Millis now) {
  if (m_entries.size() < kMaxGuesses || m_entries.contains(flow)) {
    m_entries[flow] = {.guess = std::move(guess), .at = now};
  }
}

std::optional<FlowGuess> FlowGuesses::Refute(const flow::FlowEnds& flow,
                                             base::Millis now) {
  auto found = m_entries.find(flow);
  if (found == m_entries.end() || found->second.refuted) {
    return std::nullopt;
  }
  found->second.refuted = true;
  found->second.at = now;
  return std::exchange(found->second.guess, {});
}

std::optional<FlowGuess> FlowGuesses::Confirm(const flow::FlowEnds& flow) {
  auto found = m_entries.find(flow);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  Entry entry = std::move(found->second);
  m_entries.erase(found);
  return entry.refuted ? std::nullopt : std::optional(std::move(entry.guess));
}

bool FlowGuesses::IsRefuted(const flow::FlowEnds& flow) const {
  auto found = m_entries.find(flow);
  return found != m_entries.end() && found->second.refuted;
}

void FlowGuesses::Forget(base::Millis now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return now - entry.second.at > kKeptFor;
  });
}

}  // namespace filberthollow::decision
