// Parses the HTTP requests that agents and balancers receive on the platform:
//
//   PUT    /filberthollow/instances/ID   heartbeat of the upstream ID
//   DELETE /filberthollow/instances/ID   planned termination of the upstream ID
//   GET    /filberthollow/readiness      readiness check
//
//   base::Result<decision::flows::UpstreamHeartbeat> heartbeat =
//       ReadHeartbeat(request);
#ifndef FILBERTHOLLOW_PLATFORM_ANNOUNCEMENT_H_
#define FILBERTHOLLOW_PLATFORM_ANNOUNCEMENT_H_

#include "filberthollow/base/error.h"
#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/net/http_server.h"

namespace filberthollow::platform {

// ReadHeartbeat parses a heartbeat of an upstream. A DELETE request yields a
// heartbeat in which only `id` and the state, kGone, are set, besides `started`
// and `sequence` if its body has them.
// Fails if the path or the method is another one, the body is not valid JSON,
// any field of a heartbeat is missing or has another type, or the state is
// unknown. Such a heartbeat names no upstream, whatever its other fields say.
base::Result<decision::flows::UpstreamHeartbeat> ReadHeartbeat(
    const net::HttpServerRequest& request);

// IsReadinessCheck returns whether the request is the network fabric's check
// whether callers' packets may be sent to this process.
bool IsReadinessCheck(const net::HttpServerRequest& request);

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_ANNOUNCEMENT_H_
