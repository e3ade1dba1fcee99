#include "filberthollow/decision/upstream_gate.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace filberthollow::decision {
namespace {

using flow::FlowEnds;
using flow::PacketHead;
using flow::Reason;

constexpr base::Millis kSweepInterval{500};
constexpr double kHundredths = 100.0;

uint16_t Narrow(int64_t value) {
  return static_cast<uint16_t>(std::clamp<int64_t>(value, 0, UINT16_MAX));
}

}  // namespace

UpstreamGate::UpstreamGate(GateOptions options, base::Millis now)
    : m_options(options),
      m_started(now),
      m_life(options.service, options.beat_interval, now),
      m_last_tick(now),
      m_meter(now) {}

bool UpstreamGate::KnowsAllFlows(base::Millis now) const {
  return m_options.first_start || m_life.saw_whole_run() ||
         m_life.IsAbsent(now) || now - m_started > m_options.flow_lifetime;
}

Holding UpstreamGate::HoldingOf(const FlowEnds& ends,
                                uint32_t acknowledged,
                                base::Millis now) const {
  auto found = m_flows.find(ends);
  if (found == m_flows.end()) {
    bool sure = KnowsAllFlows(now) || m_guesses.IsRefuted(ends);
    return sure ? Holding::kNotHeld : Holding::kUnsure;
  }
  const Flow& flow = found->second;
  if (!flow.answered) {
    return Holding::kNotHeld;
  }
  // Two upstreams may have accepted copies of one opening packet; the caller
  // goes on with the one whose sequence numbers it acknowledges.
  int32_t distance = flow::SequenceDistance(acknowledged, flow.upstream_end);
  bool own = std::abs(int64_t{distance}) <= int64_t{kSequenceSlack};
  return own || !flow.upstream_seen ? Holding::kHeld : Holding::kNotHeld;
}

void UpstreamGate::Answer(base::Address balancer,
                          const FlowEnds& ends,
                          Holding holding,
                          Reason reason,
                          std::string packet,
                          base::Millis now,
                          GateActions& actions) const {
  actions.emplace_back(
      AnswerBalancer{balancer, FlowAnswer{.flow = ends,
                                          .holding = holding,
                                          .reason = reason,
                                          .load = LoadNow(now),
                                          .packet = std::move(packet)}});
}

void UpstreamGate::NoteOffer(const FlowEnds& ends,
                             std::optional<Reason> refused,
                             base::Millis took,
                             base::Millis now,
                             GateActions& actions) const {
  actions.emplace_back(OfferDecided{.flow = ends,
                                    .accepted = !refused,
                                    .reason = refused.value_or(Reason{}),
                                    .state = m_life.state(),
                                    .heard_ago = m_life.HeardAgo(now),
                                    .took = took,
                                    .load = LoadNow(now)});
}

void UpstreamGate::OnLocate(const Locate& locate,
                            base::Address balancer,
                            base::Millis now,
                            GateActions& actions) {
  Located answer{.load = LoadNow(now)};
  for (const FlowQuestion& question : locate.flows) {
    answer.flows.push_back(
        {question.flow, HoldingOf(question.flow, question.acknowledged, now)});
  }
  actions.emplace_back(AnswerLocate{balancer, std::move(answer)});
}

void UpstreamGate::OnForward(const Forward& forward,
                             const PacketHead& head,
                             base::Address balancer,
                             base::Millis now,
                             GateActions& actions) {
  if (head.AsksToOpen()) {
    OnOpening(forward, head, balancer, now, actions);
    return;
  }
  FlowEnds ends = head.FromCaller();
  Holding holding = HoldingOf(ends, head.acknowledged, now);
  bool deliver = holding == Holding::kHeld ||
                 (holding == Holding::kUnsure && forward.guess);
  if (!deliver) {
    Answer(balancer, ends, holding, Reason::kNoSuchFlow, forward.packet, now,
           actions);
    return;
  }
  if (auto found = m_flows.find(ends); found != m_flows.end()) {
    found->second.balancer = balancer;
    if (KeepWaiting(found->second, forward, head, now)) {
      if (head.finishes) {
        // The caller has given up. The upstream drops the request, and what it
        // would keep from others here is of no use to anybody.
        m_queue.Remove(ends);
        DeliverRequest(ends, found->second, now, actions);
      }
      return;
    }
    NoteCallerPacket(found->second, head, now);
  } else {
    m_guesses.Begin(ends, {balancer, forward.packet}, now);
  }
  actions.emplace_back(DeliverToUpstream{forward.packet});
}

std::optional<Reason> UpstreamGate::WhyNotOpen(const Forward& forward,
                                               const PacketHead& head,
                                               base::Millis now) const {
  if (m_life.state() == UpstreamState::kUnknown) {
    return Reason::kNotReady;
  }
  if (m_life.state() != UpstreamState::kReady || m_leaving) {
    return Reason::kDraining;
  }
  if (m_life.silent()) {
    return Reason::kUpstreamSilent;
  }
  if (m_life.IsRefusing(now)) {
    return Reason::kUpstreamRefused;
  }
  // A balancer with a newer configuration knows better.
  bool judge =
      m_routes->revision() > 0 && m_routes->revision() >= forward.revision;
  const CompiledRoute* route = m_routes->Find(head.destination);
  if (judge && route == nullptr) {
    return Reason::kNoRoute;
  }
  if (judge && !route->Allows(m_options.service)) {
    return Reason::kWrongService;
  }
  if (m_open >= m_routes->ConnectionLimit(m_options.service)) {
    return Reason::kConnectionLimit;
  }
  return std::nullopt;
}

