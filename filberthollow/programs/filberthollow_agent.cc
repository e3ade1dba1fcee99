// filberthollow-agent: runs next to one upstream and runs the requests of that
// target on it.
#include "filberthollow/agent/agent_process.h"
#include "filberthollow/daemon/daemon.h"
#include "filberthollow/passthrough/node_process.h"
#include "filberthollow/platform/adapter.h"

namespace {

namespace daemon = filberthollow::daemon;
namespace settings = filberthollow::settings;

int RunPassthrough(const daemon::DaemonOptions& options) {
  return filberthollow::platform::RunOnPlatform(
      options, "filberthollow-agent", &filberthollow::passthrough::RunAgent);
}

}  // namespace

int main(int argc, char** argv) {
  return daemon::RunDaemon<settings::AgentFile>(
      argc, argv, "filberthollow-agent", &settings::ParseAgentFile,
      &filberthollow::agent::RunAgent, &RunPassthrough);
}
