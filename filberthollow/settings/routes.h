// Routes map the addresses that callers send to onto services. They apply to
// flows whose packets are passed through.
//
// A route says whether its requests are idempotent, what priority they have,
// and how its new flows are divided among services. The settings tree, the
// routes and the health check paths form a snapshot, which is stored in one
// object at the platform:
//
//   {"version": 12, "settings": {...}, "services": {...},
//    "routes": [{"name": "desk", "address": "198.18.0.1:443",
//                "idempotent": false, "priority": 1,
//                "latency_goal_ms": 250, "timeout_ms": 2000,
//                "shares": [{"service": "permit-desk", "weight": 100}]}],
//    "health_paths": {"permit-desk": "/health"},
//    "cold_limits": {"permit-desk": {"requests_per_second": 12,
//                                    "duration_ms": 2000}}}
//
//   Result<Snapshot> snapshot = ParseSnapshot(text, "config/tree/snapshot");
#ifndef FILBERTHOLLOW_SETTINGS_ROUTES_H_
#define FILBERTHOLLOW_SETTINGS_ROUTES_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/error.h"
#include "filberthollow/settings/tree.h"

namespace filberthollow::settings {

// A service that gets part of a route's new flows. Its part is `weight` divided
// by the sum of the weights of the route's shares.
struct RouteShare {
  std::string service;
  uint32_t weight = 1;
  friend auto operator<=>(const RouteShare&, const RouteShare&) = default;
};

// Latency goal of routes for which the operator sets none. People notice an
// answer that takes longer than this.
inline constexpr uint32_t kDefaultLatencyGoalMs = 250;

// The route of one address that callers send to.
struct Route {
  std::string name;
  base::Address address;
  bool idempotent = false;  // whether callers may repeat requests
  // Order in which requests are taken from the queue of a busy upstream; 0 is
  // first.
  uint32_t priority = 0;
  // Intended time from request to answer. The queue of a busy upstream uses it
  // to detect overload.
  uint32_t latency_goal_ms = kDefaultLatencyGoalMs;
  // Time after which callers give up a request; 0 if it is not known.
  uint32_t timeout_ms = 0;
  std::vector<RouteShare> shares;
  friend auto operator<=>(const Route&, const Route&) = default;
};

// Limit on the new flows of an upstream that has just started.
struct ColdLimit {
  double requests_per_second = 0;  // 0: no limit
  base::Millis duration;           // after the start of the upstream
  friend bool operator==(const ColdLimit&, const ColdLimit&) = default;
};
using ColdLimits = std::map<std::string, ColdLimit>;  // by service name

// The complete configuration except for the keys.
struct Snapshot {
  Tree tree;
  std::vector<Route> routes;
  // Paths of the HTTP health checks, by service name.
  std::map<std::string, std::string> health_paths;
  // Number that the author has given to this version, which grows with each
  // change; 0 if there is none.
  uint64_t version = 0;
  ColdLimits cold_limits;
  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

// Parses the JSON text of a snapshot. `source` is the object or file that the
// text came from and is named in errors.
base::Result<Snapshot> ParseSnapshot(std::string_view text,
                                     std::string_view source);
// Returns the JSON text of a snapshot.
std::string SnapshotText(const Snapshot& snapshot);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_ROUTES_H_
