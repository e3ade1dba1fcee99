// The part of FlowRouter that searches for the agent whose upstream holds a
// flow.
#include <algorithm>
#include <utility>

#include "filberthollow/decision/flows/flow_router.h"

namespace filberthollow::decision::flows {

using flow::FlowEnds;
using flow::PacketHeader;
using flow::Reason;

size_t FlowSearch::CountUnsure() const {
  return std::count_if(asked.begin(), asked.end(), [](const auto& entry) {
    return entry.second.holding == Holding::kUnsure;
  });
}

size_t FlowSearch::CountUnanswered() const {
  return std::count_if(asked.begin(), asked.end(),
                       [](const auto& entry) { return !entry.second.holding; });
}

template <class Matches>
size_t FlowSearch::CountAgents(Matches matches) const {
  return std::count_if(
      asked.begin(), asked.end(),
      [&matches](const auto& entry) { return matches(entry.first); });
}

base::Address FlowSearch::UndecidedAgent() const {
  base::Address undecided;
  for (const auto& [address, answer] : asked) {
    if (answer.holding == Holding::kUnsure) {
      return address;
    }
    if (!answer.holding) {
      undecided = address;
    }
  }
  return undecided;
}

void FlowRouter::StartSearch(std::string_view packet,
                             const PacketHeader& header,
                             base::Millis now,
                             RouterActions& actions) {
  FlowEnds ends = header.FromCaller();
  auto found = m_searches.find(ends);
  if (found == m_searches.end()) {
    bool no_agents = m_agents.empty() && KnowsAllAgents(now);
    if (m_searches.size() >= kMaxSearches || no_agents) {
      actions.emplace_back(DropPacket{Reason::kNotReady});
      return;
    }
    FlowSearch search{.acknowledged = header.acknowledged,
                      .started_at = now,
                      .asked_at = now};
    AskNextAgents(ends, search, now);
    found = m_searches.emplace(ends, std::move(search)).first;
  }
  FlowSearch& search = found->second;
  search.acknowledged = header.acknowledged;
  search.has_data = search.has_data || header.data_bytes > 0;
  bool duplicate = std::find(search.packets.begin(), search.packets.end(),
                             packet) != search.packets.end();
  if (!duplicate && search.packets.size() < kMaxPacketsPerSearch) {
    search.packets.emplace_back(packet);
  }
  AdvanceSearch(found, now, actions);
}

bool FlowRouter::AskNextAgents(const FlowEnds& ends,
                               FlowSearch& search,
                               base::Millis now) {
  size_t before = search.asked.size();
  while (search.asked.size() == before &&
         search.likely_rounds < kLikelyRounds.size()) {
    AskLikelyAgents(ends, search, now);
  }
  if (search.asked.size() == before && !search.route_asked) {
    AskRouteAgents(ends, search, now);
  }
  return search.asked.size() > before || AskRemainingAgents(ends, search, now);
}

void FlowRouter::AskLikelyAgents(const FlowEnds& ends,
                                 FlowSearch& search,
                                 base::Millis now) {
  const SearchRound& round = kLikelyRounds.at(search.likely_rounds++);
  const CompiledRoute* route = m_routes->Find(ends.route);
  if (route == nullptr) {
    return;
  }
  std::vector<base::Address> likely =
      LikelyAgents(ends, route->ServiceFor(ends), round);
  AskAgents(
      ends, search,
      [&likely](base::Address address, const Agent& /*agent*/) {
        return std::find(likely.begin(), likely.end(), address) != likely.end();
      },
      now);
}

std::vector<base::Address> FlowRouter::LikelyAgents(
    const FlowEnds& ends,
    base::ServiceId service,
    const SearchRound& round) const {
  using Ranked = std::pair<uint64_t, base::Address>;
  std::vector<Ranked> local;
  std::vector<Ranked> remote;
  uint64_t key = flow::FlowEndsHash{}(ends);
  for (const auto& [address, agent] : m_agents) {
    if (agent.report.service == service && !HasNoUpstream(address)) {
      bool is_local = agent.report.data_centre == m_data_centre;
      (is_local ? local : remote)
          .emplace_back(load::UpstreamRank(key, address), address);
    }
  }
  bool few = local.size() + remote.size() <= kMaxAgentsAskedAtOnce;
  std::vector<base::Address> likely;
  auto take = [&likely, few](std::vector<Ranked>& ranked, size_t count) {
    count = few ? ranked.size() : std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<ptrdiff_t>(count),
                      ranked.end());
    for (size_t i = 0; i < count; ++i) {
      likely.push_back(ranked[i].second);
    }
  };
  take(local, round.local_agents);
  take(remote, round.remote_agents);
  return likely;
}

