#include "filberthollow/decision/flows/target_flows.h"

#include <algorithm>
#include <utility>

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using flow::Reason;
using flow::RunState;

constexpr uint16_t kHttpServiceUnavailable = 503;
constexpr Millis kRetryAfterBusy{200};

// Returns the retry hint for a refusal. Only reasons that may not apply to
// another target have one; it is zero for all others.
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

std::optional<Reason> TargetFlows::CheckOpen(const flow::Open& open,
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
  auto caller_count = m_flows_by_caller.find(caller.ip);
  if (caller_count != m_flows_by_caller.end() &&
      caller_count->second >= m_limits.flows_per_caller) {
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
        {origin.balancer, {origin.caller, flow::Opened{open.nonce, token}}});
    return;
  }
  if (auto reason = CheckOpen(open, origin.caller)) {
    SendRefusal({.nonce = open.nonce,
                 .reason = *reason,
                 .run_state = RunState::kNotRun},
                origin, actions);
    return;
  }
  // The identifier is unique even if a copy of the same Open arrives after the
  // flow was closed. Otherwise a late copy would make old tokens valid again
  // with an empty ledger, and requests that ran before could run again.
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
      {origin.balancer, {origin.caller, flow::Opened{open.nonce, token}}});
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
  // The request may have run before: on a flow closed since, or at another
  // incarnation.
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
  load::RequestId request_id{request.token.flow, request.seq};
  Lookup found = flow.ledger.Find(request.seq);
  if (found.kind == Lookup::kKnown) {
    AnswerDuplicate(*found.entry, request_id, origin, actions);
    return;
  }
  size_t old_answer_bytes = flow.ledger.answer_bytes();
  flow.ledger.EraseFinishedBelow(request.settled_below);
  if (found.kind == Lookup::kBelowFloor || !flow.ledger.Add(request.seq)) {
    UpdateAnswerBytes(old_answer_bytes, flow);
    SendRefusal({.flow = request_id.flow,
                 .seq = request_id.seq,
                 .reason = Reason::kSettled,
                 .run_state = RunState::kUnknown},
                origin, actions);
    return;
  }
  UpdateAnswerBytes(old_answer_bytes, flow);
  load::AdmissionRequest queued{.request_id = request_id,
                                .retry = request.attempt > 1,
                                .deadline = now + request.time_left,
                                .queued_at = now,
                                .caller_ip = origin.caller.ip};
  if (auto reason = Admit(queued, now)) {
    RefuseRequest(request_id, *reason, RunState::kNotRun, origin, actions);
    return;
  }
  m_active.emplace(request_id, Active{.request = {.request_id = request_id,
                                                  .method = request.method,
                                                  .path = request.path,
                                                  .body = request.body,
                                                  .deadline = queued.deadline,
                                                  .attempt = request.attempt},
                                      .origin = origin});
  StartQueuedRequests(now, actions);
}

std::optional<Reason> TargetFlows::Admit(const load::AdmissionRequest& queued,
                                         Millis now) {
  if (m_readiness == Readiness::kDraining) {
    return Reason::kDraining;
  }
  if (m_answer_bytes >= kMaxAnswerMemory) {
    return Reason::kAnswerMemory;
  }
  return m_admission.Enqueue(queued, now);
}

void TargetFlows::UpdateAnswerBytes(size_t old_answer_bytes, const Flow& flow) {
  m_answer_bytes =
      m_answer_bytes - old_answer_bytes + flow.ledger.answer_bytes();
}

