// The reasons for which work is refused, retried or dropped, in one table.
//
// Each reason has a counter of the same name; docs/OPERATIONS.md lists them,
// and a test compares the page with the table.
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

// Reason is carried in refusals, so the numbers are part of the protocol.
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
  // Datagrams dropped without an answer.
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
  // Passed-through flows.
  kNoRoute,
  kUpstreamSilent,
  kUpstreamRestarted,
  kFlowLost,
  kNoSuchFlow,
  kNoAgent,
  kUpstreamRefused,
};

// ReasonKind says what happened to the work.
enum class ReasonKind : uint8_t { kRefused, kDropped, kRetried };

// ReasonRow describes one reason.
struct ReasonRow {
  Reason reason;
  ReasonKind kind;
  std::string_view name;
  std::string_view meaning;
};

inline constexpr size_t kReasonCount = 36;

// ReasonTable lists every reason in the order of the enumeration.
const std::array<ReasonRow, kReasonCount>& ReasonTable();
// ReasonName returns the reason's counter name.
std::string_view ReasonName(Reason reason);
// ReasonKindName returns "refused", "dropped" or "retried".
std::string_view ReasonKindName(ReasonKind kind);
// IsReason returns whether a number received from a peer names a reason.
constexpr bool IsReason(uint16_t number) {
  return number < kReasonCount;
}

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_REASON_H_
