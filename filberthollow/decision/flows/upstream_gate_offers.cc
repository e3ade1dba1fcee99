// The part of UpstreamGate that offers new flows to the upstream or refuses
// them.
#include <utility>

#include "filberthollow/decision/flows/upstream_gate.h"

namespace filberthollow::decision::flows {

using flow::FlowEnds;
using flow::PacketHeader;
using flow::Reason;

void UpstreamGate::ReportOffer(const FlowEnds& ends,
                               const Offerer& offerer,
                               std::optional<Reason> refused,
                               base::Millis took,
                               base::Millis now,
                               GateActions& actions) const {
  actions.emplace_back(OfferDecided{.flow = ends,
                                    .offerer = offerer,
                                    .accepted = !refused,
                                    .reason = refused.value_or(Reason{}),
                                    .state = m_liveness.state(),
                                    .heard_ago = m_liveness.HeardAgo(now),
                                    .took = took,
                                    .load = CurrentLoad(now),
                                    .cold = IsCold(now)});
}

std::optional<Reason> UpstreamGate::RouteRefusalReason(
    const Forward& forward,
    const PacketHeader& header,
    const ForwardSource& source) const {
  if (m_routes->revision() > 0 && m_routes->revision() >= forward.revision) {
    const CompiledRoute* route = m_routes->Find(header.destination);
    if (route == nullptr) {
      return Reason::kNoRoute;
    }
    return route->Allows(m_options.service)
               ? std::nullopt
               : std::make_optional(Reason::kWrongService);
  }
  // The balancer has a newer configuration, so its choice of service counts.
  // Whether this upstream is of that service it knows from the last report from
  // this address, which may be that of another agent that had the address
  // before.
  if (forward.service != base::ServiceId{}) {
    return forward.service == m_options.service
               ? std::nullopt
               : std::make_optional(Reason::kWrongService);
  }
  return source.has_report ? std::nullopt
                           : std::make_optional(Reason::kNotReady);
}

std::optional<Reason> UpstreamGate::RefusalReason(const Forward& forward,
                                                  const PacketHeader& header,
                                                  const ForwardSource& source,
                                                  base::Millis now) const {
  if (m_liveness.state() == UpstreamState::kUnknown) {
    return Reason::kNotReady;
  }
  if (m_liveness.state() != UpstreamState::kReady || m_leaving) {
    return Reason::kDraining;
  }
  if (m_evacuated) {
    return Reason::kEvacuated;
  }
  if (m_liveness.silent()) {
    return Reason::kUpstreamSilent;
  }
  if (m_liveness.IsRefusing(now)) {
    return Reason::kUpstreamRefused;
  }
  if (auto reason = RouteRefusalReason(forward, header, source)) {
    return reason;
  }
  if (m_open_flows >= m_routes->ConnectionLimit(m_options.service)) {
    return Reason::kConnectionLimit;
  }
  if (OpeningsLeft(now) == 0) {
    return Reason::kColdLimit;
  }
  return std::nullopt;
}

void UpstreamGate::OnOpeningPacket(const Forward& forward,
                                   const PacketHeader& header,
                                   const ForwardSource& source,
                                   base::Millis now,
                                   GateActions& actions) {
  Offerer offerer{.balancer = source.balancer,
                  .revision = forward.revision,
                  .service = forward.service,
                  .has_report = source.has_report};
  FlowEnds ends = header.FromCaller();
  auto found = m_flows.find(ends);
  bool known = found != m_flows.end() && found->second.stage != Stage::kClosed;
  if (!known) {
    if (auto reason = RefusalReason(forward, header, source, now)) {
      SendAnswer(source.balancer, ends, Holding::kRefused, *reason, "", now,
                 actions);
      ReportOffer(ends, offerer, reason, base::Millis(0), now, actions);
      return;
    }
    if (found != m_flows.end()) {
      Erase(found, now);
    }
    found = m_flows.emplace(ends, Flow{.offerer = offerer, .offered_at = now})
                .first;
    m_liveness.RecordOpeningDelivered(now);
    m_offers_pending = true;
    ++m_open_flows;
  }
  Flow& flow = found->second;
  flow.balancer = source.balancer;
  flow.last_used = now;
  if (flow.accepted) {
    // The caller may not have received the acceptance. The upstream sends it
    // again when it gets this copy of the opening packet.
    SendAnswer(source.balancer, ends, Holding::kHeld, {}, "", now, actions);
  }
  m_cold_limiter.RecordOpening(now);
  actions.emplace_back(DeliverToUpstream{forward.packet});
}

UpstreamGate::Flows::iterator UpstreamGate::RefuseOffer(Flows::iterator flow,
                                                        Reason reason,
                                                        base::Millis now,
                                                        GateActions& actions) {
  SendAnswer(flow->second.balancer, flow->first, Holding::kRefused, reason, "",
             now, actions);
  ReportOffer(flow->first, flow->second.offerer, reason,
              now - flow->second.offered_at, now, actions);
  return Erase(flow, now);
}

void UpstreamGate::ExpireOffers(base::Millis now, GateActions& actions) {
  if (!m_offers_pending) {
    return;
  }
  m_offers_pending = false;
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    if (flow->second.accepted) {
      ++flow;
      continue;
    }
    if (now - flow->second.offered_at < UpstreamLiveness::kOpenTimeout) {
      m_offers_pending = true;
      ++flow;
      continue;
    }
    flow = RefuseOffer(flow, Reason::kUpstreamSilent, now, actions);
  }
}

}  // namespace filberthollow::decision::flows
