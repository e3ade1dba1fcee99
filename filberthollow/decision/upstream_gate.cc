#include "filberthollow/decision/upstream_gate.h"

#include <algorithm>
#include <cmath>
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

// Returns how far `a` is after `b` in the circle of sequence numbers.
int32_t Distance(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b);
}

uint64_t RunName(const std::string& id, base::Millis started) {
  return base::HashBytes(id, static_cast<uint64_t>(started.count()));
}

}  // namespace

UpstreamGate::UpstreamGate(GateOptions options, base::Millis now)
    : m_options(options),
      m_started(now),
      m_last_heard(now),
      m_last_tick(now),
      m_rate_at(now) {}

bool UpstreamGate::KnowsAllFlows(base::Millis now) const {
  return m_options.first_start || m_saw_whole_run ||
         now - m_started > m_options.flow_lifetime;
}

Holding UpstreamGate::HoldingOf(const FlowEnds& ends,
                                uint32_t acknowledged,
                                base::Millis now) const {
  auto found = m_flows.find(ends);
  if (found == m_flows.end()) {
    return KnowsAllFlows(now) ? Holding::kNotHeld : Holding::kUnsure;
  }
  const Flow& flow = found->second;
  if (!flow.answered) {
    return Holding::kNotHeld;
  }
  // Two upstreams may have accepted copies of one opening packet; the caller
  // goes on with the one whose sequence numbers it acknowledges.
  int32_t distance = Distance(acknowledged, flow.upstream_end);
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
                                    .taken = !refused,
                                    .reason = refused.value_or(Reason{}),
                                    .state = m_state,
                                    .heard_ago = now - m_last_heard,
                                    .took = took,
                                    .load = LoadNow(now)});
}

void UpstreamGate::OnLocate(const Locate& locate,
                            base::Address balancer,
                            base::Millis now,
                            GateActions& actions) {
  Answer(balancer, locate.flow,
         HoldingOf(locate.flow, locate.acknowledged, now), Reason::kNoSuchFlow,
         "", now, actions);
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
      return;
    }
    NoteCallerPacket(found->second, head, now);
  }
  actions.emplace_back(ToUpstream{forward.packet});
}

