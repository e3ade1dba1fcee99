// The decisions of a balancer's data path: where each datagram goes.
//
// The router keeps no state about flows. An open is placed by the service's
// policy over the targets in its view; a bound message follows its token, also
// to a target that the view has never heard of.
//
//   Route route = router.RouteMessage(message, caller, now);
//   std::visit(overloaded{[](const ForwardToAgent&) {...}, ...}, route);
#ifndef FILBERTHOLLOW_DECISION_ROUTER_H_
#define FILBERTHOLLOW_DECISION_ROUTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "filberthollow/decision/placement.h"
#include "filberthollow/decision/retry_budget.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::decision {

// ServiceView is what a balancer knows of one service.
struct ServiceView {
  PlacementKind placement = PlacementKind::kRendezvous;
  uint32_t retry_percent = 10;
  std::vector<Candidate> candidates;  // targets that take new flows
  friend bool operator==(const ServiceView&, const ServiceView&) = default;
};

// TargetView is an immutable picture of the fleet for the data path.
struct TargetView {
  std::map<base::ServiceId, ServiceView> services;
  std::unordered_set<base::Incarnation>
      ended_incarnations;  // ended incarnations
  friend bool operator==(const TargetView&, const TargetView&) = default;
};

// ForwardToAgent sends a message to an agent.
struct ForwardToAgent {
  base::Address agent;
  base::FlowId flow{};
  friend bool operator==(const ForwardToAgent&,
                         const ForwardToAgent&) = default;
};

// ReplyToCaller answers the caller at once.
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

// Router belongs to one balancer and is used by one task.
class Router {
 public:
  explicit Router(flow::KeyRing keys);

  void SetKeys(flow::KeyRing keys) { m_keys = std::move(keys); }
  // SetView replaces the picture of the fleet.
  void SetView(const TargetView& view);

  // OnLoadReport takes the load that an agent reported with an answer; it
  // counts until the next report or view.
  void OnLoadReport(base::Address agent, uint32_t load);

  // RouteMessage decides about a caller's message.
  Route RouteMessage(const flow::Up& message,
                     base::Address caller,
                     base::Millis now);

  const TargetView& view() const { return m_view; }
  const flow::KeyRing& keys() const { return m_keys; }

 private:
  Route OnOpen(const flow::Open& open, base::Address caller, base::Millis now);
  // Returns the refusal of a bound message, if any. Whether such a request has
  // run by way of another balancer is not known here.
  std::optional<flow::Refusal> CheckForward(const flow::Up& message,
                                            const flow::FlowToken& token,
                                            base::Millis now);
  bool ChargeRetryBudget(base::ServiceId service,
                         uint8_t attempt,
                         base::Millis now);

  flow::KeyRing m_keys;
  TargetView m_view;
  // Where each agent's candidate stands in m_view.
  std::unordered_map<base::Address, Candidate*, base::AddressHash> m_by_agent;
  std::unordered_map<base::ServiceId, RetryBudget> m_budgets;
};

// ProposeFlow names the flow that an open asks for: copies of one open get the
// same name on every balancer.
base::FlowId ProposeFlow(const flow::Open& open, base::Address caller);

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_ROUTER_H_
