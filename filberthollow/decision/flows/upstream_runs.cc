#include "filberthollow/decision/flows/upstream_runs.h"

#include <algorithm>

namespace filberthollow::decision::flows {

RunVerdict UpstreamRuns::OnHeartbeat(const UpstreamRun& run,
                                     uint64_t sequence,
                                     base::Millis now) {
  if (m_current.id.empty()) {
    SetCurrent(run, sequence, now);
    return RunVerdict::kFirst;
  }
  if (run == m_current && !m_end_announced) {
    if (sequence <= m_last_sequence) {
      return RunVerdict::kStale;
    }
    m_last_sequence = sequence;
    m_last_heard = now;
    m_contender.reset();
    return RunVerdict::kCurrent;
  }
  if (run != m_current && run.started >= m_current.started && !HasEnded(run)) {
    SetCurrent(run, sequence, now);
    return RunVerdict::kReplaced;
  }
  return OnContender(run, sequence, now);
}

RunVerdict UpstreamRuns::OnContender(const UpstreamRun& run,
                                     uint64_t sequence,
                                     base::Millis now) {
  if (!m_contender || m_contender->run != run) {
    m_contender = Contender{run, sequence, now};
    return RunVerdict::kEarlier;
  }
  if (sequence <= m_contender->last_sequence) {
    return RunVerdict::kEarlier;
  }
  m_contender->last_sequence = sequence;
  // Late heartbeats may arrive together. Those of a living run keep their
  // interval.
  if ((now - m_contender->first_heard) * 2 < m_interval ||
      now - m_last_heard < m_interval * kMissedHeartbeats) {
    return RunVerdict::kEarlier;
  }
  if (run == m_current) {
    // The announcement of its end was one of another run with its identifier.
    m_last_sequence = sequence;
    m_last_heard = now;
    m_end_announced = false;
    m_contender.reset();
    return RunVerdict::kCurrent;
  }
  SetCurrent(run, sequence, now);
  return RunVerdict::kReplaced;
}

RunVerdict UpstreamRuns::OnEnd(const std::string& id,
                               base::Millis started,
                               uint64_t sequence) {
  bool other_start = started != base::Millis(0) && started != m_current.started;
  if (id != m_current.id || other_start) {
    return RunVerdict::kEarlier;
  }
  if (sequence != 0 && sequence <= m_last_sequence) {
    return RunVerdict::kStale;
  }
  m_end_announced = true;
  return RunVerdict::kCurrent;
}

void UpstreamRuns::SetCurrent(const UpstreamRun& run,
                              uint64_t sequence,
                              base::Millis now) {
  std::erase(m_ended, run);
  if (!m_current.id.empty()) {
    m_ended.push_back(m_current);
    if (m_ended.size() > kMaxEnded) {
      m_ended.pop_front();
    }
  }
  m_current = run;
  m_last_sequence = sequence;
  m_end_announced = false;
  m_last_heard = now;
  m_contender.reset();
}

bool UpstreamRuns::HasEnded(const UpstreamRun& run) const {
  return std::find(m_ended.begin(), m_ended.end(), run) != m_ended.end();
}

void UpstreamRuns::OnProcessPaused(base::Millis now) {
  m_last_heard = now;
  m_contender.reset();
}

}  // namespace filberthollow::decision::flows
