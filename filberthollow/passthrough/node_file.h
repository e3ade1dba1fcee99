// The settings of one passed-through process: who it is, where it is, and which
// addresses it uses.
#ifndef FILBERTHOLLOW_PASSTHROUGH_NODE_FILE_H_
#define FILBERTHOLLOW_PASSTHROUGH_NODE_FILE_H_

#include <string>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"

namespace filberthollow::passthrough {

// NodeSettings is a value; members that a role does not use are empty.
struct NodeSettings {
  std::string name;
  std::string data_centre;
  base::Address peers;      // UDP and TCP between processes of the fleet
  base::Address readiness;  // HTTP, for the fabric
  base::Address metrics;    // HTTP, for monitoring
  base::Address platform;   // the platform's object API
  std::vector<base::Address> seeds;  // peer addresses of some balancers; they
                                     // may be out of date
  bool first_start = false;  // the whole system starts for the first time
  base::Millis stop_grace;   // from the stop signal until the process is killed
  base::Millis flow_lifetime;  // after which a flow need not be kept

  // A balancer's.
  base::Address callers;  // UDP, packets of callers

  // An agent's.
  uint16_t caller_port = 0;  // where packets to a caller are sent
  base::Address outbound;    // UDP, packets of its upstream
  base::Address upstream;    // packets to its upstream, and its health check
  base::Address heartbeats;  // HTTP, heartbeats of its upstream
  std::string service;
  base::Millis heartbeat_interval;  // of the upstream's heartbeats

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_NODE_FILE_H_
