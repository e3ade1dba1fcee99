// The decisions of an agent: which flows its target holds, which requests run,
// and what each caller is told.
//
// TargetFlows takes messages, results and the time as values, and returns what
// is to be done as values. It has no socket, clock, thread or encoding.
//
//   TargetFlows flows(identity, limits, keys);
//   AgentActions actions = flows.OnMessage(relayed, origin, now);
//   for (const SendDown& send : actions.sends) ...
//   for (const StartRun& run : actions.starts) ...
#ifndef FILBERTHOLLOW_DECISION_TARGET_FLOWS_H_
#define FILBERTHOLLOW_DECISION_TARGET_FLOWS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "filberthollow/decision/admission.h"
#include "filberthollow/decision/request_ledger.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::decision {

// TargetIdentity says whom the agent serves; fixed for one run of the agent.
struct TargetIdentity {
  base::ServiceId service{};
  base::TargetId target{};
  base::Incarnation incarnation{};
  base::Address agent;
  friend auto operator<=>(const TargetIdentity&,
                          const TargetIdentity&) = default;
};

// TargetLimits come from the settings of the target.
struct TargetLimits {
  AdmissionLimits admission;
  uint32_t connections = 2000;         // open flows
  uint32_t flows_per_caller = 2000;    // open flows of one caller IP
  base::Millis idle_flow{86'400'000};  // a flow without traffic ends after
  bool trust_shed = false;             // a 503 of this upstream means "not run"
  friend auto operator<=>(const TargetLimits&, const TargetLimits&) = default;
};

// Readiness of the upstream, as the agent sees it.
enum class Readiness : uint8_t { kNotReady, kReady, kDraining };

// Origin is where a message came from and where its answer goes.
struct Origin {
  base::Address caller;
  base::Address via;  // the balancer that relayed the message
  friend auto operator<=>(const Origin&, const Origin&) = default;
};

// SendDown is a message to be sent.
struct SendDown {
  base::Address via;
  flow::RelayedDown message;
  friend bool operator==(const SendDown&, const SendDown&) = default;
};

// StartRun is a request to be made to the upstream.
struct StartRun {
  RunId run;
  flow::Method method{};
  std::string path;
  std::string body;
  base::Millis deadline;
  base::Millis waited;  // in the queue
  uint8_t attempt = 1;
  friend bool operator==(const StartRun&, const StartRun&) = default;
};

// AgentActions is what an event calls for, in order.
struct AgentActions {
  std::vector<SendDown> sends;
  std::vector<StartRun> starts;
  std::vector<RunId> cancels;
  friend bool operator==(const AgentActions&, const AgentActions&) = default;
};

// RunResult is how an exchange with the upstream ended.
struct RunResult {
  enum Kind : uint8_t {
    kAnswered,
    kNeverSent,  // failed before any byte of the request was sent
    kBroken,     // failed later: the request may have run
    kTooLarge,   // the answer exceeded its size limit
  };
  RunId run;
  Kind kind = kBroken;
  uint16_t status = 0;
  std::string body;
  friend bool operator==(const RunResult&, const RunResult&) = default;
};

