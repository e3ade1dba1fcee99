#include "filberthollow/decision/flows/upstream_life.h"

#include <algorithm>
#include <array>
#include <utility>

namespace filberthollow::decision::flows {
namespace {

constexpr std::array<std::string_view, 9> kOutcomeNames{
    "unchanged",          "changed",  "first_run",      "new_run",
    "shutdown_announced", "repeated", "other_upstream", "stale",
    "earlier_run"};

}  // namespace

std::string_view HeartbeatOutcomeName(HeartbeatOutcome outcome) {
  return kOutcomeNames.at(static_cast<size_t>(outcome));
}

UpstreamLiveness::UpstreamLiveness(base::ServiceId service,
                                   base::Address upstream,
                                   base::Millis heartbeat_interval,
                                   base::Millis now)
    : m_service(service),
      m_upstream(upstream),
      m_absent_after(heartbeat_interval * kAbsentHeartbeats + kAbsentSlack),
      m_runs(heartbeat_interval),
      m_last_activity(now),
      m_last_flow_packet(now) {}

uint64_t UpstreamLiveness::run() const {
  const UpstreamRun& run = m_runs.current();
  return base::HashBytes(run.id, static_cast<uint64_t>(run.started.count()));
}

bool UpstreamLiveness::IsAbsent(base::Millis now) const {
  // A restarted agent may miss heartbeats of an upstream whose flows it serves.
  return m_state == UpstreamState::kUnknown &&
         now - m_last_flow_packet > m_absent_after;
}

bool UpstreamLiveness::NamesUpstream(const UpstreamHeartbeat& beat) const {
  return base::ServiceIdOf(beat.service) == m_service &&
         beat.address.ip == m_upstream.ip;
}

HeartbeatOutcome UpstreamLiveness::OnHeartbeat(const UpstreamHeartbeat& beat,
                                               base::Millis now) {
  if (beat.state == UpstreamState::kGone) {
    RunVerdict verdict = m_runs.OnEnd(beat.id, beat.started, beat.sequence);
    if (verdict != RunVerdict::kCurrent) {
      return verdict == RunVerdict::kStale ? HeartbeatOutcome::kStale
                                           : HeartbeatOutcome::kOtherUpstream;
    }
    if (m_state == UpstreamState::kGone) {
      return HeartbeatOutcome::kRepeated;
    }
    m_state = UpstreamState::kGone;
    m_shutdown_announced_at = now;
    return HeartbeatOutcome::kShutdownAnnounced;
  }
  if (!NamesUpstream(beat)) {
    return HeartbeatOutcome::kOtherUpstream;
  }
  RunVerdict verdict =
      m_runs.OnHeartbeat({beat.id, beat.started}, beat.sequence, now);
  if (verdict == RunVerdict::kEarlier) {
    return HeartbeatOutcome::kEarlierRun;
  }
  if (verdict == RunVerdict::kStale) {
    return beat.state == m_state ? HeartbeatOutcome::kRepeated
                                 : HeartbeatOutcome::kStale;
  }
  if (verdict != RunVerdict::kCurrent) {
    m_observed_from_start =
        verdict == RunVerdict::kReplaced || beat.sequence <= 1;
    m_previous_run_alive = m_run_alive;
  }
  m_shutdown_announced_at = base::kNever;
  bool changed = m_state != beat.state || m_silent || IsRefusing(now);
  m_state = beat.state;
  m_run_alive = now;
  m_slots = std::max(beat.slots, 1U);
  m_cold_until = now + beat.cold_remaining;
  m_refusing_until = now;
  if (verdict == RunVerdict::kReplaced) {
    return HeartbeatOutcome::kNewRun;
  }
  if (verdict == RunVerdict::kFirst) {
    return HeartbeatOutcome::kFirstRun;
  }
  return changed ? HeartbeatOutcome::kChanged : HeartbeatOutcome::kUnchanged;
}

void UpstreamLiveness::RecordFlowPacket(base::Millis accepted_at,
                                        base::Millis now) {
  m_last_flow_packet = now;
  if (accepted_at <= m_run_alive) {
    m_run_alive = now;
  }
}

bool UpstreamLiveness::RecordActivity(base::Millis now) {
  m_last_activity = now;
  m_opening_delivered_at = base::kNever;
  m_silent_since = base::kNever;
  m_check_failed = false;
  return std::exchange(m_silent, false);
}

void UpstreamLiveness::RecordOpeningDelivered(base::Millis now) {
  m_opening_delivered_at = std::min(m_opening_delivered_at, now);
}

bool UpstreamLiveness::RecordRefusal(base::Millis now) {
  bool newly_refusing = !IsRefusing(now);
  m_refusing_until = now + kRefusalBackoff;
  return newly_refusing;
}

bool UpstreamLiveness::OnHealthCheck(bool answered, base::Millis now) {
  m_check_in_progress = false;
  m_next_check = now + kHealthCheckInterval;
  if (answered) {
    return RecordActivity(now);
  }
  m_check_failed = true;
  return false;
}

LivenessChange UpstreamLiveness::OnTick(bool requests_pending,
                                        base::Millis now) {
  LivenessChange change;
  if (m_state == UpstreamState::kGone &&
      now - m_shutdown_announced_at >= kShutdownGrace &&
      now - m_last_flow_packet >= kShutdownGrace) {
    m_shutdown_announced_at = base::kNever;
    change.shutdown_completed = true;
  }
  bool opening_overdue = IsOpeningOverdue(now);
  bool overdue =
      (opening_overdue || requests_pending) && HeardAgo(now) >= kSilenceTimeout;
  // A request may take long to process, so a missing answer alone is not
  // enough: a health check must fail as well. An opening packet is always
  // answered immediately.
  if (!m_silent && overdue && (opening_overdue || m_check_failed)) {
    m_silent = true;
    m_silent_since = now;
    m_check_failed = false;
    change.became_silent = true;
  }
  if (!m_silent && !overdue) {
    m_check_failed = false;
    return change;
  }
  if (!m_check_in_progress && now >= m_next_check) {
    m_check_in_progress = true;
    change.start_health_check = true;
  }
  change.dead =
      m_silent && m_check_failed && now - m_silent_since >= kDeadTimeout;
  return change;
}

void UpstreamLiveness::OnProcessPaused(base::Millis now) {
  m_runs.OnProcessPaused(now);
  m_last_activity = now;
  m_last_flow_packet = now;
  m_opening_delivered_at = base::kNever;
  if (m_silent) {
    m_silent_since = now;
  }
}

}  // namespace filberthollow::decision::flows