void FlowRouter::AskRouteAgents(const FlowEnds& ends,
                                FlowSearch& search,
                                base::Millis now) {
  search.route_asked = true;
  const CompiledRoute* route = m_routes->Find(ends.route);
  if (route == nullptr) {
    return;
  }
  AskAgents(
      ends, search,
      [route](base::Address /*address*/, const Agent& agent) {
        return route->Allows(agent.report.service);
      },
      now);
}

template <class Wanted>
void FlowRouter::AskAgents(const FlowEnds& ends,
                           FlowSearch& search,
                           Wanted wanted,
                           base::Millis now) {
  for (const auto& [address, agent] : m_agents) {
    if (wanted(address, agent) && search.asked.try_emplace(address).second) {
      search.asked_at = m_questions.LatestSendTime(now);
      search.repeated = false;
      m_questions.Add(address, {ends, search.acknowledged});
    }
  }
}

bool FlowRouter::AskRemainingAgents(const FlowEnds& ends,
                                    FlowSearch& search,
                                    base::Millis now) {
  if (search.agents_added_when_all_asked == m_agents_added) {
    return false;
  }
  search.agents_added_when_all_asked = m_agents_added;
  size_t before = search.asked.size();
  AskAgents(
      ends, search,
      [](base::Address /*address*/, const Agent& /*agent*/) { return true; },
      now);
  return search.asked.size() > before;
}

bool FlowRouter::ForwardProbes(FlowSearch& search,
                               base::Millis now,
                               RouterActions& actions) {
  bool probed = false;
  for (auto& [address, asked] : search.asked) {
    if (asked.holding != Holding::kUnsure) {
      continue;
    }
    for (; asked.probes_sent < search.packets.size(); ++asked.probes_sent) {
      probed = true;
      actions.emplace_back(SendForward{
          address, NewForward(search.packets[asked.probes_sent], true)});
    }
  }
  if (probed) {
    search.asked_at = now;
  }
  return probed;
}

void FlowRouter::OnFlowFound(const FlowEnds& ends,
                             base::Address agent,
                             base::Millis now,
                             RouterActions& actions) {
  CacheFlow(ends, agent, now);
  m_offers.erase(ends);  // a further upstream would accept the flow, too
  auto found = m_searches.find(ends);
  if (found == m_searches.end()) {
    return;
  }
  FlowSearch& search = found->second;
  actions.emplace_back(
      FlowFound{ends, agent, search.asked.size(), now - search.started_at});
  for (size_t i = search.asked[agent].probes_sent; i < search.packets.size();
       ++i) {
    actions.emplace_back(
        SendForward{agent, NewForward(std::move(search.packets[i]), false)});
  }
  m_searches.erase(found);
}

void FlowRouter::SendQuestions(base::Millis now, RouterActions& actions) {
  for (SendLocate& send : m_questions.Take(now)) {
    if (auto agent = m_agents.find(send.agent); agent != m_agents.end()) {
      agent->second.asked_at = std::min(agent->second.asked_at, now);
    }
    actions.emplace_back(std::move(send));
  }
}

void FlowRouter::RepeatQuestions(const FlowEnds& ends, FlowSearch& search) {
  search.repeated = true;
  for (const auto& [address, asked] : search.asked) {
    if (!asked.holding) {
      m_questions.Add(address, {ends, search.acknowledged});
    }
  }
}

void FlowRouter::OnLocated(const Located& located,
                           base::Address agent,
                           base::Millis now,
                           RouterActions& actions) {
  CheckPause(now, actions);
  NoteAnswer(agent, located.load, now, actions);
  for (const FlowHolding& answer : located.flows) {
    if (answer.holding == Holding::kHeld) {
      OnFlowFound(answer.flow, agent, now, actions);
    } else {
      OnSearchAnswer(answer.flow, answer.holding, agent, now, actions);
    }
  }
  SendQuestions(now, actions);
}

