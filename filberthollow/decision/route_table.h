// The routes in force, compiled for lookups by packet.
//
//   RouteTable table(version);
//   const CompiledRoute* route = table.Find(packet.destination);
//   base::ServiceId service = route->ServiceFor(flow);
#ifndef FILBERTHOLLOW_DECISION_ROUTE_TABLE_H_
#define FILBERTHOLLOW_DECISION_ROUTE_TABLE_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/flow/packet.h"
#include "filberthollow/settings/routes.h"

namespace filberthollow::decision {

// CompiledShare is one service's part of a route.
struct CompiledShare {
  base::ServiceId service{};
  uint32_t weight = 0;
  friend auto operator<=>(const CompiledShare&, const CompiledShare&) = default;
};

// CompiledRoute is what the data path needs of a route.
struct CompiledRoute {
  bool idempotent = false;
  uint32_t priority = 0;
  base::Millis latency_goal;
  std::vector<CompiledShare> shares;
  friend bool operator==(const CompiledRoute&, const CompiledRoute&) = default;

  // ServiceFor chooses by weight; copies of one packet get the same service at
  // every balancer. Requires at least one share.
  base::ServiceId ServiceFor(const flow::FlowEnds& flow) const;
  // Allows returns whether new flows may go to a service.
  bool Allows(base::ServiceId service) const;
};

// RouteTable is an immutable value.
class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(uint64_t revision,
             const settings::Tree& tree,
             const std::vector<settings::Route>& routes);

  // Find returns null if no route has the address; valid while the table is.
  const CompiledRoute* Find(base::Address address) const;
  // Returns how many flows an upstream of the service may hold.
  uint32_t ConnectionLimit(base::ServiceId service) const;
  // Returns after what silence a flow need not be kept.
  base::Millis idle_timeout() const { return m_idle_timeout; }
  // Returns the configuration's revision; 0 if there is none yet.
  uint64_t revision() const { return m_revision; }

  friend bool operator==(const RouteTable&, const RouteTable&) = default;

 private:
  uint64_t m_revision = 0;
  base::Millis m_idle_timeout{0};
  std::unordered_map<base::Address, CompiledRoute, base::AddressHash> m_routes;
  std::unordered_map<base::ServiceId, uint32_t> m_connection_limits;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_ROUTE_TABLE_H_
