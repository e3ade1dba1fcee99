// The part of FleetModel that plays the events of a pattern.
#include <algorithm>

#include "filberthollow/lab/fleet_model.h"
#include "filberthollow/lab/fleet_nodes.h"

namespace filberthollow::lab {
namespace {

using base::Millis;

constexpr Millis kDrainTime{3000};
constexpr Millis kReleaseGap{1000};
constexpr uint32_t kUsualPercent = 100;
constexpr uint32_t kLostDataCentre = 0;

bool RestartsAgents(const PatternEvent& event) {
  return event.event == EventKind::kRestartAll;
}

bool RestartsBalancers(const PatternEvent& event) {
  return RestartsAgents(event) || event.event == EventKind::kRestartBalancers;
}

}  // namespace

void FleetModel::Schedule(const PatternEvent& event) {
  m_engine.At(Millis(event.at_ms), [this, event] { Begin(event); });
  m_engine.At(Millis(event.at_ms) + Millis(event.for_ms),
              [this, event] { End(event); });
}

bool FleetModel::IsLost(const PatternEvent& event, uint32_t data_centre) {
  return event.event == EventKind::kLoseDataCentre &&
         data_centre == kLostDataCentre;
}

void FleetModel::Begin(const PatternEvent& event) {
  if (RestartsBalancers(event)) {
    m_routes_available_at = Millis(event.at_ms) + Millis(event.outage_ms);
  }
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    if (RestartsBalancers(event) ||
        IsLost(event, m_balancers[i]->data_centre)) {
      StopBalancer(i);
    }
  }
  for (size_t i = 0; i < m_agents.size(); ++i) {
    bool lost = IsLost(event, m_agents[i]->data_centre);
    if (RestartsAgents(event) || lost) {
      StopAgent(i);
    }
    if (lost) {
      m_agents[i]->upstream->Crash();
    }
  }
  size_t affected = std::min<size_t>(event.upstreams, m_agents.size());
  for (size_t i = 0; i < affected; ++i) {
    Disturb(event, i);
  }
}

void FleetModel::Disturb(const PatternEvent& event, size_t index) {
  Agent& agent = *m_agents[index];
  switch (event.event) {
    case EventKind::kCrash:
      agent.upstream->Crash();
      break;
    case EventKind::kSlow:
      agent.upstream->SetSlowPercent(event.percent);
      break;
    case EventKind::kGrey:
      agent.upstream->SetRefusedPercent(event.percent);
      break;
    case EventKind::kLyingLoad:
      agent.lies = true;
      break;
    case EventKind::kRelease:
      m_engine.After(kReleaseGap * static_cast<int64_t>(index),
                     [this, index] { Release(index); });
      break;
    default:
      break;  // concerns no single upstream
  }
}

void FleetModel::Release(size_t index) {
  m_agents[index]->upstream->SetDraining(true);
  m_engine.After(kDrainTime,
                 [this, index] { m_agents[index]->upstream->Start(true); });
}

void FleetModel::End(const PatternEvent& event) {
  size_t affected = std::min<size_t>(event.upstreams, m_agents.size());
  for (size_t i = 0; i < m_agents.size(); ++i) {
    Agent& agent = *m_agents[i];
    bool crashed = event.event == EventKind::kCrash && i < affected;
    if (crashed || IsLost(event, agent.data_centre)) {
      agent.upstream->Start(true);
    }
    if (agent.gate == nullptr) {
      StartAgent(i);
    }
    if (i < affected && event.event != EventKind::kRelease) {
      agent.upstream->SetSlowPercent(kUsualPercent);
      agent.upstream->SetRefusedPercent(0);
      agent.lies = false;
    }
  }
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    if (m_balancers[i]->router == nullptr) {
      StartBalancer(i);
    }
  }
}

}  // namespace filberthollow::lab
