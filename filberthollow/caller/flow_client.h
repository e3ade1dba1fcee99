// The protocol logic of a caller, for one flow to one service.
//
// FlowClient opens the flow, sends numbered requests, resends messages that get
// no answer, retries refused requests where that is safe, and reports exactly
// one outcome per request. It has no socket, clock or encoding: events and the
// current time are passed in, and messages to send are returned.
//
// A resend is another copy of the same message, under the same sequence number.
// A retry is a new attempt at the request, under a new sequence number.
//
//   FlowClient client(ServiceIdOf("drawings"), options);
//   ClientOutput out = client.Submit(7, request, now);
//   out = client.OnDown(message, now);  // for each message received
//   out = client.OnTimer(now);          // once NextTimer() has passed
//   for (const flow::Up& message : out.sends) { ... }
//   for (const Outcome& outcome : out.outcomes) { ... }
#ifndef FILBERTHOLLOW_CALLER_FLOW_CLIENT_H_
#define FILBERTHOLLOW_CALLER_FLOW_CLIENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "filberthollow/caller/download.h"
#include "filberthollow/decision/load/retry_budget.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::caller {

// CallerRequest is a request as the caller's program submits it.
struct CallerRequest {
  flow::Method method = flow::Method::kGet;
  std::string path = "/";
  std::string body;
  // Whether the request may be retried although it may already have run.
  bool idempotent = true;
  // The deadline, counted from Submit().
  base::Millis timeout{5000};
  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

// OutcomeKind classifies how a request ended.
enum class OutcomeKind : uint8_t {
  kAnswered,  // the complete answer has arrived and its checksum matches
  kNotRun,    // no answer; the request has not run and never will
  kUnknown,   // no answer; the request may have run
  kCorrupt,   // the complete answer has arrived; its checksum does not match
};
inline constexpr size_t kOutcomeKinds = 4;
// OutcomeName returns "answered", "not_run", "unknown" or "corrupt".
const char* OutcomeName(OutcomeKind kind);

// Outcome reports the end of a request.
struct Outcome {
  uint64_t request_id = 0;
  OutcomeKind kind = OutcomeKind::kUnknown;
  // HTTP status and body; set for kAnswered only.
  uint16_t status = 0;
  std::string body;
  // For kNotRun and kUnknown: the reason of the last refusal. Meaningless if
  // `timed_out` is set and no refusal had arrived.
  flow::Reason reason{};
  // Whether the request ended because its deadline passed or because the
  // FlowClient was closed.
  bool timed_out = false;
  uint32_t attempts = 0;
  // The time since Submit().
  base::Millis took;
  // The flow of the last attempt; zero if there was none.
  base::FlowId flow{};
  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// ClientOutput lists the messages to send and the requests that have ended
// after one event.
struct ClientOutput {
  std::vector<flow::Up> sends;
  std::vector<Outcome> outcomes;
  friend bool operator==(const ClientOutput&, const ClientOutput&) = default;
};

// ClientOptions tunes resending and retrying.
struct ClientOptions {
  // Attempts per request, not counting those that met a draining target.
  uint32_t max_attempts = 4;
  // Retries allowed, as a percentage of recent first attempts; see RetryBudget.
  uint32_t retry_percent = 20;
  // The resend delay starts with the first value and doubles up to the second.
  base::Millis first_resend_delay{250};
  base::Millis max_resend_delay{1000};
  // The minimum delay before the first retry; grows with each attempt.
  base::Millis retry_backoff{100};
  // Seeds nonces and the jitter of delays.
  uint64_t seed = 1;
  friend bool operator==(const ClientOptions&, const ClientOptions&) = default;
};

// FlowClient is not thread-safe; it belongs to one task.
class FlowClient {
 public:
  // kMaxMoves bounds how often one request may be refused by draining targets
  // and moved to another one.
  static constexpr uint32_t kMaxMoves = 8;
  // kMaxPending bounds the requests in progress. The agent's request ledger
  // must be able to hold them all; see RequestLedger::kMaxEntries.
  static constexpr size_t kMaxPending = 32;

  FlowClient(base::ServiceId service, ClientOptions options);

  // Submit starts a request. `request_id` identifies it in its outcome and must
  // differ from those of all pending requests. A request beyond kMaxPending
  // ends at once as kNotRun.
  ClientOutput Submit(uint64_t request_id,
                      const CallerRequest& request,
                      base::Millis now);
  // OnDown handles a message from an agent or balancer. Late and duplicate
  // messages are ignored.
  ClientOutput OnDown(const flow::Down& message, base::Millis now);
  // OnTimer sends what is due and ends requests whose deadline has passed.
  ClientOutput OnTimer(base::Millis now);
  // Close ends the flow. A pending request is reported as kNotRun if it is
  // certain that no attempt has run, otherwise as kUnknown.
  ClientOutput Close(base::Millis now);

