#include "filberthollow/decision/flows/router.h"

#include <utility>

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using flow::Reason;
using flow::RunState;

constexpr uint32_t kDefaultRetryPercent = 10;
constexpr Millis kRetryAfterNoTarget{500};

}  // namespace

base::FlowId ProposeFlow(const flow::Open& open, base::Address caller) {
  return base::FlowId{base::HashWords(
      {(uint64_t{caller.ip} << 16) | caller.port, base::Value(open.service),
       open.nonce, base::Value(open.avoid)})};
}

Router::Router(flow::KeyRing keys) : m_keys(std::move(keys)) {}

void Router::SetView(const TargetView& view) {
  m_view = view;
  m_by_agent.clear();
  for (auto& [service, service_view] : m_view.services) {
    auto [budget, added] = m_budgets.try_emplace(service, kDefaultRetryPercent);
    budget->second.SetPercent(service_view.retry_percent);
    for (Candidate& candidate : service_view.candidates) {
      m_by_agent[candidate.agent] = &candidate;
    }
  }
}

void Router::OnLoadReport(base::Address agent, uint32_t load) {
  if (auto found = m_by_agent.find(agent); found != m_by_agent.end()) {
    found->second->reported_load = load;
  }
}

Route Router::RouteMessage(const flow::Up& message,
                           base::Address caller,
                           Millis now) {
  if (const auto* open = std::get_if<flow::Open>(&message)) {
    return OnOpen(*open, caller, now);
  }
  const flow::FlowToken& token = *flow::TokenOf(message);
  if (!m_keys.Verify(token, caller)) {
    return DropDatagram{Reason::kBadToken};
  }
  if (auto refusal = CheckForward(message, token, now)) {
    return ReplyToCaller{*refusal};
  }
  return ForwardToAgent{token.agent, token.flow};
}

Route Router::OnOpen(const flow::Open& open, base::Address caller, Millis now) {
  // This balancer has not forwarded the Open that it refuses, but another
  // balancer may have opened a flow for a copy of it. In both cases no request
  // has run.
  flow::Refusal refusal{.nonce = open.nonce, .run_state = RunState::kNotRun};
  auto service = m_view.services.find(open.service);
  if (service == m_view.services.end()) {
    refusal.reason = Reason::kUnknownService;
    return ReplyToCaller{refusal};
  }
  if (!ChargeRetryBudget(open.service, open.attempt, now)) {
    refusal.reason = Reason::kRetryBudget;
    return ReplyToCaller{refusal};
  }
  const ServiceView& service_view = service->second;
  base::FlowId flow = ProposeFlow(open, caller);
  const Candidate* target =
      PolicyFor(service_view.placement)
          .Place(base::Value(flow), service_view.candidates, open.avoid);
  if (target == nullptr) {
    refusal.reason = Reason::kNoTarget;
    refusal.retry_after = kRetryAfterNoTarget;
    return ReplyToCaller{refusal};
  }
  return ForwardToAgent{target->agent, flow};
}

std::optional<flow::Refusal> Router::CheckForward(const flow::Up& message,
                                                  const flow::FlowToken& token,
                                                  Millis now) {
  flow::Refusal refusal{.flow = token.flow, .run_state = RunState::kUnknown};
  const auto* request = std::get_if<flow::Request>(&message);
  if (request != nullptr) {
    refusal.seq = request->seq;
  }
  if (m_view.ended_incarnations.contains(token.incarnation)) {
    refusal.reason = Reason::kTargetGone;
    return refusal;
  }
  if (request != nullptr &&
      !ChargeRetryBudget(token.service, request->attempt, now)) {
    refusal.reason = Reason::kRetryBudget;
    return refusal;
  }
  return std::nullopt;
}

bool Router::ChargeRetryBudget(base::ServiceId service,
                               uint8_t attempt,
                               Millis now) {
  auto [budget, added] = m_budgets.try_emplace(service, kDefaultRetryPercent);
  if (attempt <= 1) {
    budget->second.CountFirstAttempt(now);
    return true;
  }
  return budget->second.TakeRetry(now);
}

}  // namespace filberthollow::decision::flows
