#include "filberthollow/caller/flow_client.h"

#include <algorithm>
#include <utility>

namespace filberthollow::caller {
namespace {

using base::Millis;
using flow::Reason;
using flow::RunState;

constexpr std::array<const char*, kOutcomeKinds> kOutcomeNames{
    "answered", "not_run", "unknown", "corrupt"};

// Returns whether a refusal for `reason` means that the flow no longer exists
// at its target.
bool EndsFlow(Reason reason) {
  return reason == Reason::kWrongIncarnation ||
         reason == Reason::kUnknownFlow || reason == Reason::kTargetGone ||
         reason == Reason::kWrongService;
}

// Returns whether another attempt could succeed after a refusal for `reason`.
bool IsRetryable(Reason reason) {
  return reason != Reason::kDeadline && reason != Reason::kCancelled &&
         reason != Reason::kRetryBudget && reason != Reason::kAnswerTooLarge;
}

}  // namespace

const char* OutcomeName(OutcomeKind kind) {
  return kOutcomeNames.at(static_cast<size_t>(kind));
}

FlowClient::FlowClient(base::ServiceId service, ClientOptions options)
    : m_service(service),
      m_options(options),
      m_random(options.seed),
      m_budget(options.retry_percent) {}

ClientOutput FlowClient::Submit(uint64_t request_id,
                                const CallerRequest& request,
                                Millis now) {
  ClientOutput out;
  auto [pending, added] =
      m_pending.emplace(request_id, Pending{.request = request,
                                            .submitted_at = now,
                                            .deadline = now + request.timeout});
  m_budget.CountFirstAttempt(now);
  if (m_pending.size() > kMaxPending) {
    Finish(pending,
           {.kind = OutcomeKind::kNotRun, .reason = Reason::kQueueFull}, now,
           out);
  } else if (m_token) {
    StartAttempt(pending->second, now, out);
  } else if (!m_opening) {
    m_open_attempt = 1;
    SendOpen(now, out);
  }
  return out;
}

void FlowClient::SendOpen(Millis now, ClientOutput& out) {
  if (!m_opening) {
    m_opening = true;
    m_nonce = m_random();
    m_open_resend_delay = m_options.first_resend_delay;
  }
  m_next_open_at = now + Jitter(m_open_resend_delay);
  m_open_resend_delay =
      std::min(m_open_resend_delay * 2, m_options.max_resend_delay);
  out.sends.emplace_back(flow::Open{.service = m_service,
                                    .nonce = m_nonce,
                                    .attempt = m_open_attempt,
                                    .avoid = m_avoid});
}

ClientOutput FlowClient::OnDown(const flow::Down& message, Millis now) {
  ClientOutput out;
  std::visit([&](const auto& m) { Handle(m, now, out); }, message);
  return out;
}

void FlowClient::Handle(const flow::Opened& m, Millis now, ClientOutput& out) {
  if (!m_opening || m.nonce != m_nonce) {
    // A late duplicate, or the answer of another target to a copy of the open.
    return;
  }
  m_opening = false;
  m_open_attempt = 1;
  m_token = m.token;
  m_next_seq = 1;
  for (auto& [id, pending] : m_pending) {
    if (pending.stage == Stage::kWaiting && pending.next_action_at <= now) {
      StartAttempt(pending, now, out);
    }
  }
}

void FlowClient::StartAttempt(Pending& pending, Millis now, ClientOutput& out) {
  ++pending.attempts;
  pending.token = *m_token;
  pending.seq = base::RequestSeq{m_next_seq++};
  pending.stage = Stage::kSent;
  pending.resend_delay = m_options.first_resend_delay;
  SendRequest(pending, now, out);
}

void FlowClient::SendRequest(Pending& pending, Millis now, ClientOutput& out) {
  pending.next_action_at = now + Jitter(pending.resend_delay);
  pending.resend_delay =
      std::min(pending.resend_delay * 2, m_options.max_resend_delay);
  out.sends.emplace_back(flow::Request{
      .token = pending.token,
      .seq = pending.seq,
      .settled_below = SettledBelow(pending.token.flow),
      .attempt = static_cast<uint8_t>(pending.attempts - pending.moves),
      .idempotent = pending.request.idempotent,
      .time_left = pending.deadline - now,
      .method = pending.request.method,
      .path = pending.request.path,
      .body = pending.request.body});
}

void FlowClient::Handle(const flow::Accepted& m,
                        Millis now,
                        ClientOutput& /*out*/) {
  auto pending = Find(m.flow, m.seq);
  if (pending == m_pending.end() || pending->second.stage == Stage::kFetching) {
    return;
  }
  pending->second.stage = Stage::kAccepted;
  pending->second.next_action_at = now + Jitter(m_options.max_resend_delay);
}

void FlowClient::Handle(const flow::Part& m, Millis now, ClientOutput& out) {
  auto found = Find(m.flow, m.seq);
  if (found == m_pending.end()) {
    return;
  }
  Pending& pending = found->second;
  if (!pending.download) {
    pending.stage = Stage::kFetching;
    pending.download.emplace(m);
  }
  pending.download->OnPart(m, now);
  if (!pending.download->complete()) {
    SendFetches(pending, now, out);
    return;
  }
  uint16_t status = pending.download->status();
  std::optional<std::string> body = pending.download->Take();
  if (!body) {
    Finish(found, {.kind = OutcomeKind::kCorrupt}, now, out);
    return;
  }
  Finish(found,
         {.kind = OutcomeKind::kAnswered,
          .status = status,
          .body = std::move(*body)},
         now, out);
}

void FlowClient::SendFetches(Pending& pending, Millis now, ClientOutput& out) {
  for (PartRange range : pending.download->NextFetches(now)) {
    out.sends.emplace_back(flow::Fetch{.token = pending.token,
                                       .seq = pending.seq,
                                       .first_part = range.first,
                                       .parts = range.count});
  }
  pending.next_action_at = pending.download->next_timer();
}

void FlowClient::Handle(const flow::Refusal& m, Millis now, ClientOutput& out) {
  if (m.nonce != 0) {
    if (m_opening && m.nonce == m_nonce) {
      OnOpenRefused(m, now);
    }
    return;
  }
  auto pending = Find(m.flow, m.seq);
  if (EndsFlow(m.reason) && m_token && m.flow == m_token->flow) {
    ++m_flows_lost;
    UnbindFlow(m_token->incarnation);
  }
  if (pending != m_pending.end()) {
    Retry(pending, m, now, out);
  }
}

void FlowClient::OnOpenRefused(const flow::Refusal& m, Millis now) {
  for (auto& [id, pending] : m_pending) {
    pending.last_reason = m.reason;
  }
  // The next open carries a new nonce: a copy of the refused one may have
  // opened a flow at another target.
  m_nonce = m_random();
  m_open_attempt = static_cast<uint8_t>(std::min(m_open_attempt + 1, 255));
  m_open_resend_delay = m_options.first_resend_delay;
  ++m_retries[static_cast<size_t>(Reason::kRetryNotRun)];
  m_next_open_at =
      now + Jitter(std::max(m.retry_after, m_options.retry_backoff) *
                   std::min<int64_t>(m_open_attempt, 8));
}

void FlowClient::UnbindFlow(base::Incarnation incarnation) {
  m_token.reset();
  m_avoid = incarnation;
}

void FlowClient::Retry(PendingMap::iterator found,
                       const flow::Refusal& refusal,
                       Millis now,
                       ClientOutput& out) {
  Pending& pending = found->second;
  bool not_run = refusal.run_state == RunState::kNotRun;
  if (refusal.reason == Reason::kDraining && m_token &&
      m_token->incarnation == pending.token.incarnation) {
    ++m_flows_moved;
    UnbindFlow(m_token->incarnation);
  }
  Millis backoff =
      Jitter(std::max(refusal.retry_after, m_options.retry_backoff) *
             pending.attempts);
  if (!AllowRetry(pending, refusal, now + backoff, now)) {
    Finish(
        found,
        {.kind = KindWithoutAnswer(pending, not_run), .reason = refusal.reason},
        now, out);
    return;
  }
  // A draining target has done no work for the attempt, and the move to another
  // target is intended. It counts neither towards max_attempts nor against the
  // retry budget.
  pending.moves += refusal.reason == Reason::kDraining ? 1 : 0;
  Reason why = not_run ? Reason::kRetryNotRun : Reason::kRetryIdempotent;
  ++m_retries[static_cast<size_t>(why)];
  pending.stage = Stage::kWaiting;
  pending.download.reset();
  pending.last_reason = refusal.reason;
  pending.maybe_ran = pending.maybe_ran || !not_run;
  // Moving to another target needs no backoff: waiting would not make this
  // target usable again.
  bool moves = refusal.reason == Reason::kDraining || EndsFlow(refusal.reason);
  pending.next_action_at = moves ? now : now + backoff;
  if (!m_token && !m_opening) {
    SendOpen(now, out);
  }
}

bool FlowClient::AllowRetry(const Pending& pending,
                            const flow::Refusal& refusal,
                            Millis at,
                            Millis now) {
  bool not_run = refusal.run_state == RunState::kNotRun;
  if (at >= pending.deadline || !IsRetryable(refusal.reason) ||
      (!not_run && !pending.request.idempotent)) {
    return false;
  }
  if (not_run && refusal.reason == Reason::kDraining) {
    return pending.moves < kMaxMoves;
  }
  return pending.attempts - pending.moves < m_options.max_attempts &&
         m_budget.TakeRetry(now);
}

ClientOutput FlowClient::OnTimer(Millis now) {
  ClientOutput out;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    auto current = it++;
    if (current->second.deadline <= now) {
      Expire(current, now, out);
    }
  }
  if (m_opening && m_next_open_at <= now && !m_pending.empty()) {
    ++m_retries[static_cast<size_t>(Reason::kResendNoAnswer)];
    SendOpen(now, out);
  }
  for (auto& [id, pending] : m_pending) {
    if (pending.next_action_at > now) {
      continue;
    }
    if (!m_token && !m_opening && pending.stage == Stage::kWaiting) {
      SendOpen(now, out);
    }
    if (pending.stage == Stage::kFetching) {
      SendFetches(pending, now, out);
    } else if (pending.stage != Stage::kWaiting) {
      ++m_retries[static_cast<size_t>(Reason::kResendNoAnswer)];
      SendRequest(pending, now, out);
    } else if (m_token) {
      StartAttempt(pending, now, out);
    }
  }
  return out;
}

