// The table of reasons for refusing, dropping and retrying requests, flows and
// datagrams.
//
// Each reason is exported as a counter under its name. docs/OPERATIONS.md must
// list every name; a test checks that.
//
//   metrics.Count(Reason::kQueueFull);
//   std::string_view name = ReasonName(Reason::kQueueFull);  // "queue_full"
#ifndef FILBERTHOLLOW_FLOW_REASON_H_
#define FILBERTHOLLOW_FLOW_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace filberthollow::flow {

// Reason numbers are sent in refusals and so are part of the protocol: existing
// ones must not change.
enum class Reason : uint8_t {
  // Refusals by an agent.
  kQueueFull,
  kDeadline,
  kDraining,
  kNotReady,
  kRetryShare,
  kConnectionLimit,
  kCallerFlowLimit,
  kWrongService,
  kWrongIncarnation,
  kUnknownFlow,
  kSettled,
  kUpstreamFailed,
  kUpstreamShed,
  kCancelled,
  kAnswerTooLarge,
  kAnswerMemory,
  // Refusals by a balancer.
  kUnknownService,
  kNoTarget,
  kTargetGone,
  kRetryBudget,
  // Datagrams dropped without a reply.
  kMalformed,
  kOversized,
  kUnsealed,
  kBadToken,
  kTooShortOpen,
  kSendFailed,
  // Retries by a caller.
  kRetryNotRun,
  kRetryIdempotent,
  kResendNoAnswer,
  // Pass-through flows.
  kNoRoute,
  kUpstreamSilent,
  kUpstreamRestarted,
  kFlowLost,
  kNoSuchFlow,
  kNoAgent,
  kUpstreamRefused,
  kEvacuated,
  kColdLimit,
};

// ReasonKind tells what a reason is given for.
enum class ReasonKind : uint8_t { kRefused, kDropped, kRetried };

// ReasonRow describes one reason.
struct ReasonRow {
  Reason reason;
  ReasonKind kind;
  std::string_view name;
  std::string_view meaning;
};

inline constexpr size_t kReasonCount = 38;

// ReasonTable returns the rows of all reasons, indexed by Reason.
const std::array<ReasonRow, kReasonCount>& ReasonTable();
// ReasonName returns the name of the reason's counter.
std::string_view ReasonName(Reason reason);
// ReasonKindName returns "refused", "dropped" or "retried".
std::string_view ReasonKindName(ReasonKind kind);
// IsReason returns whether a number received from a peer is a valid Reason.
constexpr bool IsReason(uint16_t number) {
  return number < kReasonCount;
}

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_REASON_H_