void UpstreamGate::OnOpening(const Forward& forward,
                             const PacketHead& head,
                             base::Address balancer,
                             base::Millis now,
                             GateActions& actions) {
  FlowEnds ends = head.FromCaller();
  auto found = m_flows.find(ends);
  bool known = found != m_flows.end() && found->second.stage != Stage::kClosed;
  if (!known) {
    if (auto reason = WhyNotOpen(forward, head, now)) {
      Answer(balancer, ends, Holding::kRefused, *reason, "", now, actions);
      NoteOffer(ends, reason, base::Millis(0), now, actions);
      return;
    }
    if (found != m_flows.end()) {
      Erase(found, now);
    }
    found = m_flows.emplace(ends, Flow{.offered_at = now}).first;
    m_life.Owe(now);
    m_offers_pending = true;
    ++m_open;
  }
  Flow& flow = found->second;
  flow.balancer = balancer;
  flow.last_used = now;
  if (flow.answered) {
    // The acceptance may have been lost; the upstream sends it again.
    Answer(balancer, ends, Holding::kHeld, {}, "", now, actions);
  }
  actions.emplace_back(DeliverToUpstream{forward.packet});
}

void UpstreamGate::NoteCallerPacket(Flow& flow,
                                    const PacketHead& head,
                                    base::Millis now) {
  flow.last_used = now;
  flow.caller_acknowledged = head.acknowledged;
  if (flow.stage == Stage::kOffered) {
    flow.stage = Stage::kOpen;
  }
  flow.caller_finished = flow.caller_finished || head.finishes;
  if (head.resets || (flow.caller_finished && flow.upstream_finished)) {
    flow.stage = Stage::kClosed;
  }
  uint32_t end = head.sequence + head.data_bytes;
  bool news = IsNews(flow, head);
  if (news && (head.data_bytes > 0 || !flow.caller_seen)) {
    flow.caller_seen = true;
    flow.caller_end = end;
  }
  bool request = news && head.data_bytes > 0;
  bool over = flow.stage == Stage::kClosed;
  SetBusy(head.FromCaller(), flow, (flow.busy || request) && !over, now);
}

void UpstreamGate::NoteUpstreamPacket(Flow& flow,
                                      const PacketHead& head,
                                      base::Millis now) {
  flow.last_used = now;
  flow.answered = true;
  uint32_t end = head.sequence + head.data_bytes;
  if (!flow.upstream_seen ||
      flow::SequenceDistance(end, flow.upstream_end) > 0) {
    flow.upstream_seen = true;
    flow.upstream_end = end;
  }
  // An agent that has restarted learns from it what the caller has sent before.
  if (head.acknowledges &&
      (!flow.caller_seen ||
       flow::SequenceDistance(head.acknowledged, flow.caller_end) > 0)) {
    flow.caller_seen = true;
    flow.caller_end = head.acknowledged;
  }
  flow.upstream_finished = flow.upstream_finished || head.finishes;
  if (head.resets || (flow.caller_finished && flow.upstream_finished)) {
    flow.stage = Stage::kClosed;
  }
  bool done = head.finishes || flow.stage == Stage::kClosed;
  if (head.data_bytes > 0 || done) {
    SetBusy(head.ToCaller(), flow, false, now);
  }
}

void UpstreamGate::OnUpstreamPacket(std::string_view packet,
                                    const PacketHead& head,
                                    base::Millis now,
                                    GateActions& actions) {
  HearUpstream(now, actions);
  if (head.bounced) {
    OnBounced(head, now, actions);
    return;
  }
  FlowEnds ends = head.ToCaller();
  auto [found, added] = m_flows.try_emplace(ends);
  Flow& flow = found->second;
  if (added) {
    // Opened before this agent started, accepted after the offer was given up,
    // or closed so long ago that it was forgotten. It counts as open once the
    // caller goes on with it.
    flow.offered_at = now;
    ++m_open;
  }
  bool accepted = !flow.answered;
  bool was_open = flow.stage != Stage::kClosed;
  if (flow.busy && head.data_bytes > 0) {
    actions.emplace_back(RequestAnswered{now - flow.busy_since});
  }
  if (head.resets && was_open) {
    actions.emplace_back(UpstreamReset{
        ends, flow.busy, flow.busy ? now - flow.busy_since : base::Millis(0),
        now - flow.offered_at});
  }
  NoteUpstreamPacket(flow, head, now);
  if (was_open && flow.stage == Stage::kClosed) {
    --m_open;
  }
  DeliverWaiting(now, actions);
  if (auto guess = m_guesses.Confirm(ends)) {
    Answer(guess->balancer, ends, Holding::kHeld, {}, "", now, actions);
  }
  if (accepted && !added) {
    Answer(flow.balancer, ends, Holding::kHeld, {}, "", now, actions);
    NoteOffer(ends, std::nullopt, now - flow.offered_at, now, actions);
  }
  actions.emplace_back(DeliverToCaller{ends.caller, std::string(packet)});
}

