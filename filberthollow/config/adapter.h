// Adapter is the interface between the pass-through front end and the platform
// it runs on. It translates the platform's formats (packets, HTTP requests,
// settings, configuration) to the types of this project. It is stateless and
// makes no load-balancing decisions.
//
//   Adapter adapter = platform::MakeAdapter(settings);
#ifndef FILBERTHOLLOW_CONFIG_ADAPTER_H_
#define FILBERTHOLLOW_CONFIG_ADAPTER_H_

#include "filberthollow/base/error.h"
#include "filberthollow/config/fleet_config_task.h"
#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/flow/packet.h"
#include "filberthollow/net/http_server.h"
#include "filberthollow/settings/node_settings.h"

namespace filberthollow::config {

// The functions and objects that the platform provides. They must live as long
// as the process.
struct Adapter {
  // Parses and builds the packets of callers and upstreams. Not owned.
  const flow::PacketFormat* packet_format = nullptr;
  // Parses an upstream's heartbeat from an HTTP request. Fails if the request
  // does not identify an upstream.
  base::Result<decision::flows::UpstreamHeartbeat> (*read_heartbeat)(
      const net::HttpServerRequest&) = nullptr;
  // Returns whether the request is the network fabric's readiness check, which
  // asks whether callers' packets may be sent to this process.
  bool (*is_readiness_check)(const net::HttpServerRequest&) = nullptr;
  // Reads the current settings of this process from the platform.
  base::Result<settings::NodeSettings> (*read_settings)() = nullptr;
  // Creates the client of the store that holds the configuration.
  StoreFactory store;
  // Parses the configuration snapshot object read from `store`.
  SnapshotReader read_snapshot = nullptr;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_ADAPTER_H_
