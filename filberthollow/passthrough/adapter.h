// What the passed-through front end needs of the platform that it runs on. An
// adapter translates; it decides nothing and keeps no state.
//
//   Adapter adapter = platform::MakeAdapter(file);
#ifndef FILBERTHOLLOW_PASSTHROUGH_ADAPTER_H_
#define FILBERTHOLLOW_PASSTHROUGH_ADAPTER_H_

#include <optional>

#include "filberthollow/base/error.h"
#include "filberthollow/config/fleet_config_task.h"
#include "filberthollow/decision/packet_messages.h"
#include "filberthollow/flow/packet.h"
#include "filberthollow/net/http_server.h"
#include "filberthollow/passthrough/node_file.h"

namespace filberthollow::passthrough {

// Adapter is a table of functions and objects that live as long as the process.
struct Adapter {
  const flow::PacketFormat* packets = nullptr;
  // Returns the heartbeat in a call, or nothing if it names no upstream.
  std::optional<decision::UpstreamHeartbeat> (*read_beat)(
      const net::HttpServerRequest&) = nullptr;
  // Returns whether the fabric asks if it may send callers here.
  bool (*is_readiness_check)(const net::HttpServerRequest&) = nullptr;
  // Reads the process's settings again, after they have changed.
  base::Result<NodeFile> (*read_settings)() = nullptr;
  config::StoreFactory store;
  // Reads the snapshot object of that store.
  config::SnapshotReader read_snapshot = nullptr;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_ADAPTER_H_
