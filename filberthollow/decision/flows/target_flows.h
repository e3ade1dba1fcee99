// The state machine of an agent: it opens and closes the flows of one target,
// admits and runs requests, and answers callers.
//
// TargetFlows takes messages, upstream results and the current time as values
// and returns the actions to perform as values. It uses no socket, clock or
// thread and does not encode messages.
//
//   TargetFlows flows(identity, limits, keys);
//   AgentActions actions = flows.OnMessage(relayed, origin, now);
//   for (const OutgoingMessage& send : actions.sends) ...
//   for (const UpstreamRequest& start : actions.starts) ...
//   for (RequestId request_id : actions.cancels) ...
#ifndef FILBERTHOLLOW_DECISION_FLOWS_TARGET_FLOWS_H_
#define FILBERTHOLLOW_DECISION_FLOWS_TARGET_FLOWS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "filberthollow/decision/flows/request_ledger.h"
#include "filberthollow/decision/load/admission.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::decision::flows {

// TargetIdentity identifies the target that an agent serves. It does not change
// while the agent process runs.
struct TargetIdentity {
  base::ServiceId service{};
  base::TargetId target{};
  base::Incarnation incarnation{};
  base::Address agent;
  friend auto operator<=>(const TargetIdentity&,
                          const TargetIdentity&) = default;
};

// TargetLimits holds the limits from the target's settings.
struct TargetLimits {
  load::AdmissionLimits admission;
  uint32_t connections = 2000;       // maximum number of open flows
  uint32_t flows_per_caller = 2000;  // maximum open flows per caller IP
  // A flow that has been used is closed after this long without a message.
  base::Millis idle_flow_timeout{86'400'000};
  // If true, a 503 from the upstream means that the request did not run.
  bool trust_shed = false;
  friend auto operator<=>(const TargetLimits&, const TargetLimits&) = default;
};

// Readiness is the state of the upstream as the agent sees it.
enum class Readiness : uint8_t { kNotReady, kReady, kDraining };

// Origin is the path on which a message arrived; the answer returns on it.
struct Origin {
  base::Address caller;
  base::Address balancer;  // relayed the message
  friend auto operator<=>(const Origin&, const Origin&) = default;
};

// OutgoingMessage is a message to send to a caller through a balancer.
struct OutgoingMessage {
  base::Address balancer;
  flow::RelayedDown message;
  friend bool operator==(const OutgoingMessage&,
                         const OutgoingMessage&) = default;
};

// UpstreamRequest is an HTTP request to send to the upstream.
struct UpstreamRequest {
  load::RequestId request_id;
  flow::Method method{};
  std::string path;
  std::string body;
  base::Millis deadline;  // point in time on the agent's clock
  base::Millis waited;    // time spent in the queue
  uint8_t attempt = 1;    // 1 for a first attempt, higher for a retry
  friend bool operator==(const UpstreamRequest&,
                         const UpstreamRequest&) = default;
};

// AgentActions lists the actions that an event calls for. The entries of each
// list are to be performed in order.
struct AgentActions {
  std::vector<OutgoingMessage> sends;
  std::vector<UpstreamRequest> starts;
  std::vector<load::RequestId> cancels;  // exchanges with the upstream to abort
  friend bool operator==(const AgentActions&, const AgentActions&) = default;
};

// UpstreamResult is the outcome of an exchange with the upstream.
struct UpstreamResult {
  enum Kind : uint8_t {
    kAnswered,
    kNotSent,          // failed before any byte of the request was sent
    kFailedAfterSend,  // failed later: the request may have run
    kTooLarge,         // the answer exceeded the size limit
  };
  load::RequestId request_id;
  Kind kind = kFailedAfterSend;
  uint16_t status = 0;  // HTTP status; set for kAnswered
  std::string body;     // set for kAnswered
  friend bool operator==(const UpstreamResult&,
                         const UpstreamResult&) = default;
};

