// The routing of a balancer's data path: decides what happens to each datagram.
//
// The router keeps no state per flow. An Open is placed on a target from the
// view by the placement policy of its service. Any other message carries a flow
// token and goes to the agent named in it, even if the view does not contain
// that agent's target.
//
//   Route route = router.RouteMessage(message, caller, now);
//   std::visit(overloaded{[](const ForwardToAgent&) {...}, ...}, route);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_ROUTER_H_
#define FILBERTHOLLOW_DECISION_FLOWS_ROUTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "filberthollow/decision/flows/placement.h"
#include "filberthollow/decision/load/retry_budget.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::decision::flows {

// ServiceView holds what a balancer knows about one service.
struct ServiceView {
  PlacementKind placement = PlacementKind::kRendezvous;
  uint32_t retry_percent = 10;        // retries per 100 first attempts
  std::vector<Candidate> candidates;  // targets that accept new flows
  friend bool operator==(const ServiceView&, const ServiceView&) = default;
};

// TargetView is a snapshot of all services and targets for the data path.
struct TargetView {
  std::map<base::ServiceId, ServiceView> services;
  // Incarnations that have ended; messages for them are refused.
  std::unordered_set<base::Incarnation> ended_incarnations;
  friend bool operator==(const TargetView&, const TargetView&) = default;
};

// ForwardToAgent routes a message to an agent.
struct ForwardToAgent {
  base::Address agent;
  base::FlowId flow{};  // for an Open: the result of ProposeFlow()
  friend bool operator==(const ForwardToAgent&,
                         const ForwardToAgent&) = default;
};

// ReplyToCaller answers the caller without involving an agent.
struct ReplyToCaller {
  flow::Down message;
  friend bool operator==(const ReplyToCaller&, const ReplyToCaller&) = default;
};

// DropDatagram discards the datagram and counts the reason.
struct DropDatagram {
  flow::Reason reason{};
  friend bool operator==(const DropDatagram&, const DropDatagram&) = default;
};

using Route = std::variant<ForwardToAgent, ReplyToCaller, DropDatagram>;

// Router routes the messages of callers at one balancer. It is owned by one
// task and is not thread-safe.
class Router {
 public:
  explicit Router(flow::KeyRing keys);

  void SetKeys(flow::KeyRing keys) { m_keys = std::move(keys); }
  // SetView replaces the view, including loads from OnLoadReport().
  void SetView(const TargetView& view);

  // OnLoadReport applies the load that an agent reported with an answer. It is
  // used until the next report or SetView().
  void OnLoadReport(base::Address agent, uint32_t load);

  // RouteMessage decides what to do with a message from a caller.
  Route RouteMessage(const flow::Up& message,
                     base::Address caller,
                     base::Millis now);

  const TargetView& view() const { return m_view; }
  const flow::KeyRing& keys() const { return m_keys; }

 private:
  Route OnOpen(const flow::Open& open, base::Address caller, base::Millis now);
  // Returns the refusal of a message with a valid token, if any. Its run state
  // is kUnknown because the request may have run through another balancer.
  std::optional<flow::Refusal> CheckForward(const flow::Up& message,
                                            const flow::FlowToken& token,
                                            base::Millis now);
  // Records a first attempt, or takes a retry from the budget of the service.
  // Returns false if the budget is exhausted.
  bool ChargeRetryBudget(base::ServiceId service,
                         uint8_t attempt,
                         base::Millis now);

  flow::KeyRing m_keys;
  TargetView m_view;
  // Points to the candidates in m_view, by the address of their agent.
  std::unordered_map<base::Address, Candidate*, base::AddressHash> m_by_agent;
  std::unordered_map<base::ServiceId, load::RetryBudget> m_budgets;
};

// ProposeFlow derives an identifier for the flow that an Open asks for. Copies
// of one Open get the same identifier on every balancer.
base::FlowId ProposeFlow(const flow::Open& open, base::Address caller);

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_ROUTER_H_