// TargetFlows belongs to one agent and is used by one task.
class TargetFlows {
 public:
  // kMaxAnswerMemory bounds the answers kept for callers, in bytes; beyond it
  // new requests are refused.
  static constexpr size_t kMaxAnswerMemory = size_t{96} << 20;
  // kAnswerRetention is how long an answer waits to be fetched.
  static constexpr base::Millis kAnswerRetention{60'000};
  // kUnusedFlowLife ends a flow on which no request was ever made.
  static constexpr base::Millis kUnusedFlowLife{60'000};

  TargetFlows(TargetIdentity identity, TargetLimits limits, flow::KeyRing keys);

  // SetLimits and SetKeys take new settings; open flows stay.
  void SetLimits(TargetLimits limits);
  void SetKeys(flow::KeyRing keys) { m_keys = std::move(keys); }
  // SetReadiness tells whether new flows and requests are welcome. Draining is
  // final: it can't be undone.
  void SetReadiness(Readiness readiness);
  Readiness readiness() const { return m_readiness; }

  // OnMessage handles a caller's message.
  AgentActions OnMessage(const flow::RelayedUp& message,
                         Origin origin,
                         base::Millis now);
  // OnResult handles the end of an exchange with the upstream.
  AgentActions OnResult(const RunResult& result, base::Millis now);
  // OnTick refuses what waited past its deadline and ends idle flows; call it
  // whenever NextTick() has come.
  AgentActions OnTick(base::Millis now);

  // Explain returns what is known of a flow and its requests, as JSON; also of
  // the kMaxClosed flows that ended last.
  static constexpr size_t kMaxClosed = 128;
  std::string Explain(base::FlowId flow) const;

  size_t open_flows() const { return m_flows.size(); }
  // Returns the requests that wait or run.
  uint32_t unfinished() const;
  const Admission& admission() const { return m_admission; }
  const TargetIdentity& identity() const { return m_identity; }
  // Returns how often each reason was given, by its number.
  const std::array<uint64_t, flow::kReasonCount>& refusals() const {
    return m_refusals;
  }

 private:
  struct Flow {
    base::FlowId proposed{};
    base::Address caller;
    flow::FlowToken token;
    base::Millis last_used;
    bool used = false;
    RequestLedger ledger;
  };
  // A request that waits or runs.
  struct Active {
    StartRun start;
    Origin origin;
    base::Millis started;
    bool running = false;
    std::optional<flow::Reason> cancelled;  // why it was asked to end early
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

  // Returns the reason for refusing a new flow, if any.
  std::optional<flow::Reason> WhyNotOpen(const flow::Open& open,
                                         base::Address caller) const;
  // Returns the flow that a bound message belongs to; refuses it otherwise.
  Flow* FindFlow(const flow::Up& message, Origin origin, AgentActions& actions);
  void AnswerKnown(const LedgerEntry& entry,
                   RunId run,
                   Origin origin,
                   AgentActions& actions);
  void Seal(RunId run,
            flow::Reason reason,
            flow::RunState run_state,
            Origin origin,
            AgentActions& actions);
  void SendRefusal(flow::Refusal refusal, Origin origin, AgentActions& actions);
  void SendParts(const Answer& answer,
                 RunId run,
                 uint32_t first,
                 uint32_t count,
                 Origin origin,
                 AgentActions& actions);
  void StartWaiting(base::Millis now, AgentActions& actions);
  // Returns the reason for refusing a new request, if any; queues it if none.
  std::optional<flow::Reason> Admit(const Ticket& ticket, base::Millis now);
  void SettleResult(Flow& flow,
                    const RunResult& result,
                    const Active& active,
                    base::Millis now,
                    AgentActions& actions);
  // Asks a running request to end; its result then settles it.
  void CancelRunning(RunId run, flow::Reason reason, AgentActions& actions);
  // Brings m_answer_bytes up to date after a change of one ledger.
  void CountAnswers(size_t before, const Flow& flow);
  void EraseFlow(base::FlowId id, AgentActions& actions);

  const TargetIdentity m_identity;
  TargetLimits m_limits;
  flow::KeyRing m_keys;
  Readiness m_readiness = Readiness::kNotReady;
  Admission m_admission;
  uint64_t m_flows_opened = 0;
  std::unordered_map<base::FlowId, Flow> m_flows;
  std::unordered_map<base::FlowId, base::FlowId> m_by_proposed;
  std::map<uint32_t, uint32_t> m_flows_by_caller;  // by caller IP
  std::map<RunId, Active> m_active;
  size_t m_answer_bytes = 0;
  std::deque<std::pair<base::FlowId, std::string>> m_closed;  // for Explain()
  std::array<uint64_t, flow::kReasonCount> m_refusals{};
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_TARGET_FLOWS_H_