// TargetFlows holds the flows and requests of one target. It is owned by one
// task and is not thread-safe.
class TargetFlows {
 public:
  // kMaxAnswerMemory bounds the bytes of answers kept for callers to fetch. New
  // requests are refused with kAnswerMemory while it is reached or exceeded.
  static constexpr size_t kMaxAnswerMemory = size_t{96} << 20;
  // kAnswerRetention is how long an answer is kept after it arrived.
  static constexpr base::Millis kAnswerRetention{60'000};
  // kUnusedFlowTimeout closes a flow on which no message has arrived since it
  // was opened.
  static constexpr base::Millis kUnusedFlowTimeout{60'000};

  TargetFlows(TargetIdentity identity, TargetLimits limits, flow::KeyRing keys);

  // SetLimits and SetKeys apply new settings. Open flows are kept, even beyond
  // a lower limit.
  void SetLimits(TargetLimits limits);
  void SetKeys(flow::KeyRing keys) { m_keys = std::move(keys); }
  // SetReadiness sets the state of the upstream. New flows are opened only in
  // kReady. Requests on open flows are also admitted in kNotReady, but refused
  // in kDraining. kDraining is final: later calls have no effect.
  void SetReadiness(Readiness readiness);
  Readiness readiness() const { return m_readiness; }

  // OnMessage handles a message from a caller.
  AgentActions OnMessage(const flow::RelayedUp& message,
                         Origin origin,
                         base::Millis now);
  // OnResult handles the end of an exchange with the upstream.
  AgentActions OnResult(const UpstreamResult& result, base::Millis now);
  // OnTick must be called periodically. It refuses queued requests and cancels
  // running requests that are past their deadline, discards answers older than
  // kAnswerRetention and closes idle flows.
  AgentActions OnTick(base::Millis now);

  // kMaxClosedFlows bounds the closed flows that Explain() still describes.
  static constexpr size_t kMaxClosedFlows = 128;
  // Explain returns a flow and the state of its requests as JSON, also for the
  // kMaxClosedFlows flows closed last; "{}" if the flow is unknown.
  std::string Explain(base::FlowId flow) const;

  size_t open_flows() const { return m_flows.size(); }
  // Returns the number of requests that are queued or running.
  uint32_t unfinished() const;
  const load::Admission& admission() const { return m_admission; }
  const TargetIdentity& identity() const { return m_identity; }
  // Returns the number of refusals sent, indexed by reason.
  const std::array<uint64_t, flow::kReasonCount>& refusals() const {
    return m_refusals;
  }

 private:
  struct Flow {
    base::FlowId proposed{};  // identifier that the balancer derived
    base::Address caller;
    flow::FlowToken token;
    base::Millis last_used;  // time of the last message, or of the opening
    bool used = false;       // a message has arrived since the opening
    RequestLedger ledger;
  };
  // A request that is queued or running.
  struct Active {
    UpstreamRequest request;
    Origin origin;
    base::Millis started;  // set when running
    bool running = false;
    std::optional<flow::Reason> cancelled;  // why the exchange was aborted
  };

  void OnOpen(const flow::Open& open,
              const flow::RelayedUp& message,
              Origin origin,
              base::Millis now,
              AgentActions& actions);
  void OnRequest(const flow::Request& request,
                 Flow& flow,
                 Origin origin,
                 base::Millis now,
                 AgentActions& actions);
  void OnFetch(const flow::Fetch& fetch,
               Flow& flow,
               Origin origin,
               AgentActions& actions);
  void OnCancel(const flow::Cancel& cancel,
                Flow& flow,
                Origin origin,
                AgentActions& actions);

  // Returns the reason to refuse a new flow, if any.
  std::optional<flow::Reason> CheckOpen(const flow::Open& open,
                                        base::Address caller) const;
  // Returns the flow that the token of a message names. If the flow is unknown
  // or the token is for another service or incarnation, adds a refusal to
  // `actions` and returns null.
  Flow* FindFlow(const flow::Up& message, Origin origin, AgentActions& actions);
  // Answers a copy of a request from its ledger entry.
  void AnswerDuplicate(const LedgerEntry& entry,
                       load::RequestId request_id,
                       Origin origin,
                       AgentActions& actions);
  // Records a request as refused, so that a late copy is not started, and sends
  // the refusal.
  void RefuseRequest(load::RequestId request_id,
                     flow::Reason reason,
                     flow::RunState run_state,
                     Origin origin,
                     AgentActions& actions);
  void SendRefusal(flow::Refusal refusal, Origin origin, AgentActions& actions);
  // Sends up to `count` parts of an answer, from part `first` on.
  void SendParts(const Answer& answer,
                 load::RequestId request_id,
                 uint32_t first,
                 uint32_t count,
                 Origin origin,
                 AgentActions& actions);
  // Starts queued requests while slots are free.
  void StartQueuedRequests(base::Millis now, AgentActions& actions);
  // Queues a new request, or returns the reason to refuse it.
  std::optional<flow::Reason> Admit(const load::AdmissionRequest& queued,
                                    base::Millis now);
  // Records the result of a request and sends the answer or the refusal.
  void RecordResult(Flow& flow,
                    const UpstreamResult& result,
                    const Active& active,
                    base::Millis now,
                    AgentActions& actions);
  // Requests that a running exchange be aborted. OnResult() then records the
  // outcome.
  void CancelRunning(load::RequestId request_id,
                     flow::Reason reason,
                     AgentActions& actions);
  // Updates m_answer_bytes after the ledger of `flow` changed;
  // `old_answer_bytes` is the ledger's answer_bytes() before the change.
  void UpdateAnswerBytes(size_t old_answer_bytes, const Flow& flow);
  // Closes a flow: cancels its running requests and drops its queued ones.
  void EraseFlow(base::FlowId id, AgentActions& actions);

  const TargetIdentity m_identity;
  TargetLimits m_limits;
  flow::KeyRing m_keys;
  Readiness m_readiness = Readiness::kNotReady;
  load::Admission m_admission;
  uint64_t m_flows_opened = 0;  // makes flow identifiers unique
  std::unordered_map<base::FlowId, Flow> m_flows;
  // Maps Flow::proposed to the key in m_flows.
  std::unordered_map<base::FlowId, base::FlowId> m_by_proposed;
  std::map<uint32_t, uint32_t> m_flows_by_caller;  // open flows by caller IP
  std::map<load::RequestId, Active> m_active;
  size_t m_answer_bytes = 0;  // sum of answer_bytes() over all flows
  // The last texts of Explain() for closed flows, oldest first.
  std::deque<std::pair<base::FlowId, std::string>> m_closed_flows;
  std::array<uint64_t, flow::kReasonCount> m_refusals{};
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_TARGET_FLOWS_H_
