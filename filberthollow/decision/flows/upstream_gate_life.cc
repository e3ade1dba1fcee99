// The part of UpstreamGate that tracks the liveness of the upstream.
#include "filberthollow/decision/flows/upstream_gate.h"

namespace filberthollow::decision::flows {

using flow::Reason;

HeartbeatOutcome UpstreamGate::OnHeartbeat(const UpstreamHeartbeat& beat,
                                           base::Millis now,
                                           GateActions& actions) {
  if (WasPaused(now)) {
    m_liveness.OnProcessPaused(now);
  }
  HeartbeatOutcome outcome = m_liveness.OnHeartbeat(beat, now);
  if (outcome == HeartbeatOutcome::kEarlierRun) {
    // It may be the living run, if the clock of its host was set back.
    m_cold_doubt.Raise(now);
  }
  if (IsIgnored(outcome)) {
    return outcome;
  }
  if (outcome == HeartbeatOutcome::kNewRun) {
    m_work.Clear(now);
    ResetFlows(m_liveness.previous_run_alive(), Reason::kUpstreamRestarted, now,
               actions);
  }
  if (outcome != HeartbeatOutcome::kShutdownAnnounced) {
    m_cold_doubt.OnHeartbeat(now);
    m_queue.SetSlots(m_liveness.slots());
    RecordUpstreamActivity(now, actions);
  }
  if (outcome != HeartbeatOutcome::kUnchanged) {
    actions.emplace_back(ReportNow{});
  }
  return outcome;
}

void UpstreamGate::OnHealthCheck(bool answered,
                                 base::Millis now,
                                 GateActions& actions) {
  base::Millis heard_ago = m_liveness.HeardAgo(now);
  if (m_liveness.OnHealthCheck(answered, now)) {
    ReportSilence(false, heard_ago, now, actions);
  }
}

void UpstreamGate::RecordUpstreamActivity(base::Millis now,
                                          GateActions& actions) {
  base::Millis heard_ago = m_liveness.HeardAgo(now);
  if (m_liveness.RecordActivity(now)) {
    ReportSilence(false, heard_ago, now, actions);
  }
}

void UpstreamGate::ReportSilence(bool silent,
                                 base::Millis heard_ago,
                                 base::Millis now,
                                 GateActions& actions) {
  if (silent) {
    m_cold_doubt.Raise(now);  // the upstream may be restarting
  }
  actions.emplace_back(
      UpstreamSilence{silent, heard_ago, m_liveness.IsOpeningOverdue(now)});
  actions.emplace_back(ReportNow{});
}

void UpstreamGate::ResetFlows(base::Millis accepted_until,
                              Reason reason,
                              base::Millis now,
                              GateActions& actions) {
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    const Flow& state = flow->second;
    if ((state.accepted ? state.accepted_at : state.offered_at) >
        accepted_until) {
      ++flow;
      continue;
    }
    if (state.stage == Stage::kOpen) {
      actions.emplace_back(
          ResetCaller{flow->first, state.caller_acknowledged, reason});
    }
    flow = Erase(flow, now);
  }
  if (m_flows.empty()) {
    m_queue.Clear();
    m_meter.Clear(now);
    m_offers_pending = false;
  }
}

void UpstreamGate::SetEvacuated(bool evacuated,
                                base::Millis now,
                                GateActions& actions) {
  if (evacuated == m_evacuated) {
    return;
  }
  m_evacuated = evacuated;
  if (!evacuated) {
    m_cold_doubt.Raise(now);
  }
  actions.emplace_back(ReportNow{});
}

bool UpstreamGate::IsCold(base::Millis now) const {
  // After a pause, packets of callers may be read before the heartbeats of a
  // run that has started meanwhile.
  return m_liveness.ColdTimeLeft(now) > base::Millis(0) ||
         m_cold_doubt.holds() || WasPaused(now);
}

uint16_t UpstreamGate::OpeningsLeft(base::Millis now) const {
  if (!IsCold(now)) {
    return load::kUnlimitedOpenings;
  }
  std::optional<double> rate;
  if (m_routes->revision() > 0) {
    rate = m_routes->ColdLimitOf(m_options.service).requests_per_second;
  }
  return m_cold_limiter.OpeningsLeft(rate, now);
}

void UpstreamGate::CheckLiveness(base::Millis now, GateActions& actions) {
  LivenessChange change = m_liveness.OnTick(m_meter.count() > 0, now);
  if (change.became_silent) {
    ReportSilence(true, m_liveness.HeardAgo(now), now, actions);
  }
  if (change.start_health_check) {
    actions.emplace_back(CheckUpstream{});
  }
  if (change.shutdown_completed) {
    ResetFlows(now, Reason::kUpstreamRestarted, now, actions);
    actions.emplace_back(ReportNow{});
  }
  if (change.dead && !m_flows.empty()) {
    ResetFlows(now, Reason::kUpstreamSilent, now, actions);
  }
}

}  // namespace filberthollow::decision::flows
