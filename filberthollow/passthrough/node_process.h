// The processes of passed-through flows: which services they are made of, and
// how they start and stop.
#ifndef FILBERTHOLLOW_PASSTHROUGH_NODE_PROCESS_H_
#define FILBERTHOLLOW_PASSTHROUGH_NODE_PROCESS_H_

#include "filberthollow/passthrough/adapter.h"
#include "filberthollow/passthrough/node_file.h"

namespace filberthollow::passthrough {

// RunBalancer and RunAgent run until a stop signal and return the exit code.
int RunBalancer(const NodeSettings& settings, const Adapter& adapter);
int RunAgent(const NodeSettings& settings, const Adapter& adapter);

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_NODE_PROCESS_H_