void FlowClient::Expire(PendingMap::iterator found,
                        Millis now,
                        ClientOutput& out) {
  Pending& pending = found->second;
  if (pending.stage != Stage::kWaiting) {
    out.sends.emplace_back(
        flow::Cancel{.token = pending.token, .seq = pending.seq});
  }
  Finish(found,
         {.kind = KindWithoutAnswer(pending, pending.stage == Stage::kWaiting),
          .reason = pending.last_reason,
          .timed_out = true},
         now, out);
}

OutcomeKind FlowClient::KindWithoutAnswer(const Pending& pending,
                                          bool attempt_not_run) {
  return attempt_not_run && !pending.maybe_ran ? OutcomeKind::kNotRun
                                               : OutcomeKind::kUnknown;
}

void FlowClient::Finish(PendingMap::iterator pending,
                        Outcome outcome,
                        Millis now,
                        ClientOutput& out) {
  outcome.request_id = pending->first;
  outcome.attempts = pending->second.attempts;
  outcome.took = now - pending->second.submitted_at;
  outcome.flow = pending->second.token.flow;
  out.outcomes.push_back(std::move(outcome));
  m_pending.erase(pending);
  if (m_pending.empty()) {
    m_opening = false;
  }
}

ClientOutput FlowClient::Close(Millis now) {
  ClientOutput out;
  while (!m_pending.empty()) {
    Expire(m_pending.begin(), now, out);
  }
  if (m_token) {
    out.sends.emplace_back(flow::Close{*m_token});
    m_token.reset();
  }
  return out;
}

