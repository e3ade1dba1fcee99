// NodeSettings are the settings of one pass-through process: its identity, its
// location, and the addresses it uses.
#ifndef FILBERTHOLLOW_SETTINGS_NODE_SETTINGS_H_
#define FILBERTHOLLOW_SETTINGS_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"

namespace filberthollow::settings {

// The settings of a balancer or an agent. Members that do not apply to the role
// of the process are empty.
struct NodeSettings {
  std::string name;
  std::string data_centre;
  // Listening address, UDP and TCP, for messages and requests from peers:
  // balancers and agents.
  base::Address peers;
  // Listening address, HTTP, for the network fabric's readiness checks.
  base::Address readiness;
  // Listening address, HTTP, for monitoring.
  base::Address metrics;
  // Address of the platform's object API.
  base::Address platform;
  // The rate of reads that the platform's object API grants to the whole fleet.
  uint32_t platform_reads_per_second = 2000;
  // Time within which a change of the configuration must be in force.
  base::Millis config_deadline;
  // Whether the platform's operator may evacuate data centres.
  bool evacuations = false;
  // Time within which an evacuation must be in force.
  base::Millis evacuation_deadline;
  // A cold upstream may get this many times its configured rate, plus
  // `cold_slack`, of new flows in any second; see settings::ColdLimit.
  double cold_overshoot = 1;
  double cold_slack = 0;
  // Peer addresses of some balancers, which may be outdated.
  std::vector<base::Address> seeds;
  // The whole system is starting for the first time.
  bool first_start = false;
  // Time from the stop signal until the process is killed.
  base::Millis stop_grace;
  // Time after which a flow no longer needs to be kept.
  base::Millis flow_lifetime;

  // Balancers only.

  // Listening address, UDP, for packets from callers.
  base::Address callers;

  // Both roles: port on a caller's host to which packets for the caller are
  // sent.
  uint16_t caller_port = 0;

  // Agents only.

  // Listening address, UDP, for packets from the upstream.
  base::Address outbound;
  // Address of the upstream, for packets and health checks.
  base::Address upstream;
  // Listening address, HTTP, for heartbeats of the upstream.
  base::Address heartbeats;
  // Name of the upstream's service.
  std::string service;
  // Interval of the upstream's heartbeats.
  base::Millis heartbeat_interval;

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_NODE_SETTINGS_H_
