// Heartbeats of upstreams on the platform.
//
//   PUT    /filberthollow/instances/ID   a heartbeat
//   DELETE /filberthollow/instances/ID   the last word before a planned end
//
//   std::optional<decision::UpstreamHeartbeat> beat =
//   ReadHeartbeat(request);
#ifndef FILBERTHOLLOW_PLATFORM_ANNOUNCEMENT_H_
#define FILBERTHOLLOW_PLATFORM_ANNOUNCEMENT_H_

#include <optional>

#include "filberthollow/decision/packet_messages.h"
#include "filberthollow/net/http_server.h"

namespace filberthollow::platform {

// ReadHeartbeat returns nothing if the call names no upstream that can be
// used: another path, bytes that can't be read, a field that is missing or of
// another type, or a state that is not known.
std::optional<decision::UpstreamHeartbeat> ReadHeartbeat(
    const net::HttpServerRequest& request);
// IsReadinessCheck returns whether the fabric asks if it may send callers here.
bool IsReadinessCheck(const net::HttpServerRequest& request);

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_ANNOUNCEMENT_H_
