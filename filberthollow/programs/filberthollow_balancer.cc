// filberthollow-balancer: relays datagrams between callers and agents.
#include "filberthollow/balancer/balancer_process.h"
#include "filberthollow/daemon/daemon.h"
#include "filberthollow/passthrough/node_process.h"
#include "filberthollow/platform/adapter.h"

namespace {

namespace daemon = filberthollow::daemon;
namespace settings = filberthollow::settings;

int RunPassthrough(const daemon::DaemonOptions& options) {
  return filberthollow::platform::RunOnPlatform(
      options, "filberthollow-balancer",
      &filberthollow::passthrough::RunBalancer);
}

}  // namespace

int main(int argc, char** argv) {
  return daemon::RunDaemon<settings::BalancerFile>(
      argc, argv, "filberthollow-balancer", &settings::ParseBalancerFile,
      &filberthollow::balancer::RunBalancer, &RunPassthrough);
}
