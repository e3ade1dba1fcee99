// The balancer and agent processes for pass-through flows: sets up their
// services and starts and stops them.
#ifndef FILBERTHOLLOW_PASSTHROUGH_NODE_PROCESS_H_
#define FILBERTHOLLOW_PASSTHROUGH_NODE_PROCESS_H_

#include "filberthollow/config/adapter.h"
#include "filberthollow/settings/node_settings.h"

namespace filberthollow::passthrough {

// Each function runs a process until it has shut down after a stop signal, or
// fails because an address cannot be bound. Returns the exit code. Must be
// called on the main thread, with signals blocked by kernel::BlockSignals().
int RunBalancer(const settings::NodeSettings& settings,
                const config::Adapter& adapter);
int RunAgent(const settings::NodeSettings& settings,
             const config::Adapter& adapter);

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_NODE_PROCESS_H_