  // Returns when to call OnTimer(); kNever if nothing is pending.
  base::Millis NextTimer() const;
  // Returns the number of requests in progress.
  size_t pending() const { return m_pending.size(); }
  // Returns whether the flow is currently bound to a target.
  bool open() const { return m_token.has_value(); }
  // Returns how often the flow ended because its target was gone or had
  // forgotten it.
  uint64_t flows_lost() const { return m_flows_lost; }
  // Returns how often the flow left its target because that was draining.
  uint64_t flows_moved() const { return m_flows_moved; }
  // Returns the number of retries and resends per reason, indexed by Reason.
  const std::array<uint64_t, flow::kReasonCount>& retries() const {
    return m_retries;
  }

 private:
  enum class Stage : uint8_t {
    kWaiting,   // for the flow to open, or for the next attempt
    kSent,      // no answer yet
    kAccepted,  // the agent has confirmed that it received the request
    kFetching   // at least one part of the answer has arrived
  };

  struct Pending {
    CallerRequest request;
    base::Millis submitted_at;
    base::Millis deadline;
    Stage stage = Stage::kWaiting;
    uint32_t attempts = 0;
    // Attempts refused by a draining target; also counted in `attempts`.
    uint32_t moves = 0;
    // Whether an earlier attempt may have run.
    bool maybe_ran = false;
    // Token and sequence number of the current attempt.
    flow::FlowToken token;
    base::RequestSeq seq{};
    // When to resend, to retry or to fetch parts again.
    base::Millis next_action_at;
    base::Millis resend_delay;
    // The reason of the last refusal.
    flow::Reason last_reason{};
    std::optional<Download> download;
  };
  using PendingMap = std::map<uint64_t, Pending>;  // by request_id

  void Handle(const flow::Opened& m, base::Millis now, ClientOutput& out);
  void Handle(const flow::Accepted& m, base::Millis now, ClientOutput& out);
  void Handle(const flow::Part& m, base::Millis now, ClientOutput& out);
  void Handle(const flow::Refusal& m, base::Millis now, ClientOutput& out);

  void SendOpen(base::Millis now, ClientOutput& out);
  void OnOpenRefused(const flow::Refusal& m, base::Millis now);
  void StartAttempt(Pending& pending, base::Millis now, ClientOutput& out);
  void SendRequest(Pending& pending, base::Millis now, ClientOutput& out);
  void SendFetches(Pending& pending, base::Millis now, ClientOutput& out);
  // Returns the outcome kind of a request that ends without an answer.
  // `attempt_not_run` tells whether the current attempt is known not to have
  // run.
  static OutcomeKind KindWithoutAnswer(const Pending& pending,
                                       bool attempt_not_run);
  // Handles a refused attempt: schedules another one or ends the request.
  void Retry(PendingMap::iterator pending,
             const flow::Refusal& refusal,
             base::Millis now,
             ClientOutput& out);
  // Returns whether another attempt may be made at `at` after a refusal. If so,
  // charges the retry budget, unless the target is draining.
  bool AllowRetry(const Pending& pending,
                  const flow::Refusal& refusal,
                  base::Millis at,
                  base::Millis now);
  // Forgets the token; the next open avoids the target `incarnation`.
  void UnbindFlow(base::Incarnation incarnation);
  void Finish(PendingMap::iterator pending,
              Outcome outcome,
              base::Millis now,
              ClientOutput& out);
  // Ends a request without an answer and cancels its current attempt.
  void Expire(PendingMap::iterator pending,
              base::Millis now,
              ClientOutput& out);
  PendingMap::iterator Find(base::FlowId flow, base::RequestSeq seq);
  // Returns the lowest sequence number whose answer is still needed on `flow`.
  base::RequestSeq SettledBelow(base::FlowId flow) const;
  // Returns `delay` plus up to a quarter of it at random.
  base::Millis Jitter(base::Millis delay);

  const base::ServiceId m_service;
  const ClientOptions m_options;
  std::mt19937_64 m_random;
  decision::load::RetryBudget m_budget;
  std::optional<flow::FlowToken> m_token;
  uint64_t m_next_seq = 1;
  bool m_opening = false;
  uint64_t m_nonce = 0;
  uint8_t m_open_attempt = 1;
  base::Incarnation m_avoid{};
  base::Millis m_next_open_at;
  base::Millis m_open_resend_delay;
  PendingMap m_pending;
  uint64_t m_flows_lost = 0;
  uint64_t m_flows_moved = 0;
  std::array<uint64_t, flow::kReasonCount> m_retries{};
};

}  // namespace filberthollow::caller

#endif  // FILBERTHOLLOW_CALLER_FLOW_CLIENT_H_
