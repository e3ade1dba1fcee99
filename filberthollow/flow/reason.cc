#include "filberthollow/flow/reason.h"

namespace filberthollow::flow {
namespace {

using enum Reason;
using enum ReasonKind;

constexpr std::array<ReasonRow, kReasonCount> kTable{{
    {kQueueFull, kRefused, "queue_full",
     "all slots are busy and the queue is full"},
    {kDeadline, kRefused, "deadline",
     "the request cannot finish before its deadline"},
    {kDraining, kRefused, "draining", "the target is draining"},
    {kNotReady, kRefused, "not_ready", "the upstream is not healthy yet"},
    {kRetryShare, kRefused, "retry_share",
     "retries exceed their share of the target's queue"},
    {kConnectionLimit, kRefused, "connection_limit",
     "the target has reached its limit of open flows"},
    {kCallerFlowLimit, kRefused, "caller_flow_limit",
     "the caller's address has reached its limit of open flows"},
    {kWrongService, kRefused, "wrong_service",
     "the token names a service that this target does not serve"},
    {kWrongIncarnation, kRefused, "wrong_incarnation",
     "the token names an earlier incarnation of this target"},
    {kUnknownFlow, kRefused, "unknown_flow",
     "the flow is not open at this target"},
    {kSettled, kRefused, "settled",
     "the request is too old for its outcome to be known"},
    {kUpstreamFailed, kRefused, "upstream_failed",
     "the HTTP exchange with the upstream failed"},
    {kUpstreamShed, kRefused, "upstream_shed",
     "the upstream shed the request without running it"},
    {kCancelled, kRefused, "cancelled", "the caller cancelled the request"},
    {kAnswerTooLarge, kRefused, "answer_too_large",
     "the upstream's answer exceeds the size limit"},
    {kAnswerMemory, kRefused, "answer_memory",
     "the answers kept for callers have reached the agent's memory limit"},
    {kUnknownService, kRefused, "unknown_service",
     "no service with this identifier is configured"},
    {kNoTarget, kRefused, "no_target", "the service has no usable target"},
    {kTargetGone, kRefused, "target_gone",
     "the flow's target has died or was replaced"},
    {kRetryBudget, kRefused, "retry_budget",
     "retries exceed their share of first attempts at the balancer"},
    {kMalformed, kDropped, "malformed", "the datagram could not be decoded"},
    {kOversized, kDropped, "oversized", "the datagram exceeds the size limit"},
    {kUnsealed, kDropped, "unsealed",
     "the datagram between processes carries no valid MAC"},
    {kBadToken, kDropped, "bad_token",
     "the MAC of the flow token is not valid"},
    {kTooShortOpen, kDropped, "too_short_open",
     "the open is shorter than its reply would be"},
    {kSendFailed, kDropped, "send_failed",
     "the operating system refused to send the datagram"},
    {kRetryNotRun, kRetried, "retry_not_run",
     "a new attempt after a refusal that rules out that the request ran"},
    {kRetryIdempotent, kRetried, "retry_idempotent",
     "a new attempt at an idempotent request that may have run"},
    {kResendNoAnswer, kRetried, "resend_no_answer",
     "the same message was sent again because no reply arrived"},
    {kNoRoute, kRefused, "no_route",
     "no configured route has the address of the new flow"},
    {kUpstreamSilent, kRefused, "upstream_silent",
     "the upstream does not answer packets that require an immediate reply"},
    {kUpstreamRestarted, kRefused, "upstream_restarted",
     "the upstream has ended or restarted and lost the flow"},
    {kFlowLost, kRefused, "flow_lost",
     "the agent that held the flow has been silent for too long"},
    {kNoSuchFlow, kRefused, "no_such_flow", "no upstream holds the flow"},
    {kNoAgent, kRefused, "no_agent",
     "no upstream of the service accepted the new flow in time"},
    {kUpstreamRefused, kRefused, "upstream_refused",
     "the upstream has just rejected a new flow: it is full or down"},
    {kEvacuated, kRefused, "evacuated",
     "the data centre of the upstream is evacuated"},
    {kColdLimit, kRefused, "cold_limit",
     "the upstream has just started and takes no more new flows for now"},
}};

constexpr std::array<std::string_view, 3> kKindNames{"refused", "dropped",
                                                     "retried"};

}  // namespace

const std::array<ReasonRow, kReasonCount>& ReasonTable() {
  return kTable;
}

std::string_view ReasonName(Reason reason) {
  return kTable.at(static_cast<size_t>(reason)).name;
}

std::string_view ReasonKindName(ReasonKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

}  // namespace filberthollow::flow
