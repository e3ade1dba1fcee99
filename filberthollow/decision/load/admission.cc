#include "filberthollow/decision/load/admission.h"

#include <algorithm>

namespace filberthollow::decision::load {
namespace {

using flow::Reason;

// The newest sample has the weight 1 / kMeanDivisor in the moving average.
constexpr int64_t kMeanDivisor = 8;
constexpr int64_t kMicrosPerMilli = 1000;

}  // namespace

void FairQueue::Push(const AdmissionRequest& queued) {
  uint64_t& last = m_last_tag[queued.caller_ip];
  last = std::max(last, m_served_tag) + 1;
  m_waiting.emplace(QueuePosition{last, ++m_arrivals}, queued);
}

std::optional<AdmissionRequest> FairQueue::PopFirst(base::Millis now) {
  auto next =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [now](const auto& w) { return w.second.deadline > now; });
  if (next == m_waiting.end()) {
    return std::nullopt;
  }
  AdmissionRequest queued = next->second;
  m_served_tag = next->first.tag;
  m_waiting.erase(next);
  ResetTagsIfEmpty();
  return queued;
}

std::vector<AdmissionRequest> FairQueue::PopExpired(base::Millis now) {
  std::vector<AdmissionRequest> expired;
  std::erase_if(m_waiting, [now, &expired](const auto& waiting) {
    bool late = waiting.second.deadline <= now;
    if (late) {
      expired.push_back(waiting.second);
    }
    return late;
  });
  ResetTagsIfEmpty();
  return expired;
}

bool FairQueue::Remove(RequestId request_id) {
  bool removed = std::erase_if(m_waiting, [request_id](const auto& waiting) {
                   return waiting.second.request_id == request_id;
                 }) > 0;
  ResetTagsIfEmpty();
  return removed;
}

void FairQueue::ResetTagsIfEmpty() {
  if (m_waiting.empty()) {
    m_last_tag.clear();
  }
}

base::Millis Admission::ExpectedFinish(size_t ahead, base::Millis now) const {
  uint32_t slots = std::max<uint32_t>(m_limits.slots, 1);
  auto rounds = static_cast<int64_t>((ahead + m_running) / slots + 1);
  return now + base::Millis(m_mean_service_us * rounds / kMicrosPerMilli);
}

size_t Admission::MaxWaitingRetries() const {
  return std::max<size_t>(
      1, size_t{m_limits.queue_length} * m_limits.retry_percent / 100);
}

std::optional<Reason> Admission::Enqueue(const AdmissionRequest& queued,
                                         base::Millis now) {
  bool free_slot = m_running + waiting() < m_limits.slots;
  if (!free_slot && waiting() >= m_limits.queue_length) {
    return Reason::kQueueFull;
  }
  if (!free_slot && queued.retry && m_retries.size() >= MaxWaitingRetries()) {
    return Reason::kRetryShare;
  }
  size_t ahead = queued.retry ? waiting() : m_first_attempts.size();
  // The estimate is ignored while a slot is free. Otherwise one slow request
  // could raise it so far that every request is refused; then none would run
  // and the estimate would never fall again.
  bool too_late = !free_slot && ExpectedFinish(ahead, now) > queued.deadline;
  if (queued.deadline <= now || too_late) {
    return Reason::kDeadline;
  }
  (queued.retry ? m_retries : m_first_attempts).Push(queued);
  return std::nullopt;
}

std::optional<AdmissionRequest> Admission::StartNext(base::Millis now) {
  if (m_running >= m_limits.slots) {
    return std::nullopt;
  }
  for (FairQueue* queue : {&m_first_attempts, &m_retries}) {
    if (std::optional<AdmissionRequest> queued = queue->PopFirst(now)) {
      ++m_running;
      return queued;
    }
  }
  return std::nullopt;
}

std::vector<AdmissionRequest> Admission::TakeExpired(base::Millis now) {
  std::vector<AdmissionRequest> expired = m_first_attempts.PopExpired(now);
  std::vector<AdmissionRequest> retries = m_retries.PopExpired(now);
  expired.insert(expired.end(), retries.begin(), retries.end());
  return expired;
}

void Admission::Finish(base::Millis duration) {
  --m_running;
  int64_t sample_us = duration.count() * kMicrosPerMilli;
  m_mean_service_us += (sample_us - m_mean_service_us) / kMeanDivisor;
}

bool Admission::RemoveWaiting(RequestId request_id) {
  return m_first_attempts.Remove(request_id) || m_retries.Remove(request_id);
}

}  // namespace filberthollow::decision::load
