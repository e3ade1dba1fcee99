#include "filberthollow/flow/reason.h"

namespace filberthollow::flow {
namespace {

using enum Reason;
using enum ReasonKind;

constexpr std::array<ReasonRow, kReasonCount> kTable{{
    {kQueueFull, kRefused, "queue_full", "all slots busy and the queue full"},
    {kDeadline, kRefused, "deadline", "could not finish before the deadline"},
    {kDraining, kRefused, "draining", "the target is leaving"},
    {kNotReady, kRefused, "not_ready", "the upstream is not healthy yet"},
    {kRetryShare, kRefused, "retry_share",
     "retries exceed their share of the target's queue"},
    {kConnectionLimit, kRefused, "connection_limit",
     "the target holds as many flows as it may"},
    {kCallerFlowLimit, kRefused, "caller_flow_limit",
     "the caller's address holds as many flows as it may"},
    {kWrongService, kRefused, "wrong_service",
     "the message is meant for another service"},
    {kWrongIncarnation, kRefused, "wrong_incarnation",
     "the message is bound to an earlier run of this target"},
    {kUnknownFlow, kRefused, "unknown_flow", "the flow has ended"},
    {kSettled, kRefused, "settled", "the request was settled long ago"},
    {kUpstreamFailed, kRefused, "upstream_failed",
     "the exchange with the upstream broke"},
    {kUpstreamShed, kRefused, "upstream_shed",
     "the upstream shed the request before running it"},
    {kCancelled, kRefused, "cancelled", "the caller withdrew the request"},
    {kAnswerTooLarge, kRefused, "answer_too_large",
     "the upstream's answer exceeds the size limit"},
    {kAnswerMemory, kRefused, "answer_memory",
     "the answers kept for callers fill the agent's memory limit"},
    {kUnknownService, kRefused, "unknown_service",
     "no service of that name is declared"},
    {kNoTarget, kRefused, "no_target", "the service has no usable target"},
    {kTargetGone, kRefused, "target_gone",
     "the flow's target has died or was replaced"},
    {kRetryBudget, kRefused, "retry_budget",
     "retries exceed their share of first attempts at the balancer"},
    {kMalformed, kDropped, "malformed", "the datagram could not be decoded"},
    {kOversized, kDropped, "oversized", "the datagram exceeds the size limit"},
    {kUnsealed, kDropped, "unsealed",
     "the datagram between processes carries no valid seal"},
    {kBadToken, kDropped, "bad_token", "the flow token was forged or altered"},
    {kTooShortOpen, kDropped, "too_short_open",
     "the open is shorter than its answer would be"},
    {kSendFailed, kDropped, "send_failed", "the kernel refused the datagram"},
    {kRetryNotRun, kRetried, "retry_not_run",
     "a new attempt after a sealed \"not run\""},
    {kRetryIdempotent, kRetried, "retry_idempotent",
     "a new attempt of idempotent work with an unknown outcome"},
    {kResendNoAnswer, kRetried, "resend_no_answer",
     "the same message sent again, since no answer came"},
    {kNoRoute, kRefused, "no_route",
     "no route in force has the address of the new flow"},
    {kUpstreamSilent, kRefused, "upstream_silent",
     "the upstream does not answer what it must answer at once"},
    {kUpstreamRestarted, kRefused, "upstream_restarted",
     "the upstream has ended or restarted and lost the flow"},
    {kFlowLost, kRefused, "flow_lost",
     "the agent that held the flow has been silent for too long"},
    {kNoSuchFlow, kRefused, "no_such_flow", "no upstream holds the flow"},
    {kNoAgent, kRefused, "no_agent",
     "no upstream of the service took the new flow in time"},
    {kUpstreamRefused, kRefused, "upstream_refused",
     "the upstream handed back a new flow just now: it is full or down"},
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
