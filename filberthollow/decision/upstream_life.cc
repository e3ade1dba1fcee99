#include "filberthollow/decision/upstream_life.h"

#include <algorithm>
#include <utility>

namespace filberthollow::decision {

UpstreamLife::UpstreamLife(base::ServiceId service,
                           base::Millis beat_interval,
                           base::Millis now)
    : m_service(service),
      m_absent_after(beat_interval * kAbsentBeats + kAbsentSlack),
      m_created(now),
      m_heard_at(now) {}

uint64_t UpstreamLife::run() const {
  return base::HashBytes(m_id, static_cast<uint64_t>(m_run_started.count()));
}

bool UpstreamLife::IsAbsent(base::Millis now) const {
  return m_state == UpstreamState::kUnknown && now - m_created > m_absent_after;
}

BeatOutcome UpstreamLife::OnBeat(const UpstreamHeartbeat& beat,
                                 base::Millis now) {
  if (beat.state == UpstreamState::kGone) {
    if (beat.id != m_id || m_state == UpstreamState::kGone) {
      return BeatOutcome::kIgnored;
    }
    m_state = UpstreamState::kGone;
    m_gone_at = now;
    return BeatOutcome::kGone;
  }
  bool same_run = beat.id == m_id && beat.started == m_run_started;
  if (base::ServiceIdOf(beat.service) != m_service ||
      (!same_run && beat.started < m_run_started) ||
      (same_run && beat.sequence <= m_last_sequence)) {
    return BeatOutcome::kIgnored;
  }
  bool had_run = !m_id.empty();
  if (!same_run) {
    m_saw_whole_run = had_run || beat.sequence <= 1;
    m_id = beat.id;
    m_run_started = beat.started;
    m_gone_at = base::kNever;
  }
  bool changed = m_state != beat.state || m_silent || IsRefusing(now);
  m_state = beat.state;
  m_last_sequence = beat.sequence;
  m_slots = std::max(beat.slots, 1U);
  m_cold_until = now + beat.cold_remaining;
  m_refusing_until = now;
  if (!same_run) {
    return had_run ? BeatOutcome::kNewRun : BeatOutcome::kFirstRun;
  }
  return changed ? BeatOutcome::kChanged : BeatOutcome::kSame;
}

bool UpstreamLife::Hear(base::Millis now) {
  m_heard_at = now;
  m_owed_since = base::kNever;
  m_silent_since = base::kNever;
  m_check_failed = false;
  return std::exchange(m_silent, false);
}

void UpstreamLife::Owe(base::Millis now) {
  m_owed_since = std::min(m_owed_since, now);
}

bool UpstreamLife::Refuse(base::Millis now) {
  bool news = !IsRefusing(now);
  m_refusing_until = now + kRefusingSpan;
  return news;
}

bool UpstreamLife::OnHealth(bool answered, base::Millis now) {
  m_checking = false;
  m_next_check = now + kCheckInterval;
  if (answered) {
    return Hear(now);
  }
  m_check_failed = true;
  return false;
}

LifeCheck UpstreamLife::OnTick(bool working, base::Millis now) {
  LifeCheck check;
  if (m_state == UpstreamState::kGone && now - m_gone_at >= kGoneLinger) {
    m_gone_at = base::kNever;
    check.ended = true;
  }
  bool owes_opening = OwesOpening(now);
  bool overdue = (owes_opening || working) && HeardAgo(now) >= kSilencePatience;
  // Work may take long, but a new flow is accepted or refused at once.
  if (!m_silent && overdue && (owes_opening || m_check_failed)) {
    m_silent = true;
    m_silent_since = now;
    m_check_failed = false;
    check.fell_silent = true;
  }
  if (!m_silent && !overdue) {
    m_check_failed = false;
    return check;
  }
  if (!m_checking && now >= m_next_check) {
    m_checking = true;
    check.ask_health = true;
  }
  check.dead =
      m_silent && m_check_failed && now - m_silent_since >= kDeadPatience;
  return check;
}

void UpstreamLife::OnPause(base::Millis now) {
  m_heard_at = now;
  m_owed_since = base::kNever;
  if (m_silent) {
    m_silent_since = now;
  }
}

}  // namespace filberthollow::decision
