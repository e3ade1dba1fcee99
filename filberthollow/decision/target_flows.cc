#include "filberthollow/decision/target_flows.h"

#include <algorithm>
#include <utility>

namespace filberthollow::decision {
namespace {

using base::Millis;
using flow::Reason;
using flow::RunState;

constexpr uint16_t kHttpServiceUnavailable = 503;
constexpr Millis kRetryAfterBusy{200};

// Refusals that another target may not share carry a hint when to retry.
Millis RetryAfter(Reason reason) {
  switch (reason) {
    case Reason::kQueueFull:
    case Reason::kRetryShare:
    case Reason::kUpstreamShed:
    case Reason::kNotReady:
      return kRetryAfterBusy;
    default:
      return Millis(0);
  }
}

}  // namespace

TargetFlows::TargetFlows(TargetIdentity identity,
                         TargetLimits limits,
                         flow::KeyRing keys)
    : m_identity(identity),
      m_limits(limits),
      m_keys(std::move(keys)),
      m_admission(limits.admission) {}

void TargetFlows::SetLimits(TargetLimits limits) {
  m_limits = limits;
  m_admission.SetLimits(limits.admission);
}

void TargetFlows::SetReadiness(Readiness readiness) {
  if (m_readiness != Readiness::kDraining) {
    m_readiness = readiness;
  }
}

uint32_t TargetFlows::unfinished() const {
  return static_cast<uint32_t>(m_active.size());
}

AgentActions TargetFlows::OnMessage(const flow::RelayedUp& message,
                                    Origin origin,
                                    Millis now) {
  AgentActions actions;
  if (const auto* open = std::get_if<flow::Open>(&message.message)) {
    OnOpen(*open, message, origin, now, actions);
    return actions;
  }
  Flow* flow = FindFlow(message.message, origin, actions);
  if (flow == nullptr) {
    return actions;
  }
  flow->last_used = now;
  flow->used = true;
  if (const auto* request = std::get_if<flow::Request>(&message.message)) {
    OnRequest(*request, *flow, origin, now, actions);
  } else if (const auto* fetch = std::get_if<flow::Fetch>(&message.message)) {
    OnFetch(*fetch, *flow, origin, actions);
  } else if (const auto* cancel = std::get_if<flow::Cancel>(&message.message)) {
    OnCancel(*cancel, *flow, origin, actions);
  } else {
    EraseFlow(flow->token.flow, actions);
  }
  return actions;
}

std::optional<Reason> TargetFlows::WhyNotOpen(const flow::Open& open,
                                              base::Address caller) const {
  if (open.service != m_identity.service) {
    return Reason::kWrongService;
  }
  if (m_readiness == Readiness::kDraining) {
    return Reason::kDraining;
  }
  if (m_readiness == Readiness::kNotReady) {
    return Reason::kNotReady;
  }
  if (m_flows.size() >= m_limits.connections) {
    return Reason::kConnectionLimit;
  }
  auto held = m_flows_by_caller.find(caller.ip);
  if (held != m_flows_by_caller.end() &&
      held->second >= m_limits.flows_per_caller) {
    return Reason::kCallerFlowLimit;
  }
  return std::nullopt;
}

void TargetFlows::OnOpen(const flow::Open& open,
                         const flow::RelayedUp& message,
                         Origin origin,
                         Millis now,
                         AgentActions& actions) {
  auto known = m_by_proposed.find(message.flow);
  if (known != m_by_proposed.end()) {
    const flow::FlowToken& token = m_flows.at(known->second).token;
    actions.sends.push_back(
        {origin.via, {origin.caller, flow::Opened{open.nonce, token}}});
    return;
  }
  if (auto reason = WhyNotOpen(open, origin.caller)) {
    SendRefusal({.nonce = open.nonce,
                 .reason = *reason,
                 .run_state = RunState::kNotRun},
                origin, actions);
    return;
  }
  // The identifier is new even where the same open comes again after the flow
  // has ended: a late copy must not bring back an empty ledger under old
  // tokens.
  base::FlowId id{
      base::HashWords({base::Value(message.flow),
                       base::Value(m_identity.incarnation), ++m_flows_opened})};
  flow::FlowToken token = m_keys.Sign({.service = m_identity.service,
                                       .incarnation = m_identity.incarnation,
                                       .agent = m_identity.agent,
                                       .flow = id},
                                      origin.caller);
  m_flows.emplace(id, Flow{.proposed = message.flow,
                           .caller = origin.caller,
                           .token = token,
                           .last_used = now});
  m_by_proposed.emplace(message.flow, id);
  ++m_flows_by_caller[origin.caller.ip];
  actions.sends.push_back(
      {origin.via, {origin.caller, flow::Opened{open.nonce, token}}});
}

TargetFlows::Flow* TargetFlows::FindFlow(const flow::Up& message,
                                         Origin origin,
                                         AgentActions& actions) {
  const flow::FlowToken& token = *flow::TokenOf(message);
  std::optional<Reason> reason;
  if (token.service != m_identity.service) {
    reason = Reason::kWrongService;
  } else if (token.incarnation != m_identity.incarnation) {
    reason = Reason::kWrongIncarnation;
  }
  auto flow = m_flows.find(token.flow);
  if (!reason && flow != m_flows.end()) {
    return &flow->second;
  }
  // Whether the request ran at an earlier time is not known here.
  flow::Refusal refusal{.flow = token.flow,
                        .reason = reason.value_or(Reason::kUnknownFlow),
                        .run_state = RunState::kUnknown};
  if (const auto* request = std::get_if<flow::Request>(&message)) {
    refusal.seq = request->seq;
  } else if (const auto* fetch = std::get_if<flow::Fetch>(&message)) {
    refusal.seq = fetch->seq;
  }
  SendRefusal(refusal, origin, actions);
  return nullptr;
}

void TargetFlows::OnRequest(const flow::Request& request,
                            Flow& flow,
                            Origin origin,
                            Millis now,
                            AgentActions& actions) {
  RunId run{request.token.flow, request.seq};
  Lookup found = flow.ledger.Find(request.seq);
  if (found.kind == Lookup::kKnown) {
    AnswerKnown(*found.entry, run, origin, actions);
    return;
  }
  size_t before = flow.ledger.answer_bytes();
  flow.ledger.Settle(request.settled_below);
  if (found.kind == Lookup::kSettled || !flow.ledger.Add(request.seq)) {
    CountAnswers(before, flow);
    SendRefusal({.flow = run.flow,
                 .seq = run.seq,
                 .reason = Reason::kSettled,
                 .run_state = RunState::kUnknown},
                origin, actions);
    return;
  }
  CountAnswers(before, flow);
  Ticket ticket{.run = run,
                .retry = request.attempt > 1,
                .deadline = now + request.time_left,
                .queued_at = now,
                .caller_ip = origin.caller.ip};
  if (auto reason = Admit(ticket, now)) {
    Seal(run, *reason, RunState::kNotRun, origin, actions);
    return;
  }
  m_active.emplace(run, Active{.start = {.run = run,
                                         .method = request.method,
                                         .path = request.path,
                                         .body = request.body,
                                         .deadline = ticket.deadline,
                                         .attempt = request.attempt},
                               .origin = origin});
  StartWaiting(now, actions);
}

std::optional<Reason> TargetFlows::Admit(const Ticket& ticket, Millis now) {
  if (m_readiness == Readiness::kDraining) {
    return Reason::kDraining;
  }
  if (m_answer_bytes >= kMaxAnswerMemory) {
    return Reason::kAnswerMemory;
  }
  return m_admission.Offer(ticket, now);
}

void TargetFlows::CountAnswers(size_t before, const Flow& flow) {
  m_answer_bytes = m_answer_bytes - before + flow.ledger.answer_bytes();
}

void TargetFlows::AnswerKnown(const LedgerEntry& entry,
                              RunId run,
                              Origin origin,
                              AgentActions& actions) {
  switch (entry.state) {
    case LedgerState::kQueued:
    case LedgerState::kRunning:
      m_active.at(run).origin = origin;
      actions.sends.push_back(
          {origin.via, {origin.caller, flow::Accepted{run.flow, run.seq}}});
      return;
    case LedgerState::kAnswered:
      SendParts(*entry.answer, run, 0, 1, origin, actions);
      return;
    case LedgerState::kRefused:
      SendRefusal({.flow = run.flow,
                   .seq = run.seq,
                   .reason = entry.reason,
                   .run_state = entry.run_state,
                   .retry_after = RetryAfter(entry.reason)},
                  origin, actions);
      return;
  }
}

void TargetFlows::OnFetch(const flow::Fetch& fetch,
                          Flow& flow,
                          Origin origin,
                          AgentActions& actions) {
  Lookup found = flow.ledger.Find(fetch.seq);
  if (found.kind != Lookup::kKnown) {
    return;  // the caller sends the request again if it still wants it
  }
  if (found.entry->state == LedgerState::kAnswered) {
    SendParts(*found.entry->answer, {fetch.token.flow, fetch.seq},
              fetch.first_part, std::min(fetch.parts, flow::kMaxFetchParts),
              origin, actions);
  }
}

void TargetFlows::OnCancel(const flow::Cancel& cancel,
                           Flow& flow,
                           Origin origin,
                           AgentActions& actions) {
  RunId run{cancel.token.flow, cancel.seq};
  Lookup found = flow.ledger.Find(cancel.seq);
  if (found.kind == Lookup::kNew) {
    // The request may still be on its way: seal it before it comes.
    if (flow.ledger.Add(cancel.seq)) {
      Seal(run, Reason::kCancelled, RunState::kNotRun, origin, actions);
    }
    return;
  }
  if (found.kind == Lookup::kSettled || found.entry->settled()) {
    return;
  }
  if (m_admission.Withdraw(run)) {
    Seal(run, Reason::kCancelled, RunState::kNotRun, origin, actions);
    m_active.erase(run);
    return;
  }
  CancelRunning(run, Reason::kCancelled, actions);
}

void TargetFlows::CancelRunning(RunId run,
                                Reason reason,
                                AgentActions& actions) {
  Active& active = m_active.at(run);
  if (!active.cancelled) {
    active.cancelled = reason;
    actions.cancels.push_back(run);
  }
}

void TargetFlows::StartWaiting(Millis now, AgentActions& actions) {
  while (auto ticket = m_admission.StartNext(now)) {
    Active& active = m_active.at(ticket->run);
    active.started = now;
    active.start.waited = now - ticket->queued_at;
    active.running = true;
    m_flows.at(ticket->run.flow).ledger.SetRunning(ticket->run.seq);
    actions.starts.push_back(active.start);
  }
}

AgentActions TargetFlows::OnResult(const RunResult& result, Millis now) {
  AgentActions actions;
  auto active = m_active.find(result.run);
  if (active == m_active.end()) {
    return actions;
  }
  Active ended = std::move(active->second);
  m_active.erase(active);
  m_admission.Finish(now - ended.started);
  auto flow = m_flows.find(result.run.flow);
  if (flow != m_flows.end()) {
    SettleResult(flow->second, result, ended, now, actions);
  }
  StartWaiting(now, actions);
  return actions;
}

void TargetFlows::SettleResult(Flow& flow,
                               const RunResult& result,
                               const Active& active,
                               Millis now,
                               AgentActions& actions) {
  bool shed = result.kind == RunResult::kAnswered && m_limits.trust_shed &&
              result.status == kHttpServiceUnavailable;
  if (shed) {
    Seal(result.run, Reason::kUpstreamShed, RunState::kNotRun, active.origin,
         actions);
    return;
  }
  if (result.kind == RunResult::kAnswered) {
    auto answer = std::make_shared<const Answer>(
        Answer{result.status, flow::AnswerChecksum(result.body), result.body});
    size_t before = flow.ledger.answer_bytes();
    flow.ledger.SetAnswered(result.run.seq, answer, now);
    CountAnswers(before, flow);
    SendParts(*answer, result.run, 0, 1, active.origin, actions);
    return;
  }
  Reason reason = active.cancelled.value_or(result.kind == RunResult::kTooLarge
                                                ? Reason::kAnswerTooLarge
                                                : Reason::kUpstreamFailed);
  RunState run_state = result.kind == RunResult::kNeverSent
                           ? RunState::kNotRun
                           : RunState::kUnknown;
  Seal(result.run, reason, run_state, active.origin, actions);
}

AgentActions TargetFlows::OnTick(Millis now) {
  AgentActions actions;
  for (const Ticket& ticket : m_admission.TakeExpired(now)) {
    Origin origin = m_active.at(ticket.run).origin;
    m_active.erase(ticket.run);
    Seal(ticket.run, Reason::kDeadline, RunState::kNotRun, origin, actions);
  }
  for (auto& [run, active] : m_active) {
    if (active.running && active.start.deadline <= now) {
      CancelRunning(run, Reason::kDeadline, actions);
    }
  }
  std::vector<base::FlowId> ended;
  for (auto& [id, flow] : m_flows) {
    size_t before = flow.ledger.answer_bytes();
    flow.ledger.DropAnswers(now - kAnswerRetention);
    CountAnswers(before, flow);
    Millis life = flow.used ? m_limits.idle_flow : kUnusedFlowLife;
    if (now - flow.last_used > life) {
      ended.push_back(id);
    }
  }
  for (base::FlowId id : ended) {
    EraseFlow(id, actions);
  }
  return actions;
}

void TargetFlows::EraseFlow(base::FlowId id, AgentActions& actions) {
  m_closed.emplace_back(id, Explain(id));
  if (m_closed.size() > kMaxClosed) {
    m_closed.pop_front();
  }
  auto flow = m_flows.find(id);
  for (const auto& [seq, entry] : flow->second.ledger.entries()) {
    RunId run{id, seq};
    if (entry.state == LedgerState::kRunning) {
      CancelRunning(run, Reason::kCancelled, actions);
    } else if (entry.state == LedgerState::kQueued) {
      m_admission.Withdraw(run);
      m_active.erase(run);
    }
  }
  m_answer_bytes -= flow->second.ledger.answer_bytes();
  auto held = m_flows_by_caller.find(flow->second.caller.ip);
  if (--held->second == 0) {
    m_flows_by_caller.erase(held);
  }
  m_by_proposed.erase(flow->second.proposed);
  m_flows.erase(flow);
}

void TargetFlows::Seal(RunId run,
                       Reason reason,
                       RunState run_state,
                       Origin origin,
                       AgentActions& actions) {
  m_flows.at(run.flow).ledger.SetRefused(run.seq, reason, run_state);
  SendRefusal({.flow = run.flow,
               .seq = run.seq,
               .reason = reason,
               .run_state = run_state,
               .retry_after = RetryAfter(reason)},
              origin, actions);
}

void TargetFlows::SendRefusal(flow::Refusal refusal,
                              Origin origin,
                              AgentActions& actions) {
  ++m_refusals[static_cast<size_t>(refusal.reason)];
  actions.sends.push_back({origin.via, {origin.caller, refusal}});
}

void TargetFlows::SendParts(const Answer& answer,
                            RunId run,
                            uint32_t first,
                            uint32_t count,
                            Origin origin,
                            AgentActions& actions) {
  uint32_t end = std::min(flow::PartCount(answer.bytes.size()), first + count);
  for (uint32_t part = first; part < end; ++part) {
    actions.sends.push_back(
        {origin.via,
         {origin.caller,
          flow::Part{.flow = run.flow,
                     .seq = run.seq,
                     .status = answer.status,
                     .part = part,
                     .size = answer.bytes.size(),
                     .checksum = answer.checksum,
                     .bytes = answer.bytes.substr(
                         size_t{part} * flow::kPartBytes, flow::kPartBytes)}}});
  }
}

}  // namespace filberthollow::decision