std::optional<Reason> UpstreamGate::WhyNotOpen(const Forward& forward,
                                               const PacketHead& head,
                                               base::Millis now) const {
  if (m_state == UpstreamState::kUnknown) {
    return Reason::kNotReady;
  }
  if (m_state != UpstreamState::kReady || m_leaving) {
    return Reason::kDraining;
  }
  if (m_silent) {
    return Reason::kUpstreamSilent;
  }
  if (now < m_refusing_until) {
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
  if (m_open >= m_routes->Connections(m_options.service)) {
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
    m_owed_since = std::min(m_owed_since, now);
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
  actions.emplace_back(ToUpstream{forward.packet});
}

bool UpstreamGate::IsNews(const Flow& flow, const PacketHead& head) {
  uint32_t end = head.sequence + head.data_bytes;
  return !flow.caller_seen || Distance(end, flow.caller_end) > 0;
}

bool UpstreamGate::KeepWaiting(Flow& flow,
                               const Forward& forward,
                               const PacketHead& head,
                               base::Millis now) {
  if (head.resets) {
    // The caller has given up.
    flow.waiting.clear();
    m_queue.Remove(head.FromCaller());
    return false;
  }
  bool waits = !flow.waiting.empty();
  bool begins = !waits && !flow.busy && head.data_bytes > 0 &&
                IsNews(flow, head) && !m_queue.HasRoom(m_busy);
  bool carries = head.data_bytes > 0 || head.finishes;
  if (!begins && !(waits && carries)) {
    return false;
  }
  if (begins) {
    const CompiledRoute* route = m_routes->Find(head.destination);
    flow.waiting_since = now;
    m_queue.Add({.flow = head.FromCaller(),
                 .priority = route == nullptr ? 0 : route->priority,
                 .latency_goal =
                     route == nullptr ? base::Millis(0) : route->latency_goal,
                 .since = now});
  }
  flow.last_used = now;
  flow.caller_acknowledged = head.acknowledged;
  if (flow.waiting.size() < kMaxWaitingPackets) {
    flow.waiting.emplace(head.sequence, forward.packet);
  }
  return true;
}

void UpstreamGate::DeliverWaiting(base::Millis now, GateActions& actions) {
  while (std::optional<FlowEnds> ends = m_queue.Next(m_busy, now)) {
    auto found = m_flows.find(*ends);
    if (found == m_flows.end()) {
      continue;
    }
    Flow& flow = found->second;
    actions.emplace_back(
        RequestWaited{*ends, now - flow.waiting_since, m_queue.size()});
    for (auto& [sequence, packet] : std::exchange(flow.waiting, {})) {
      actions.emplace_back(ToUpstream{std::move(packet)});
    }
    if (flow.stage == Stage::kOffered) {
      flow.stage = Stage::kOpen;
    }
    m_busy_order.emplace_back(now, *ends);
    SetBusy(flow, flow.stage != Stage::kClosed, now);
  }
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
  if (request && !flow.busy) {
    m_busy_order.emplace_back(now, head.FromCaller());
  }
  SetBusy(flow, (flow.busy || request) && !over, now);
}

void UpstreamGate::NoteUpstreamPacket(Flow& flow,
                                      const PacketHead& head,
                                      base::Millis now) {
  flow.last_used = now;
  flow.answered = true;
  uint32_t end = head.sequence + head.data_bytes;
  if (!flow.upstream_seen || Distance(end, flow.upstream_end) > 0) {
    flow.upstream_seen = true;
    flow.upstream_end = end;
  }
  flow.upstream_finished = flow.upstream_finished || head.finishes;
  if (head.resets || (flow.caller_finished && flow.upstream_finished)) {
    flow.stage = Stage::kClosed;
  }
  if (head.data_bytes > 0 || flow.stage == Stage::kClosed) {
    SetBusy(flow, false, now);
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
  NoteUpstreamPacket(flow, head, now);
  if (was_open && flow.stage == Stage::kClosed) {
    --m_open;
  }
  DeliverWaiting(now, actions);
  if (accepted && !added) {
    Answer(flow.balancer, ends, Holding::kHeld, {}, "", now, actions);
    NoteOffer(ends, std::nullopt, now - flow.offered_at, now, actions);
  }
  actions.emplace_back(ToCaller{ends.caller, std::string(packet)});
}

void UpstreamGate::OnBounced(const PacketHead& head,
                             base::Millis now,
                             GateActions& actions) {
  FlowEnds ends = head.FromCaller();
  auto found = m_flows.find(ends);
  if (head.AsksToOpen()) {
    if (found != m_flows.end() && !found->second.answered) {
      Answer(found->second.balancer, ends, Holding::kRefused,
             Reason::kUpstreamRefused, "", now, actions);
      NoteOffer(ends, Reason::kUpstreamRefused, now - found->second.offered_at,
                now, actions);
      if (now >= m_refusing_until) {
        actions.emplace_back(ReportNow{});
      }
      m_refusing_until = now + kRefusingSpan;
      Erase(found, now);
    }
    return;
  }
  if (found == m_flows.end()) {
    return;  // a guess that was wrong; the caller repeats its packet
  }
  // The upstream had accepted the flow and has lost it: it has restarted.
  bool open = found->second.stage == Stage::kOpen;
  if (open && !head.resets) {
    actions.emplace_back(
        ResetCaller{ends, head.acknowledged, Reason::kUpstreamRestarted});
  }
  Erase(found, now);
}

UpstreamGate::Flows::iterator UpstreamGate::Erase(Flows::iterator flow,
                                                  base::Millis now) {
  SetBusy(flow->second, false, now);
  if (!flow->second.waiting.empty()) {
    m_queue.Remove(flow->first);
  }
  if (flow->second.stage != Stage::kClosed) {
    --m_open;
  }
  return m_flows.erase(flow);
}

void UpstreamGate::AdvanceRate(base::Millis now) {
  double span = static_cast<double>((now - m_rate_at).count());
  double keep = std::exp(-span / static_cast<double>(kRateSpan.count()));
  m_busy_mean = m_busy_mean * keep + m_busy * (1 - keep);
  m_rate_at = now;
}

void UpstreamGate::SetBusy(Flow& flow, bool busy, base::Millis now) {
  if (flow.busy == busy) {
    return;
  }
  AdvanceRate(now);
  flow.busy = busy;
  flow.busy_since = now;
  m_busy += busy ? 1 : -1;
}

bool UpstreamGate::OnBeat(const UpstreamBeat& beat,
                          base::Millis now,
                          GateActions& actions) {
  if (beat.state == UpstreamState::kGone) {
    if (beat.id != m_id) {
      return false;
    }
    m_state = UpstreamState::kGone;
    m_gone_at = now;
    actions.emplace_back(ReportNow{});
    return true;
  }
  bool same_run = beat.id == m_id && beat.started == m_run_started;
  if (base::ServiceIdOf(beat.service) != m_options.service ||
      (!same_run && beat.started < m_run_started) ||
      (same_run && beat.sequence <= m_last_sequence)) {
    return false;
  }
  bool had_run = !m_id.empty();
  if (!same_run) {
    if (had_run) {
      LoseFlows(Reason::kUpstreamRestarted, actions);
    }
    m_saw_whole_run = had_run || beat.sequence <= 1;
    m_id = beat.id;
    m_run_started = beat.started;
    m_gone_at = base::kNever;
  }
  bool refusing = now < m_refusing_until;
  bool news = !same_run || m_state != beat.state || m_silent || refusing;
  m_refusing_until = now;
  m_last_sequence = beat.sequence;
  m_state = beat.state;
  m_slots = std::max(beat.slots, 1U);
  m_queue.SetSlots(m_slots);
  m_cold_until = now + beat.cold_for;
  HearUpstream(now, actions);
  if (news) {
    actions.emplace_back(ReportNow{});
  }
  return true;
}

void UpstreamGate::OnHealth(bool answered,
                            base::Millis now,
                            GateActions& actions) {
  m_checking = false;
  m_next_check = now + kCheckInterval;
  m_check_failed = !answered;
  if (!answered) {
    return;
  }
  HearUpstream(now, actions);
}

void UpstreamGate::HearUpstream(base::Millis now, GateActions& actions) {
  if (m_silent) {
    SetSilent(false, now, actions);
  }
  m_last_heard = now;
  m_owed_since = base::kNever;
}

void UpstreamGate::SetSilent(bool silent,
                             base::Millis now,
                             GateActions& actions) {
  actions.emplace_back(UpstreamSilence{silent, now - m_last_heard,
                                       now - m_owed_since >= kOpenPatience});
  m_silent = silent;
  m_silent_since = silent ? now : base::kNever;
  m_check_failed = false;
  actions.emplace_back(ReportNow{});
}

void UpstreamGate::LoseFlows(Reason reason, GateActions& actions) {
  for (const auto& [ends, flow] : m_flows) {
    if (flow.stage == Stage::kOpen) {
      actions.emplace_back(ResetCaller{ends, flow.caller_acknowledged, reason});
    }
  }
  m_flows.clear();
  m_queue.Clear();
  m_busy_order.clear();
  m_open = 0;
  m_busy = 0;
  m_busy_mean = 0;
  m_offers_pending = false;
  m_owed_since = base::kNever;
}

void UpstreamGate::ExpireBusy(base::Millis now) {
  while (!m_busy_order.empty() && now - m_busy_order.front().first > kMaxBusy) {
    auto [since, ends] = m_busy_order.front();
    m_busy_order.pop_front();
    auto found = m_flows.find(ends);
    if (found != m_flows.end() && found->second.busy_since == since) {
      SetBusy(found->second, false, now);
    }
  }
}

void UpstreamGate::CheckSilence(base::Millis now, GateActions& actions) {
  base::Millis unheard = now - m_last_heard;
  bool owes_opening = now - m_owed_since >= kOpenPatience;
  bool owes = owes_opening || m_busy > 0;
  if (!m_silent && owes && unheard >= kSilencePatience) {
    // Work may take long, but a new flow is accepted or refused at once.
    if (owes_opening || m_check_failed) {
      SetSilent(true, now, actions);
    }
  }
  bool doubt = m_silent || (owes && unheard >= kSilencePatience);
  if (!doubt) {
    m_check_failed = false;
    return;
  }
  if (!m_checking && now >= m_next_check) {
    m_checking = true;
    actions.emplace_back(CheckUpstream{});
  }
  bool dead =
      m_silent && m_check_failed && now - m_silent_since >= kDeadPatience;
  if (dead && !m_flows.empty()) {
    LoseFlows(Reason::kUpstreamSilent, actions);
  }
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
    if (now - flow->second.offered_at < kOpenPatience) {
      m_offers_pending = true;
      ++flow;
      continue;
    }
    Answer(flow->second.balancer, flow->first, Holding::kRefused,
           Reason::kUpstreamSilent, "", now, actions);
    NoteOffer(flow->first, Reason::kUpstreamSilent,
              now - flow->second.offered_at, now, actions);
    flow = Erase(flow, now);
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
    // Paused: packets that came meanwhile have yet to be read.
    m_last_heard = now;
    m_owed_since = base::kNever;
    if (m_silent) {
      m_silent_since = now;
    }
    return;
  }
  if (m_state == UpstreamState::kGone && now - m_gone_at >= kGoneLinger) {
    LoseFlows(Reason::kUpstreamRestarted, actions);
    m_gone_at = base::kNever;
  }
  CheckSilence(now, actions);
  ExpireBusy(now);
  DeliverWaiting(now, actions);
  ExpireOffers(now, actions);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    DropOldFlows(now);
  }
}

UpstreamLoad UpstreamGate::LoadNow(base::Millis now) const {
  double span = static_cast<double>((now - m_rate_at).count());
  double keep = std::exp(-span / static_cast<double>(kRateSpan.count()));
  double mean = m_busy_mean * keep + m_busy * (1 - keep);
  return {.slots = Narrow(m_slots),
          .busy = Narrow(static_cast<int64_t>(m_busy + m_queue.size())),
          .open = Narrow(m_open),
          .busy_mean = Narrow(static_cast<int64_t>(mean * kHundredths)),
          .cold_ms = Narrow((m_cold_until - now).count())};
}

UpstreamState UpstreamGate::ReportedState(base::Millis now) const {
  bool absent =
      m_state == UpstreamState::kUnknown && now - m_started > kUnheardUpstream;
  if (m_leaving && absent) {
    return UpstreamState::kGone;
  }
  return m_leaving && m_state == UpstreamState::kReady
             ? UpstreamState::kDraining
             : m_state;
}

UpstreamReport UpstreamGate::Report(base::Millis now) const {
  return {.service = m_options.service,
          .data_centre = m_options.data_centre,
          .run = RunName(m_id, m_run_started),
          .state = ReportedState(now),
          .silent = m_silent || now < m_refusing_until,
          .load = LoadNow(now),
          .revision = m_routes->revision()};
}

}  // namespace filberthollow::decision
