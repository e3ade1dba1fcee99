// The agent process: binds its sockets and runs the services flows, announcer,
// config and admin until it is asked to stop.
#ifndef FILBERTHOLLOW_AGENT_AGENT_PROCESS_H_
#define FILBERTHOLLOW_AGENT_AGENT_PROCESS_H_

#include "filberthollow/settings/process_file.h"

namespace filberthollow::agent {

// RunAgent runs until SIGTERM or SIGINT, or until an observer reports a newer
// incarnation of its target. It then refuses new work, finishes the requests in
// progress within the setting stop_ms, and returns. A second signal ends it at
// once. Call it on the main thread. Returns one of the exit codes of
// daemon/daemon.h.
int RunAgent(const settings::AgentFile& file);

}  // namespace filberthollow::agent

#endif  // FILBERTHOLLOW_AGENT_AGENT_PROCESS_H_