void FlowRouter::OnSearchAnswer(const FlowEnds& ends,
                                Holding holding,
                                base::Address agent,
                                base::Millis now,
                                RouterActions& actions) {
  auto found = m_searches.find(ends);
  if (found == m_searches.end()) {
    return;
  }
  found->second.asked[agent].holding = holding;
  AdvanceSearch(found, now, actions);
}

void FlowRouter::AdvanceSearch(ByFlow<FlowSearch>::iterator search,
                               base::Millis now,
                               RouterActions& actions) {
  const auto& [ends, state] = *search;
  if (HasAllExpectedAnswers(state, now) &&
      TakeNextSearchStep(ends, search->second, now, actions)) {
    ConcludeSearch(ends, state, now, actions);
    m_searches.erase(search);
  }
}

bool FlowRouter::AwaitsAnswer(const FlowSearch& search) const {
  return std::any_of(
      search.asked.begin(), search.asked.end(), [this](const auto& entry) {
        return !entry.second.holding && !HasNoUpstream(entry.first);
      });
}

bool FlowRouter::HasAllExpectedAnswers(const FlowSearch& search,
                                       base::Millis now) const {
  return std::all_of(
      search.asked.begin(), search.asked.end(), [&](const auto& entry) {
        return entry.second.holding || HasNoUpstream(entry.first) ||
               HasLostFlows(entry.first, now);
      });
}

bool FlowRouter::TakeNextSearchStep(const FlowEnds& ends,
                                    FlowSearch& search,
                                    base::Millis now,
                                    RouterActions& actions) {
  while (AskNextAgents(ends, search, now)) {
    if (AwaitsAnswer(search)) {
      return false;
    }
  }
  if (ForwardProbes(search, now, actions)) {
    return false;
  }
  if (search.CountUnsure() > 0) {
    return now - search.asked_at >= kSearchTimeout;
  }
  return KnowsAllAgents(now);
}

void FlowRouter::ConcludeSearch(const FlowEnds& ends,
                                const FlowSearch& search,
                                base::Millis now,
                                RouterActions& actions) {
  bool complete = !search.asked.empty();
  bool rest_lost = complete;  // agents that don't know have lost their flows
  for (const auto& [address, asked] : search.asked) {
    bool holds_none = asked.holding == Holding::kNotHeld ||
                      asked.holding == Holding::kRefused ||
                      HasNoUpstream(address);
    complete = complete && holds_none;
    rest_lost = rest_lost && (holds_none || HasLostFlows(address, now));
  }
  const CompiledRoute* route = m_routes->Find(ends.route);
  bool idempotent = route != nullptr && route->idempotent;
  bool lost = KnowsAllAgents(now) && (complete || (rest_lost && idempotent));
  bool reset = lost && search.has_data;
  actions.emplace_back(
      FlowNotFound{.flow = ends,
                   .reset = reset,
                   .agents_asked = search.asked.size(),
                   .agents_unanswered = search.CountUnanswered(),
                   .agents_unsure = search.CountUnsure(),
                   .agents_without_upstream = search.CountAgents(
                       [this](base::Address a) { return HasNoUpstream(a); }),
                   .agents_lost = search.CountAgents([this, now](auto agent) {
                     return HasLostFlows(agent, now);
                   }),
                   .undecided_agent = search.UndecidedAgent(),
                   .took = now - search.started_at});
  if (reset) {
    actions.emplace_back(
        ResetCaller{ends, search.acknowledged,
                    complete ? Reason::kNoSuchFlow : Reason::kFlowLost});
  } else {
    actions.emplace_back(DropPacket{Reason::kNoSuchFlow});
  }
}

void FlowRouter::TickSearches(base::Millis now, RouterActions& actions) {
  for (auto found = m_searches.begin(); found != m_searches.end();) {
    const FlowEnds& ends = found->first;
    FlowSearch& search = found->second;
    if (!KnowsAllAgents(now) && search.agents_added_when_all_asked) {
      AskRemainingAgents(ends, search, now);  // agents discovered since
    }
    base::Millis age = now - search.asked_at;
    if (age >= kSearchTimeout &&
        TakeNextSearchStep(ends, search, now, actions)) {
      ConcludeSearch(ends, search, now, actions);
      found = m_searches.erase(found);
      continue;
    }
    if (age >= kLocateRetryDelay && !search.repeated) {
      RepeatQuestions(ends, search);
      if (!search.route_asked) {
        AskNextAgents(ends, search, now);
      }
    }
    ++found;
  }
}

}  // namespace filberthollow::decision::flows
