// The active routes, compiled for lookups by the destination of a packet.
//
//   RouteTable table(revision, tree, routes);
//   const CompiledRoute* route = table.Find(packet.destination);
//   base::ServiceId service = route->ServiceFor(flow);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_ROUTE_TABLE_H_
#define FILBERTHOLLOW_DECISION_FLOWS_ROUTE_TABLE_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/flow/packet.h"
#include "filberthollow/settings/routes.h"

namespace filberthollow::decision::flows {

// CompiledShare is the weight of one service in a route.
struct CompiledShare {
  base::ServiceId service{};
  uint32_t weight = 0;
  friend auto operator<=>(const CompiledShare&, const CompiledShare&) = default;
};

// CompiledRoute holds the fields of a route that the data path needs.
struct CompiledRoute {
  bool idempotent = false;
  uint32_t priority = 0;
  base::Millis latency_goal;
  base::Millis timeout;  // of callers; 0 if it is not known
  std::vector<CompiledShare> shares;
  friend bool operator==(const CompiledRoute&, const CompiledRoute&) = default;

  // ServiceFor chooses a service by weight and a hash of the flow, so that
  // duplicates of a packet get the same service at every balancer. Requires at
  // least one share.
  base::ServiceId ServiceFor(const flow::FlowEnds& flow) const;
  // Allows returns whether new flows may go to `service`: it has a share with a
  // weight above 0.
  bool Allows(base::ServiceId service) const;
};

// RouteTable is an immutable value and may be shared between threads.
class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(uint64_t revision,
             const settings::Tree& tree,
             const std::vector<settings::Route>& routes,
             const settings::ColdLimits& cold_limits = {});

  // Find returns the route with this address, or null if there is none or it
  // has no shares. The pointer is valid as long as the table.
  const CompiledRoute* Find(base::Address address) const;
  // Returns how many flows an upstream of the service may hold; the default of
  // the settings if the service is unknown.
  uint32_t ConnectionLimit(base::ServiceId service) const;
  // Returns the limit on the new flows of a cold upstream of the service; its
  // rate is 0 if there is none.
  settings::ColdLimit ColdLimitOf(base::ServiceId service) const;
  // Returns the idle time after which a flow may be forgotten; 0 means no
  // limit, as in a default-constructed table.
  base::Millis idle_timeout() const { return m_idle_timeout; }
  // Returns the revision of the configuration; 0 if there is none yet.
  uint64_t revision() const { return m_revision; }

  friend bool operator==(const RouteTable&, const RouteTable&) = default;

 private:
  uint64_t m_revision = 0;
  base::Millis m_idle_timeout{0};
  std::unordered_map<base::Address, CompiledRoute, base::AddressHash> m_routes;
  std::unordered_map<base::ServiceId, uint32_t> m_connection_limits;
  std::unordered_map<base::ServiceId, settings::ColdLimit> m_cold_limits;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_ROUTE_TABLE_H_
