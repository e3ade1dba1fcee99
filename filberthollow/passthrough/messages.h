// The messages between the services of a passed-through balancer or agent.
#ifndef FILBERTHOLLOW_PASSTHROUGH_MESSAGES_H_
#define FILBERTHOLLOW_PASSTHROUGH_MESSAGES_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/base/address.h"
#include "filberthollow/decision/packet_messages.h"
#include "filberthollow/decision/route_table.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::passthrough {

// The service that carries packets, in a balancer or an agent.
inline constexpr const char* kPacketsService = "packets";
// The service that answers the fabric, the upstream and peers over HTTP.
inline constexpr const char* kControlService = "control";

// RoutesChanged brings the routes in force.
struct RoutesChanged {
  std::shared_ptr<const decision::RouteTable> routes;
  friend bool operator==(const RoutesChanged&, const RoutesChanged&) = default;
};

// PeersFound brings addresses at which balancers may be reached.
struct PeersFound {
  std::vector<base::Address> balancers;
  friend bool operator==(const PeersFound&, const PeersFound&) = default;
};

// BeatHeard brings a heartbeat of the upstream.
struct BeatHeard {
  decision::UpstreamHeartbeat beat;
  friend bool operator==(const BeatHeard&, const BeatHeard&) = default;
};

// HealthChecked tells how a health check that was asked for ended.
struct HealthChecked {
  bool answered = false;
  friend bool operator==(HealthChecked, HealthChecked) = default;
};

// LeaveFleet asks to stop once nothing comes in any more.
struct LeaveFleet {
  friend bool operator==(LeaveFleet, LeaveFleet) = default;
};

using PacketsMessage = std::variant<RoutesChanged,
                                    PeersFound,
                                    BeatHeard,
                                    HealthChecked,
                                    LeaveFleet,
                                    admin::ReportQuery>;

// ReadinessChanged tells whether callers can be served here.
struct ReadinessChanged {
  bool ready = false;
  friend bool operator==(ReadinessChanged, ReadinessChanged) = default;
};

// ObjectsHeld brings the configuration objects that peers may ask for.
struct ObjectsHeld {
  std::vector<platform::StoredObject> objects;
  friend bool operator==(const ObjectsHeld&, const ObjectsHeld&) = default;
};

// CatchUp asks to read the configuration from a peer.
struct CatchUp {
  base::Address peer;
  friend bool operator==(const CatchUp&, const CatchUp&) = default;
};

// CheckHealth asks for a health check of the upstream.
struct CheckHealth {
  friend bool operator==(CheckHealth, CheckHealth) = default;
};

// HealthPath tells where the upstream's health check is.
struct HealthPath {
  std::string path;
  friend bool operator==(const HealthPath&, const HealthPath&) = default;
};

using ControlMessage = std::
    variant<ReadinessChanged, ObjectsHeld, CatchUp, CheckHealth, HealthPath>;

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_MESSAGES_H_
