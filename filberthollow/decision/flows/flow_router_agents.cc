// The part of FlowRouter that keeps what it knows of agents.
#include <algorithm>

#include "filberthollow/decision/flows/flow_router.h"

namespace filberthollow::decision::flows {

base::Millis FlowRouter::ReportPatience(const Agent& agent) {
  return std::max(kMinSilence, agent.report.interval * kMaxMissedReports);
}

bool FlowRouter::IsIdentified(const Agent& agent, base::Millis now) {
  return agent.reported && now - agent.reported_at <= ReportPatience(agent);
}

bool FlowRouter::IsSilent(const Agent& agent, base::Millis now) const {
  return now - agent.heard_at > ReportPatience(agent) ||
         now - agent.asked_at > kMinSilence ||
         (m_isolated && !WasHeardRecently(agent, now));
}

bool FlowRouter::HasLostFlows(base::Address agent, base::Millis now) const {
  auto found = m_agents.find(agent);
  return found == m_agents.end() ||
         (IsSilent(found->second, now) && !found->second.report.leaving);
}

bool FlowRouter::HasNoUpstream(base::Address agent) const {
  auto found = m_agents.find(agent);
  return found != m_agents.end() &&
         found->second.report.state == UpstreamState::kGone;
}

bool FlowRouter::KnowsAllAgents(base::Millis now) const {
  return now - m_started >
         std::max(kDiscoveryPeriod, m_longest_interval * kDiscoveryReports);
}

bool FlowRouter::WasHeardRecently(const Agent& agent, base::Millis now) {
  base::Millis patience = std::max(
      kIsolationTimeout, agent.report.interval * kIsolationMissedReports);
  return now - agent.heard_at <= patience;
}

void FlowRouter::CheckIsolation(base::Millis now) {
  size_t known = 0;
  size_t heard = 0;
  for (const auto& [address, agent] : m_agents) {
    known += agent.heard && now - agent.heard_at < kIsolationWindow ? 1 : 0;
    heard += agent.heard && WasHeardRecently(agent, now) ? 1 : 0;
  }
  m_isolated = heard * kIsolationDivisor < known;
}

bool FlowRouter::AcceptsNewFlows(const Agent& agent, base::Millis now) const {
  return agent.report.state == UpstreamState::kReady && !agent.report.silent &&
         !agent.offer_unanswered && !IsSilent(agent, now) &&
         IsIdentified(agent, now);
}

bool FlowRouter::IsReady(base::Millis now) const {
  bool hears_agent = false;
  bool agent_has_routes = false;
  for (const auto& [address, agent] : m_agents) {
    hears_agent = hears_agent || (agent.heard && !IsSilent(agent, now));
    agent_has_routes = agent_has_routes || agent.report.revision > 0;
  }
  return hears_agent && !m_isolated && (HasRoutes() || !agent_has_routes);
}

std::vector<base::Address> FlowRouter::Agents() const {
  std::vector<base::Address> agents;
  for (const auto& [address, agent] : m_agents) {
    agents.push_back(address);
  }
  return agents;
}

std::vector<UpstreamReport> FlowRouter::Reports() const {
  std::vector<UpstreamReport> reports;
  for (const auto& [address, agent] : m_agents) {
    reports.push_back(agent.report);
  }
  return reports;
}

bool FlowRouter::OnReport(const UpstreamReport& report,
                          base::Address agent,
                          base::Millis now) {
  if (report.confirmation == ReportConfirmation::kUnsupported) {
    m_longest_interval = std::max(m_longest_interval, report.interval);
  }
  m_newest_revision = std::max(m_newest_revision, report.revision);
  auto [known, added] = m_agents.try_emplace(agent);
  m_agents_added += added ? 1 : 0;
  bool starts_leaving = report.leaving && !known->second.report.leaving;
  known->second = Agent{.report = report,
                        .heard_at = now,
                        .load_reported_at = now,
                        .silent = known->second.silent,
                        .reported = true,
                        .reported_at = now};
  return starts_leaving;
}

bool FlowRouter::HasReportOf(base::Address agent, base::Millis now) const {
  auto found = m_agents.find(agent);
  return found != m_agents.end() && IsIdentified(found->second, now);
}

void FlowRouter::OnKnownAgents(const KnownAgents& known, base::Millis now) {
  for (const KnownAgent& named : known.agents) {
    base::Millis heard_at = now - named.heard_ago;
    if (named.heard_ago > kAgentExpiry) {
      continue;
    }
    auto [found, added] = m_agents.try_emplace(named.agent);
    Agent& agent = found->second;
    if (added) {
      ++m_agents_added;
      agent = {.report = {.service = named.service},
               .heard_at = heard_at,
               .load_reported_at = now,
               .heard = false};
    }
    // An agent may announce its restart before it knows this balancer.
    if (heard_at >= agent.heard_at) {
      agent.heard_at = heard_at;
      agent.report.leaving = named.leaving;
    }
    agent.silent = added ? IsSilent(agent, now) : agent.silent;
  }
}

std::vector<KnownAgents> FlowRouter::ListAgents(base::Millis now,
                                                AgentFilter filter) const {
  std::vector<KnownAgents> lists;
  for (const auto& [address, agent] : m_agents) {
    bool absent = agent.report.leaving || IsSilent(agent, now);
    if (HasNoUpstream(address) || (filter == AgentFilter::kAbsent && !absent)) {
      continue;
    }
    if (lists.empty() || lists.back().agents.size() == kMaxKnownAgents) {
      lists.emplace_back();
    }
    lists.back().agents.push_back({.agent = address,
                                   .service = agent.report.service,
                                   .leaving = agent.report.leaving,
                                   .heard_ago = now - agent.heard_at});
  }
  return lists;
}

void FlowRouter::NoteAnswer(base::Address address,
                            const load::UpstreamLoad& load,
                            base::Millis now,
                            RouterActions& actions) {
  auto known = m_agents.find(address);
  if (known == m_agents.end()) {
    return;
  }
  Agent& agent = known->second;
  agent.heard = true;
  agent.heard_at = now;
  agent.asked_at = base::kNever;
  agent.report.load = load;
  agent.load_reported_at = now;
  agent.placed_since_load = 0;
  if (agent.reported && !IsIdentified(agent, now) &&
      now - agent.report_asked_at >= kReportRetryDelay) {
    agent.report_asked_at = now;
    actions.emplace_back(ReportNeeded{address, now - agent.reported_at});
  }
}

void FlowRouter::NoteSilence(base::Millis now, RouterActions& actions) {
  // An agent whose upstream has terminated stops reporting as planned.
  std::erase_if(m_agents, [&](const auto& entry) {
    return entry.second.report.state == UpstreamState::kGone &&
           IsSilent(entry.second, now);
  });
  for (auto& [address, agent] : m_agents) {
    bool silent = IsSilent(agent, now);
    if (silent != agent.silent) {
      agent.silent = silent;
      actions.emplace_back(
          AgentSilence{address, silent, m_isolated, now - agent.heard_at});
    }
  }
}

}  // namespace filberthollow::decision::flows
