// The balancers and agents of a FleetModel.
#ifndef FILBERTHOLLOW_LAB_FLEET_NODES_H_
#define FILBERTHOLLOW_LAB_FLEET_NODES_H_

#include <memory>

#include "filberthollow/lab/fleet_model.h"

namespace filberthollow::lab {

struct FleetModel::Balancer {
  base::Address address;
  uint32_t data_centre = 0;
  std::unique_ptr<decision::flows::FlowRouter> router;  // null while it is down
  decision::flows::RouterActions actions;
  uint64_t run = 0;
  base::Millis next_tick{base::kNever};
  uint32_t misses = 0;
};

struct FleetModel::Agent {
  base::Address address;
  uint32_t data_centre = 0;
  std::unique_ptr<UpstreamModel> upstream;
  std::unique_ptr<decision::flows::UpstreamGate>
      gate;  // null while the agent is down
  decision::flows::GateActions actions;
  uint64_t run = 0;
  uint64_t sequence = 0;  // of heartbeats
  base::Millis next_tick{base::kNever};
  bool lies = false;       // reports no load
  base::Millis waited{0};  // of all requests at this agent
  uint64_t answers = 0;
};

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_FLEET_NODES_H_
