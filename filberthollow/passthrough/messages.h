// The messages between the services of a pass-through balancer or agent.
#ifndef FILBERTHOLLOW_PASSTHROUGH_MESSAGES_H_
#define FILBERTHOLLOW_PASSTHROUGH_MESSAGES_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/base/address.h"
#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/decision/flows/route_table.h"
#include "filberthollow/decision/flows/upstream_life.h"
#include "filberthollow/decision/membership/evacuations.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::passthrough {

// Name of the service that forwards packets: BalancerTask or AgentTask.
inline constexpr const char* kPacketsService = "packets";
// Name of the service that serves the network fabric, the upstream and peers
// over HTTP: ControlTask.
inline constexpr const char* kControlService = "control";

// Carries the routes that are now in force.
struct RoutesChanged {
  std::shared_ptr<const decision::flows::RouteTable> routes;
  friend bool operator==(const RoutesChanged&, const RoutesChanged&) = default;
};

// Carries the evacuated data centres as the store lists them.
struct EvacuationsChanged {
  decision::membership::EvacuationList list;
  friend bool operator==(const EvacuationsChanged&,
                         const EvacuationsChanged&) = default;
};

// Carries peer addresses of balancers, which may be outdated.
struct BalancersFound {
  std::vector<base::Address> balancers;
  friend bool operator==(const BalancersFound&,
                         const BalancersFound&) = default;
};

// Carries a heartbeat from the upstream. HeartbeatJudged is the reply.
struct HeartbeatReceived {
  uint64_t request = 0;  // identifies the HTTP request
  decision::flows::UpstreamHeartbeat heartbeat;
  friend bool operator==(const HeartbeatReceived&,
                         const HeartbeatReceived&) = default;
};

// Reports that a heartbeat could not be read, for metrics.
struct HeartbeatMalformed {
  friend bool operator==(HeartbeatMalformed, HeartbeatMalformed) = default;
};

// Carries the result of a health check requested by CheckHealth.
struct HealthCheckResult {
  // The upstream sent an HTTP response, with any status.
  bool answered = false;
  friend bool operator==(HealthCheckResult, HealthCheckResult) = default;
};

// Requests that the process leave the fleet: it tells its peers, keeps serving
// for a limited time, and then stops.
struct LeaveFleet {
  friend bool operator==(LeaveFleet, LeaveFleet) = default;
};

// A message to the packets service.
using PacketsMessage = std::variant<RoutesChanged,
                                    EvacuationsChanged,
                                    BalancersFound,
                                    HeartbeatReceived,
                                    HeartbeatMalformed,
                                    HealthCheckResult,
                                    LeaveFleet,
                                    admin::ReportQuery>;

// Carries whether this process can serve callers, for readiness checks.
struct ReadinessChanged {
  bool ready = false;
  friend bool operator==(ReadinessChanged, ReadinessChanged) = default;
};

// Carries all current configuration objects, which peers may fetch.
struct ConfigObjectsChanged {
  std::vector<platform::StoredObject> objects;
  friend bool operator==(const ConfigObjectsChanged&,
                         const ConfigObjectsChanged&) = default;
};

// Requests that the configuration be fetched from a peer.
struct FetchPeerConfig {
  base::Address peer;
  friend bool operator==(const FetchPeerConfig&,
                         const FetchPeerConfig&) = default;
};

// Requests a health check of the upstream; HealthCheckResult is the reply.
struct CheckHealth {
  friend bool operator==(CheckHealth, CheckHealth) = default;
};

// Carries the HTTP path of the upstream's health check.
struct HealthPathChanged {
  std::string path;
  friend bool operator==(const HealthPathChanged&,
                         const HealthPathChanged&) = default;
};

// Carries the effect of a heartbeat, which its sender is to be told.
struct HeartbeatJudged {
  uint64_t request = 0;  // as in HeartbeatReceived
  decision::flows::HeartbeatOutcome outcome{};
  friend bool operator==(HeartbeatJudged, HeartbeatJudged) = default;
};

// A message to the control service.
using ControlMessage = std::variant<ReadinessChanged,
                                    ConfigObjectsChanged,
                                    FetchPeerConfig,
                                    CheckHealth,
                                    HealthPathChanged,
                                    HeartbeatJudged>;

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_MESSAGES_H_