Millis FlowClient::NextTimer() const {
  Millis next = m_opening ? m_next_open_at : base::kNever;
  for (const auto& [id, pending] : m_pending) {
    next = std::min(next, pending.deadline);
    // While the flow opens, waiting requests are started by Opened instead.
    if (pending.stage != Stage::kWaiting || !m_opening) {
      next = std::min(next, pending.next_action_at);
    }
  }
  return next;
}

FlowClient::PendingMap::iterator FlowClient::Find(base::FlowId flow,
                                                  base::RequestSeq seq) {
  return std::find_if(m_pending.begin(), m_pending.end(), [&](const auto& e) {
    return e.second.stage != Stage::kWaiting && e.second.token.flow == flow &&
           e.second.seq == seq;
  });
}

base::RequestSeq FlowClient::SettledBelow(base::FlowId flow) const {
  base::RequestSeq lowest{m_next_seq};
  for (const auto& [id, pending] : m_pending) {
    if (pending.stage != Stage::kWaiting && pending.token.flow == flow) {
      lowest = std::min(lowest, pending.seq);
    }
  }
  return lowest;
}

Millis FlowClient::Jitter(Millis delay) {
  std::uniform_int_distribution<int64_t> extra(0, delay.count() / 4);
  return delay + Millis(extra(m_random));
}

}  // namespace filberthollow::caller
