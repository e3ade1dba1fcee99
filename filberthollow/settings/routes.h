// Routes: which service answers at which address, for flows that are passed
// through as packets.
//
// A route names the address that callers send to, whether its requests may be
// repeated, and the services that share its new flows. Tree and routes together
// are a snapshot, which one object of the platform holds:
//
//   {"settings": {...}, "services": {...},
//    "routes": [{"name": "desk", "address": "198.18.0.1:443",
//                "idempotent": false, "priority": 1,
//                "latency_goal_ms": 250,
//                "shares": [{"service": "permit-desk", "weight": 100}]}],
//    "health_paths": {"permit-desk": "/health"}}
//
//   Result<Snapshot> snapshot = ParseSnapshot(text, "config/tree/snapshot");
#ifndef FILBERTHOLLOW_SETTINGS_ROUTES_H_
#define FILBERTHOLLOW_SETTINGS_ROUTES_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"
#include "filberthollow/settings/tree.h"

namespace filberthollow::settings {

// RouteShare is one service's part of a route's new flows.
struct RouteShare {
  std::string service;
  uint32_t weight = 1;
  friend auto operator<=>(const RouteShare&, const RouteShare&) = default;
};

// kDefaultLatencyGoalMs is used where the operator names none: people notice
// an answer that takes longer.
inline constexpr uint32_t kDefaultLatencyGoalMs = 250;

// Route is one address that callers send to.
struct Route {
  std::string name;
  base::Address address;
  bool idempotent = false;  // a caller may repeat its requests
  uint32_t priority = 0;    // of its requests where they must wait; 0 is first
  uint32_t latency_goal_ms = kDefaultLatencyGoalMs;  // an answer's usual time
  std::vector<RouteShare> shares;
  friend auto operator<=>(const Route&, const Route&) = default;
};

// Snapshot is a whole configuration.
struct Snapshot {
  Tree tree;
  std::vector<Route> routes;
  std::map<std::string, std::string> health_paths;  // by service
  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

// ParseSnapshot reads what SnapshotText() writes; `source` names it in errors.
base::Result<Snapshot> ParseSnapshot(std::string_view text,
                                     std::string_view source);
std::string SnapshotText(const Snapshot& snapshot);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_ROUTES_H_
