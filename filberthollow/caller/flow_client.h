// One caller's flow to one service: the decisions of the caller library.
//
// FlowClient opens the flow, sends requests with sequence numbers, resends
// what is not answered, retries what may be retried, and reports one outcome
// per request. Like the other decisions it has no socket, clock or encoding.
//
//   FlowClient client(ServiceIdOf("drawings"), options);
//   ClientOutput out = client.Submit(7, request, now);
//   out = client.OnDown(message, now);   // for each datagram
//   out = client.OnTimer(now);           // when NextTimer() has come
//   for (const Outcome& outcome : out.outcomes) ...
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
#include "filberthollow/decision/retry_budget.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::caller {

// ClientRequest is a request as the caller's program states it.
struct ClientRequest {
  flow::Method method = flow::Method::kGet;
  std::string path = "/";
  std::string body;
  bool idempotent = true;
  base::Millis timeout{5000};
  friend bool operator==(const ClientRequest&, const ClientRequest&) = default;
};

// OutcomeKind is what became of a request.
enum class OutcomeKind : uint8_t {
  kAnswered,  // the whole answer has arrived and its checksum matches
  kNotRun,    // refused; it has not run and never will
  kUnknown,   // it may have run
  kCorrupt,   // an answer arrived whose checksum does not match
};
inline constexpr size_t kOutcomeKinds = 4;
// OutcomeName returns "answered", "not_run", "unknown" or "corrupt".
const char* OutcomeName(OutcomeKind kind);

// Outcome ends a request; there is exactly one for each.
struct Outcome {
  uint64_t request_id = 0;
  OutcomeKind kind = OutcomeKind::kUnknown;
  uint16_t status = 0;     // HTTP status, where answered
  std::string body;        // where answered
  flow::Reason reason{};   // where not answered
  bool timed_out = false;  // the deadline passed without a word
  uint32_t attempts = 0;
  base::Millis took;
  base::FlowId flow{};
  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// ClientOutput is what an event calls for.
struct ClientOutput {
  std::vector<flow::Up> sends;
  std::vector<Outcome> outcomes;
  friend bool operator==(const ClientOutput&, const ClientOutput&) = default;
};

// ClientOptions tunes resending and retrying.
struct ClientOptions {
  uint32_t max_attempts = 4;
  uint32_t retry_percent = 20;
  base::Millis first_resend_delay{250};
  base::Millis max_resend_delay{1000};
  base::Millis retry_backoff{100};
  uint64_t seed = 1;
  friend bool operator==(const ClientOptions&, const ClientOptions&) = default;
};

class FlowClient {
 public:
  // kMaxMoves bounds how often one request may meet a leaving target.
  static constexpr uint32_t kMaxMoves = 8;
  // kMaxPending bounds requests in progress; the agent's ledger holds as many.
  static constexpr size_t kMaxPending = 32;

  FlowClient(base::ServiceId service, ClientOptions options);

  // Submit begins a request; `request_id` comes back in its outcome.
  ClientOutput Submit(uint64_t request_id,
                      const ClientRequest& request,
                      base::Millis now);
  ClientOutput OnDown(const flow::Down& message, base::Millis now);
  ClientOutput OnTimer(base::Millis now);
  // Close ends the flow; requests in progress are reported as unknown or, if
  // never sent, as not run.
  ClientOutput Close(base::Millis now);

  // Returns when to call OnTimer().
  base::Millis NextTimer() const;
  size_t pending() const { return m_pending.size(); }
  // Returns whether the flow is bound to a target now.
  bool open() const { return m_token.has_value(); }
  // Returns how often the target was lost, and how often the flow moved to
  // another target since its own was leaving.
  uint64_t flows_lost() const { return m_flows_lost; }
  uint64_t flows_moved() const { return m_flows_moved; }
  // Returns how often each retry reason came up, by its number.
  const std::array<uint64_t, flow::kReasonCount>& retries() const {
    return m_retries;
  }

 private:
  enum class Stage : uint8_t { kWaiting, kSent, kAccepted, kFetching };

  struct Pending {
    ClientRequest request;
    base::Millis submitted_at;
    base::Millis deadline;
    Stage stage = Stage::kWaiting;
    uint32_t attempts = 0;
    uint32_t moves = 0;      // attempts that met a leaving target
    bool maybe_ran = false;  // an earlier attempt may have run
    flow::FlowToken token;   // of the present attempt
    base::RequestSeq seq{};
    base::Millis next_action_at;  // resend, retry or fetch again
    base::Millis resend_delay;
    flow::Reason last_reason{};
    std::optional<Download> download;
  };
  using PendingMap = std::map<uint64_t, Pending>;

  void Handle(const flow::Opened& m, base::Millis now, ClientOutput& out);
  void Handle(const flow::Accepted& m, base::Millis now, ClientOutput& out);
  void Handle(const flow::Part& m, base::Millis now, ClientOutput& out);
  void Handle(const flow::Refusal& m, base::Millis now, ClientOutput& out);

  void SendOpen(base::Millis now, ClientOutput& out);
  void OnOpenRefused(const flow::Refusal& m, base::Millis now);
  void StartAttempt(Pending& pending, base::Millis now, ClientOutput& out);
  void SendRequest(Pending& pending, base::Millis now, ClientOutput& out);
  void SendFetches(Pending& pending, base::Millis now, ClientOutput& out);
  // Returns the outcome kind of a request that ends without an answer;
  // `attempt_not_run` tells whether its present attempt is known not to have
  // run.
  static OutcomeKind KindWithoutAnswer(const Pending& pending,
                                       bool attempt_not_run);
  // Decides about a refused attempt: another attempt, or the outcome.
  void Retry(PendingMap::iterator pending,
             const flow::Refusal& refusal,
             base::Millis now,
             ClientOutput& out);
  // Returns whether another attempt may be made after a refusal.
  bool AllowRetry(const Pending& pending,
                  const flow::Refusal& refusal,
                  base::Millis at,
                  base::Millis now);
  void UnbindFlow(base::Incarnation incarnation);
  void Finish(PendingMap::iterator pending,
              Outcome outcome,
              base::Millis now,
              ClientOutput& out);
  void Expire(PendingMap::iterator pending,
              base::Millis now,
              ClientOutput& out);
  PendingMap::iterator Find(base::FlowId flow, base::RequestSeq seq);
  base::RequestSeq SettledBelow(base::FlowId flow) const;
  base::Millis Jitter(base::Millis delay);

  const base::ServiceId m_service;
  const ClientOptions m_options;
  std::mt19937_64 m_random;
  decision::RetryBudget m_budget;
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
