#include "filberthollow/decision/flows/flow_router.h"

#include <algorithm>
#include <utility>

#include "filberthollow/decision/load/opening_room.h"

namespace filberthollow::decision::flows {
namespace {

using flow::FlowEnds;
using flow::PacketHeader;
using flow::Reason;

constexpr base::Millis kSweepInterval{1000};

}  // namespace

FlowRouter::FlowRouter(uint64_t data_centre,
                       base::Millis now,
                       const load::UpstreamChoice& choice)
    : m_data_centre(data_centre),
      m_choice(choice),
      m_started(now),
      m_last_tick(now) {}

void FlowRouter::OnCallerPacket(std::string_view packet,
                                const PacketHeader& header,
                                base::Millis now,
                                RouterActions& actions) {
  CheckPause(now, actions);
  if (header.AsksToOpen()) {
    OnOpening(packet, header, now, actions);
  } else {
    OnFlowPacket(packet, header, now, actions);
  }
}

void FlowRouter::OnOpening(std::string_view packet,
                           const PacketHeader& header,
                           base::Millis now,
                           RouterActions& actions) {
  FlowEnds ends = header.FromCaller();
  const CompiledRoute* route = m_routes->Find(ends.route);
  if (HasRoutes() && route == nullptr) {
    // The caller retransmits its packet; the route may be known by then.
    if (IsBehind()) {
      actions.emplace_back(DropPacket{Reason::kNoRoute});
    } else {
      actions.emplace_back(ResetCaller{ends, 0, Reason::kNoRoute});
    }
    return;
  }
  if (auto known = m_known_flows.find(ends); known != m_known_flows.end()) {
    // A duplicate: the acceptance was lost on its way to the caller.
    known->second.last_used = now;
    auto service =
        route != nullptr ? route->ServiceFor(ends) : base::ServiceId();
    actions.emplace_back(SendForward{known->second.agent,
                                     NewOffer(std::string(packet), service)});
    return;
  }
  if (m_offers.contains(ends)) {
    return;  // a duplicate: the pending offer decides
  }
  Offer offer{.packet = std::string(packet), .received_at = now};
  if (OfferNext(ends, offer, now, actions)) {
    m_offers.emplace(ends, std::move(offer));
  }
}

std::vector<load::UpstreamCandidate> FlowRouter::CandidatesFor(
    base::ServiceId service,
    const Offer& offer,
    base::Millis now) const {
  std::vector<load::UpstreamCandidate> candidates;
  for (const auto& [address, agent] : m_agents) {
    bool tried = std::find(offer.tried.begin(), offer.tried.end(), address) !=
                 offer.tried.end();
    if (agent.report.service == service && !tried &&
        AcceptsNewFlows(agent, now)) {
      candidates.push_back({address, agent.report.data_centre,
                            agent.report.load, agent.placed_since_load,
                            now - agent.load_reported_at});
    }
  }
  return candidates;
}

bool FlowRouter::OfferNext(const FlowEnds& ends,
                           Offer& offer,
                           base::Millis now,
                           RouterActions& actions) {
  bool may_wait = offer.tried.empty() && now - m_started < kDiscoveryPeriod;
  bool must_wait = m_evacuation_filter.MustWait(HasRoutes(), now);
  if (offer.tried.empty() && (must_wait || (!HasRoutes() && may_wait))) {
    return true;
  }
  const CompiledRoute* route = m_routes->Find(ends.route);
  if (route == nullptr && !offer.any_unanswered) {
    actions.emplace_back(ResetCaller{
        ends, 0, HasRoutes() ? Reason::kNoRoute : Reason::kNotReady});
    return false;
  }
  std::vector<load::UpstreamCandidate> candidates;
  if (route != nullptr && offer.tried.size() < kMaxOffers) {
    candidates = CandidatesFor(route->ServiceFor(ends), offer, now);
  }
  Reason reason = offer.refusal;
  if (m_evacuation_filter.RemoveEvacuated(candidates)) {
    reason = Reason::kEvacuated;
  }
  if (load::RemoveCandidatesWithoutRoom(candidates)) {
    reason = Reason::kColdLimit;
  }
  load::ChoiceContext context{m_data_centre, flow::FlowEndsHash{}(ends),
                              load::UsualWorkUs(candidates)};
  std::optional<size_t> best = m_choice.Choose(candidates, context);
  if (!best && may_wait) {
    return true;
  }
  if (!best) {
    // An upstream that has not answered may have accepted the flow. The
    // caller retransmits its packet, and eventually gives up by itself.
    if (offer.any_unanswered) {
      actions.emplace_back(DropPacket{reason});
    } else {
      actions.emplace_back(ResetCaller{ends, 0, reason});
    }
    return false;
  }
  offer.agent = candidates[*best].agent;
  offer.tried.push_back(offer.agent);
  offer.sent_at = now;
  Agent& agent = m_agents[offer.agent];
  actions.emplace_back(
      OfferMade{.flow = ends,
                .agent = offer.agent,
                .tries = offer.tried.size(),
                .candidates = candidates.size(),
                .load = agent.report.load,
                .load_age = now - agent.load_reported_at,
                .placed_since_load = agent.placed_since_load,
                .usual_work_us = static_cast<uint32_t>(context.usual_work_us)});
  ++agent.placed_since_load;
  actions.emplace_back(SendForward{
      offer.agent, NewOffer(offer.packet, route->ServiceFor(ends))});
  return true;
}

void FlowRouter::OnFlowPacket(std::string_view packet,
                              const PacketHeader& header,
                              base::Millis now,
                              RouterActions& actions) {
  FlowEnds ends = header.FromCaller();
  const CompiledRoute* route = m_routes->Find(ends.route);
  bool may_lack_route = IsBehind() || !KnowsAllAgents(now);
  if (HasRoutes() && route == nullptr && !may_lack_route) {
    // The route was removed from the configuration, which ends its flows.
    m_known_flows.erase(ends);
    actions.emplace_back(
        ResetCaller{ends, header.acknowledged, Reason::kNoRoute});
    return;
  }
  auto known = m_known_flows.find(ends);
  if (known == m_known_flows.end()) {
    StartSearch(packet, header, now, actions);
    SendQuestions(now, actions);
    return;
  }
  known->second.last_used = now;
  bool idempotent = route != nullptr && route->idempotent;
  if (HasLostFlows(known->second.agent, now) && idempotent &&
      header.data_bytes > 0) {
    // After a reset the caller repeats idempotent requests elsewhere. Search
    // first, since another upstream may have accepted the flow, too, and be
    // the one that the caller continues with. Requests that are not
    // idempotent are still forwarded, since the upstream may be processing
    // them.
    m_known_flows.erase(known);
    StartSearch(packet, header, now, actions);
    SendQuestions(now, actions);
    return;
  }
  actions.emplace_back(
      SendForward{known->second.agent, NewForward(std::string(packet), false)});
}

void FlowRouter::CacheFlow(const FlowEnds& ends,
                           base::Address agent,
                           base::Millis now) {
  if (m_known_flows.size() < kMaxKnownFlows || m_known_flows.contains(ends)) {
    m_known_flows[ends] = {agent, now};
  }
}

void FlowRouter::ForgetFlow(const FlowEnds& ends, base::Address agent) {
  auto known = m_known_flows.find(ends);
  if (known != m_known_flows.end() && known->second.agent == agent) {
    m_known_flows.erase(known);
  }
}

void FlowRouter::OnAnswer(const FlowAnswer& answer,
                          const PacketHeader& header,
                          base::Address agent,
                          base::Millis now,
                          RouterActions& actions) {
  CheckPause(now, actions);
  NoteAnswer(agent, answer.load, now, actions);
  auto offer = m_offers.find(answer.flow);
  if (answer.holding == Holding::kHeld) {
    if (offer != m_offers.end()) {
      actions.emplace_back(
          OfferAccepted{answer.flow, agent, now - offer->second.received_at});
    }
    OnFlowFound(answer.flow, agent, now, actions);
    return;
  }
  if (answer.holding == Holding::kRefused) {
    if (offer == m_offers.end() && answer.reason == Reason::kWrongService) {
      // The cached agent has ended, and another one has its address.
      ForgetFlow(answer.flow, agent);
    }
    bool current = offer != m_offers.end() && offer->second.agent == agent;
    if (current && answer.reason == Reason::kUpstreamSilent) {
      // The upstream has the packet and may still accept the flow.
      offer->second.any_unanswered = true;
    }
    if (current && (answer.reason == Reason::kColdLimit ||
                    answer.reason == Reason::kEvacuated)) {
      offer->second.refusal = answer.reason;
    }
    if (current && !OfferNext(answer.flow, offer->second, now, actions)) {
      m_offers.erase(offer);
    }
    return;
  }
  if (!answer.packet.empty()) {
    ForgetFlow(answer.flow, agent);
    StartSearch(answer.packet, header, now, actions);
  }
  OnSearchAnswer(answer.flow, answer.holding, agent, now, actions);
  SendQuestions(now, actions);
}

void FlowRouter::TickOffers(base::Millis now, RouterActions& actions) {
  for (auto offer = m_offers.begin(); offer != m_offers.end();) {
    bool pending = true;
    bool unsent = offer->second.tried.empty();
    if (unsent || now - offer->second.sent_at >= kOfferTimeout) {
      if (auto agent = m_agents.find(offer->second.agent);
          agent != m_agents.end()) {
        agent->second.offer_unanswered = true;
      }
      offer->second.any_unanswered = offer->second.any_unanswered || !unsent;
      pending = OfferNext(offer->first, offer->second, now, actions);
    }
    offer = pending ? std::next(offer) : m_offers.erase(offer);
  }
}

void FlowRouter::Sweep(base::Millis now) {
  base::Millis idle = m_routes->idle_timeout();
  std::erase_if(m_known_flows, [&](const auto& entry) {
    return idle > base::Millis(0) && now - entry.second.last_used > idle;
  });
  std::erase_if(m_agents, [&](const auto& entry) {
    return now - entry.second.heard_at > kAgentExpiry;
  });
  m_newest_revision = 0;
  for (const auto& [address, agent] : m_agents) {
    m_newest_revision = std::max(m_newest_revision, agent.report.revision);
  }
}

bool FlowRouter::CheckPause(base::Millis now, RouterActions& actions) {
  base::Millis gap = now - m_last_tick;
  if (gap <= kMaxTickGap) {
    return false;
  }
  m_last_tick = now;
  m_started = std::min(m_started + gap, now);
  for (auto& [address, agent] : m_agents) {
    agent.heard_at = std::min(agent.heard_at + gap, now);
    agent.reported_at = std::min(agent.reported_at + gap, now);
    if (agent.asked_at != base::kNever) {
      agent.asked_at = std::min(agent.asked_at + gap, now);
    }
  }
  actions.emplace_back(ProcessPaused{gap});
  return true;
}

void FlowRouter::OnTick(base::Millis now, RouterActions& actions) {
  if (CheckPause(now, actions)) {
    return;
  }
  m_last_tick = now;
  CheckIsolation(now);
  NoteSilence(now, actions);
  TickOffers(now, actions);
  TickSearches(now, actions);
  SendQuestions(now, actions);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    Sweep(now);
  }
}

}  // namespace filberthollow::decision::flows