void TargetFlows::AnswerDuplicate(const LedgerEntry& entry,
                                  load::RequestId request_id,
                                  Origin origin,
                                  AgentActions& actions) {
  switch (entry.state) {
    case LedgerState::kQueued:
    case LedgerState::kRunning:
      m_active.at(request_id).origin = origin;
      actions.sends.push_back(
          {origin.balancer,
           {origin.caller, flow::Accepted{request_id.flow, request_id.seq}}});
      return;
    case LedgerState::kAnswered:
      SendParts(*entry.answer, request_id, 0, 1, origin, actions);
      return;
    case LedgerState::kRefused:
      SendRefusal({.flow = request_id.flow,
                   .seq = request_id.seq,
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
    return;  // the caller resends the request if it still needs the answer
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
  load::RequestId request_id{cancel.token.flow, cancel.seq};
  Lookup found = flow.ledger.Find(cancel.seq);
  if (found.kind == Lookup::kNew) {
    // The request may still arrive after its cancellation: record it as refused
    // so that it does not start then.
    if (flow.ledger.Add(cancel.seq)) {
      RefuseRequest(request_id, Reason::kCancelled, RunState::kNotRun, origin,
                    actions);
    }
    return;
  }
  if (found.kind == Lookup::kBelowFloor || found.entry->finished()) {
    return;
  }
  if (m_admission.RemoveWaiting(request_id)) {
    RefuseRequest(request_id, Reason::kCancelled, RunState::kNotRun, origin,
                  actions);
    m_active.erase(request_id);
    return;
  }
  CancelRunning(request_id, Reason::kCancelled, actions);
}

void TargetFlows::CancelRunning(load::RequestId request_id,
                                Reason reason,
                                AgentActions& actions) {
  Active& active = m_active.at(request_id);
  if (!active.cancelled) {
    active.cancelled = reason;
    actions.cancels.push_back(request_id);
  }
}

void TargetFlows::StartQueuedRequests(Millis now, AgentActions& actions) {
  while (auto queued = m_admission.StartNext(now)) {
    Active& active = m_active.at(queued->request_id);
    active.started = now;
    active.request.waited = now - queued->queued_at;
    active.running = true;
    m_flows.at(queued->request_id.flow)
        .ledger.SetRunning(queued->request_id.seq);
    actions.starts.push_back(active.request);
  }
}

AgentActions TargetFlows::OnResult(const UpstreamResult& result, Millis now) {
  AgentActions actions;
  auto active = m_active.find(result.request_id);
  if (active == m_active.end()) {
    return actions;
  }
  Active ended = std::move(active->second);
  m_active.erase(active);
  m_admission.Finish(now - ended.started);
  auto flow = m_flows.find(result.request_id.flow);
  if (flow != m_flows.end()) {
    RecordResult(flow->second, result, ended, now, actions);
  }
  StartQueuedRequests(now, actions);
  return actions;
}

void TargetFlows::RecordResult(Flow& flow,
                               const UpstreamResult& result,
                               const Active& active,
                               Millis now,
                               AgentActions& actions) {
  bool shed = result.kind == UpstreamResult::kAnswered && m_limits.trust_shed &&
              result.status == kHttpServiceUnavailable;
  if (shed) {
    RefuseRequest(result.request_id, Reason::kUpstreamShed, RunState::kNotRun,
                  active.origin, actions);
    return;
  }
  if (result.kind == UpstreamResult::kAnswered) {
    auto answer = std::make_shared<const Answer>(
        Answer{result.status, flow::AnswerChecksum(result.body), result.body});
    size_t old_answer_bytes = flow.ledger.answer_bytes();
    flow.ledger.SetAnswered(result.request_id.seq, answer, now);
    UpdateAnswerBytes(old_answer_bytes, flow);
    SendParts(*answer, result.request_id, 0, 1, active.origin, actions);
    return;
  }
  Reason reason = active.cancelled.value_or(
      result.kind == UpstreamResult::kTooLarge ? Reason::kAnswerTooLarge
                                               : Reason::kUpstreamFailed);
  RunState run_state = result.kind == UpstreamResult::kNotSent
                           ? RunState::kNotRun
                           : RunState::kUnknown;
  RefuseRequest(result.request_id, reason, run_state, active.origin, actions);
}

AgentActions TargetFlows::OnTick(Millis now) {
  AgentActions actions;
  for (const load::AdmissionRequest& queued : m_admission.TakeExpired(now)) {
    Origin origin = m_active.at(queued.request_id).origin;
    m_active.erase(queued.request_id);
    RefuseRequest(queued.request_id, Reason::kDeadline, RunState::kNotRun,
                  origin, actions);
  }
  for (auto& [request_id, active] : m_active) {
    if (active.running && active.request.deadline <= now) {
      CancelRunning(request_id, Reason::kDeadline, actions);
    }
  }
  std::vector<base::FlowId> ended;
  for (auto& [id, flow] : m_flows) {
    size_t old_answer_bytes = flow.ledger.answer_bytes();
    flow.ledger.DropAnswers(now - kAnswerRetention);
    UpdateAnswerBytes(old_answer_bytes, flow);
    Millis timeout =
        flow.used ? m_limits.idle_flow_timeout : kUnusedFlowTimeout;
    if (now - flow.last_used > timeout) {
      ended.push_back(id);
    }
  }
  for (base::FlowId id : ended) {
    EraseFlow(id, actions);
  }
  return actions;
}

void TargetFlows::EraseFlow(base::FlowId id, AgentActions& actions) {
  m_closed_flows.emplace_back(id, Explain(id));
  if (m_closed_flows.size() > kMaxClosedFlows) {
    m_closed_flows.pop_front();
  }
  auto flow = m_flows.find(id);
  for (const auto& [seq, entry] : flow->second.ledger.entries()) {
    load::RequestId request_id{id, seq};
    if (entry.state == LedgerState::kRunning) {
      CancelRunning(request_id, Reason::kCancelled, actions);
    } else if (entry.state == LedgerState::kQueued) {
      m_admission.RemoveWaiting(request_id);
      m_active.erase(request_id);
    }
  }
  m_answer_bytes -= flow->second.ledger.answer_bytes();
  auto caller_count = m_flows_by_caller.find(flow->second.caller.ip);
  if (--caller_count->second == 0) {
    m_flows_by_caller.erase(caller_count);
  }
  m_by_proposed.erase(flow->second.proposed);
  m_flows.erase(flow);
}

void TargetFlows::RefuseRequest(load::RequestId request_id,
                                Reason reason,
                                RunState run_state,
                                Origin origin,
                                AgentActions& actions) {
  m_flows.at(request_id.flow)
      .ledger.SetRefused(request_id.seq, reason, run_state);
  SendRefusal({.flow = request_id.flow,
               .seq = request_id.seq,
               .reason = reason,
               .run_state = run_state,
               .retry_after = RetryAfter(reason)},
              origin, actions);
}

void TargetFlows::SendRefusal(flow::Refusal refusal,
                              Origin origin,
                              AgentActions& actions) {
  ++m_refusals[static_cast<size_t>(refusal.reason)];
  actions.sends.push_back({origin.balancer, {origin.caller, refusal}});
}

void TargetFlows::SendParts(const Answer& answer,
                            load::RequestId request_id,
                            uint32_t first,
                            uint32_t count,
                            Origin origin,
                            AgentActions& actions) {
  uint32_t end = std::min(flow::PartCount(answer.bytes.size()), first + count);
  for (uint32_t part = first; part < end; ++part) {
    actions.sends.push_back(
        {origin.balancer,
         {origin.caller,
          flow::Part{.flow = request_id.flow,
                     .seq = request_id.seq,
                     .status = answer.status,
                     .part = part,
                     .size = answer.bytes.size(),
                     .checksum = answer.checksum,
                     .bytes = answer.bytes.substr(
                         size_t{part} * flow::kPartBytes, flow::kPartBytes)}}});
  }
}

}  // namespace filberthollow::decision::flows
