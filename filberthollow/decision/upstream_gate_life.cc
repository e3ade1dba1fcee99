// The part of UpstreamGate that follows whether the upstream lives.
#include "filberthollow/decision/upstream_gate.h"

namespace filberthollow::decision {

using flow::Reason;

bool UpstreamGate::OnBeat(const UpstreamHeartbeat& beat,
                          base::Millis now,
                          GateActions& actions) {
  BeatOutcome outcome = m_life.OnBeat(beat, now);
  if (outcome == BeatOutcome::kIgnored) {
    return false;
  }
  if (outcome == BeatOutcome::kNewRun) {
    LoseFlows(Reason::kUpstreamRestarted, now, actions);
  }
  if (outcome != BeatOutcome::kGone) {
    m_queue.SetSlots(m_life.slots());
    HearUpstream(now, actions);
  }
  if (outcome != BeatOutcome::kSame) {
    actions.emplace_back(ReportNow{});
  }
  return true;
}

void UpstreamGate::OnHealth(bool answered,
                            base::Millis now,
                            GateActions& actions) {
  base::Millis heard_ago = m_life.HeardAgo(now);
  if (m_life.OnHealth(answered, now)) {
    NoteSilence(false, heard_ago, now, actions);
  }
}

void UpstreamGate::HearUpstream(base::Millis now, GateActions& actions) {
  base::Millis heard_ago = m_life.HeardAgo(now);
  if (m_life.Hear(now)) {
    NoteSilence(false, heard_ago, now, actions);
  }
}

void UpstreamGate::NoteSilence(bool silent,
                               base::Millis heard_ago,
                               base::Millis now,
                               GateActions& actions) {
  actions.emplace_back(
      UpstreamSilence{silent, heard_ago, m_life.OwesOpening(now)});
  actions.emplace_back(ReportNow{});
}

void UpstreamGate::LoseFlows(Reason reason,
                             base::Millis now,
                             GateActions& actions) {
  for (const auto& [ends, flow] : m_flows) {
    if (flow.stage == Stage::kOpen) {
      actions.emplace_back(ResetCaller{ends, flow.caller_acknowledged, reason});
    }
  }
  m_flows.clear();
  m_queue.Clear();
  m_meter.Clear(now);
  m_open = 0;
  m_offers_pending = false;
}

void UpstreamGate::CheckLife(base::Millis now, GateActions& actions) {
  LifeCheck check = m_life.OnTick(m_meter.count() > 0, now);
  if (check.fell_silent) {
    NoteSilence(true, m_life.HeardAgo(now), now, actions);
  }
  if (check.ask_health) {
    actions.emplace_back(CheckUpstream{});
  }
  if (check.ended) {
    LoseFlows(Reason::kUpstreamRestarted, now, actions);
    actions.emplace_back(ReportNow{});
  }
  if (check.dead && !m_flows.empty()) {
    LoseFlows(Reason::kUpstreamSilent, now, actions);
  }
}

}  // namespace filberthollow::decision