void UpstreamGate::OnBounced(const PacketHead& head,
                             base::Millis now,
                             GateActions& actions) {
  FlowEnds ends = head.FromCaller();
  auto found = m_flows.find(ends);
  if (head.AsksToOpen()) {
    if (found != m_flows.end() && !found->second.answered) {
      RefuseOffer(found, Reason::kUpstreamRefused, now, actions);
      if (m_life.Refuse(now)) {
        actions.emplace_back(ReportNow{});
      }
    }
    return;
  }
  if (found == m_flows.end()) {
    if (auto guess = m_guesses.Refute(ends, now)) {
      Answer(guess->balancer, ends, Holding::kNotHeld, Reason::kNoSuchFlow,
             std::move(guess->packet), now, actions);
    }
    return;
  }
  // The upstream had accepted the flow and has lost it: it has restarted.
  bool open = found->second.stage == Stage::kOpen;
  if (open && !head.resets) {
    actions.emplace_back(
        ResetCaller{ends, head.acknowledged, Reason::kUpstreamRestarted});
  }
  Erase(found, now);
}

UpstreamGate::Flows::iterator UpstreamGate::RefuseOffer(Flows::iterator flow,
                                                        Reason reason,
                                                        base::Millis now,
                                                        GateActions& actions) {
  Answer(flow->second.balancer, flow->first, Holding::kRefused, reason, "", now,
         actions);
  NoteOffer(flow->first, reason, now - flow->second.offered_at, now, actions);
  return Erase(flow, now);
}

UpstreamGate::Flows::iterator UpstreamGate::Erase(Flows::iterator flow,
                                                  base::Millis now) {
  SetBusy(flow->first, flow->second, false, now);
  if (!flow->second.waiting.empty()) {
    m_queue.Remove(flow->first);
  }
  if (flow->second.stage != Stage::kClosed) {
    --m_open;
  }
  return m_flows.erase(flow);
}

void UpstreamGate::ExpireOffers(base::Millis now, GateActions& actions) {
  if (!m_offers_pending) {
    return;
  }
  m_offers_pending = false;
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    if (flow->second.answered) {
      ++flow;
      continue;
    }
    if (now - flow->second.offered_at < UpstreamLife::kOpenPatience) {
      m_offers_pending = true;
      ++flow;
      continue;
    }
    flow = RefuseOffer(flow, Reason::kUpstreamSilent, now, actions);
  }
}

void UpstreamGate::DropOldFlows(base::Millis now) {
  base::Millis idle = m_routes->idle_timeout();
  for (auto flow = m_flows.begin(); flow != m_flows.end();) {
    base::Millis unused = now - flow->second.last_used;
    bool closed = flow->second.stage == Stage::kClosed;
    bool old = closed ? unused > kClosedLinger
                      : idle > base::Millis(0) && unused > idle + kClosedLinger;
    flow = old ? Erase(flow, now) : std::next(flow);
  }
}

void UpstreamGate::OnTick(base::Millis now, GateActions& actions) {
  base::Millis gap = now - m_last_tick;
  m_last_tick = now;
  if (gap > kMaxTickGap) {
    m_life.OnPause(now);
    return;
  }
  CheckLife(now, actions);
  ExpireBusy(now);
  DeliverWaiting(now, actions);
  ExpireOffers(now, actions);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    DropOldFlows(now);
    m_guesses.Forget(now);
  }
}

UpstreamLoad UpstreamGate::LoadNow(base::Millis now) const {
  auto mean = static_cast<int64_t>(m_meter.Mean(now) * kHundredths);
  auto busy = static_cast<int64_t>(m_meter.count() + m_queue.size());
  return {.slots = Narrow(m_life.slots()),
          .busy = Narrow(busy),
          .open = Narrow(m_open),
          .busy_mean = Narrow(mean),
          .cold_ms = Narrow(m_life.ColdFor(now).count())};
}

UpstreamState UpstreamGate::ReportedState(base::Millis now) const {
  if (m_life.IsAbsent(now)) {
    return UpstreamState::kGone;
  }
  // Until it has ended, an upstream that has said its last word keeps its
  // flows.
  bool closing = (m_leaving && m_life.state() == UpstreamState::kReady) ||
                 m_life.IsEnding();
  return closing ? UpstreamState::kDraining : m_life.state();
}

UpstreamReport UpstreamGate::Report(base::Millis now) const {
  UpstreamState state = ReportedState(now);
  return {.service = m_options.service,
          .data_centre = m_options.data_centre,
          .run = m_life.run(),
          .state = state,
          .silent = m_life.silent() || m_life.IsRefusing(now),
          .load = LoadNow(now),
          .revision = m_routes->revision(),
          .leaving =
              m_leaving && state != UpstreamState::kGone && !m_life.IsEnding()};
}

}  // namespace filberthollow::decision
