// The balancer process: binds its sockets and runs the services relay, members,
// peers, config and admin until it is asked to stop.
#ifndef FILBERTHOLLOW_BALANCER_BALANCER_PROCESS_H_
#define FILBERTHOLLOW_BALANCER_BALANCER_PROCESS_H_

#include "filberthollow/settings/process_file.h"

namespace filberthollow::balancer {

// RunBalancer runs until SIGTERM or SIGINT. It then refuses new flows, keeps
// relaying for a short time, so that answers in progress reach their callers,
// and returns. A second signal ends it at once. Call it on the main thread.
// Returns one of the exit codes of daemon/daemon.h.
int RunBalancer(const settings::BalancerFile& file);

}  // namespace filberthollow::balancer

#endif  // FILBERTHOLLOW_BALANCER_BALANCER_PROCESS_H_
