// Connects the pass-through front end to the platform, and starts its programs.
//
//   return RunOnPlatform(options, "filberthollow-balancer",
//                        &passthrough::RunBalancer);
#ifndef FILBERTHOLLOW_PLATFORM_ADAPTER_H_
#define FILBERTHOLLOW_PLATFORM_ADAPTER_H_

#include "filberthollow/config/adapter.h"
#include "filberthollow/daemon/daemon.h"

namespace filberthollow::platform {

// MakeAdapter returns the functions that translate between the platform's
// formats and the types of the front end. Its store uses the object API at
// `settings.platform`.
config::Adapter MakeAdapter(const settings::NodeSettings& settings);

// RunOnPlatform reads the settings file that the platform provides, then calls
// `run`, which runs the process until it is asked to stop. `name` is the name
// of the program, for error messages. Returns the exit code: that of `run`,
// daemon::kExitInvalidConfiguration if the settings cannot be read, or
// daemon::kExitSuccess after a successful check with `options.check_only`,
// which does not call `run`.
int RunOnPlatform(const daemon::DaemonOptions& options,
                  const char* name,
                  int (*run)(const settings::NodeSettings&,
                             const config::Adapter&));

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_ADAPTER_H_
