#include "filberthollow/decision/flows/locate_queue.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace filberthollow::decision::flows {

void LocateQueue::Add(base::Address agent, const FlowQuestion& question) {
  m_questions[agent].push_back(question);
}

int64_t LocateQueue::CreditAt(base::Millis now) const {
  int64_t earned = (now - m_credit_at).count() * kMessagesPerMilli;
  return std::min(kBurstMessages, m_credit + earned);
}

base::Millis LocateQueue::LatestSendTime(base::Millis now) const {
  int64_t missing = std::max<int64_t>(1 - CreditAt(now), 0);
  return now +
         base::Millis((missing + kMessagesPerMilli - 1) / kMessagesPerMilli);
}

std::vector<SendLocate> LocateQueue::Take(base::Millis now) {
  std::vector<SendLocate> sends;
  if (m_questions.empty() || CreditAt(now) <= 0) {
    return sends;
  }
  for (const auto& [agent, flows] : std::exchange(m_questions, {})) {
    for (size_t i = 0; i < flows.size(); i += kMaxFlowsPerLocate) {
      auto first = flows.begin() + static_cast<ptrdiff_t>(i);
      size_t count = std::min(kMaxFlowsPerLocate, flows.size() - i);
      auto last = first + static_cast<ptrdiff_t>(count);
      sends.push_back({agent, Locate{{first, last}}});
    }
  }
  m_credit = CreditAt(now) - static_cast<int64_t>(sends.size());
  m_credit_at = now;
  return sends;
}

}  // namespace filberthollow::decision::flows
