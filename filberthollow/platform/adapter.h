// The platform, as the passed-through front end uses it.
//
//   return RunOnPlatform(options, "filberthollow-balancer",
//                        &passthrough::RunBalancer);
#ifndef FILBERTHOLLOW_PLATFORM_ADAPTER_H_
#define FILBERTHOLLOW_PLATFORM_ADAPTER_H_

#include "filberthollow/daemon/daemon.h"
#include "filberthollow/passthrough/adapter.h"

namespace filberthollow::platform {

passthrough::Adapter MakeAdapter(const passthrough::NodeSettings& settings);

// RunOnPlatform reads the settings file that the platform names and runs the
// process until it is told to stop. `name` is the program's, for errors.
// Returns the exit code.
int RunOnPlatform(const daemon::DaemonOptions& options,
                  const char* name,
                  int (*run)(const passthrough::NodeSettings&,
                             const passthrough::Adapter&));

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_ADAPTER_H_
