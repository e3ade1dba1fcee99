#include "filberthollow/passthrough/node_process.h"

#include <algorithm>
#include <random>
#include <utility>

#include "filberthollow/admin/admin_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/daemon/daemon.h"
#include "filberthollow/passthrough/agent_task.h"
#include "filberthollow/passthrough/balancer_task.h"
#include "filberthollow/passthrough/control_task.h"
#include "filberthollow/passthrough/settings_watch.h"

namespace filberthollow::passthrough {
namespace {

using base::Level;

// The part of the stop grace that is left for ending in order.
constexpr base::Millis kStopMargin{800};
// A balancer's own watch mostly brings a change within moments.
constexpr base::Millis kBalancerBehindPatience{300};

config::ConfigListeners Listeners(kernel::Registry& registry,
                                  const std::string& service) {
  return {.on_keys = [](const flow::KeyRing& /*keys*/) {},
          .on_tree =
              [&registry, service](const config::TreePtr& tree) {
                registry.Post(
                    kPacketsService,
                    PacketsMessage(RoutesChanged{
                        std::make_shared<const decision::RouteTable>(
                            tree->revision, tree->tree, tree->routes)}));
                auto health = tree->health_paths.find(service);
                if (health != tree->health_paths.end()) {
                  registry.Post(kControlService,
                                ControlMessage(HealthPath{health->second}));
                }
              },
          .on_peers =
              [&registry](const std::vector<base::Address>& balancers) {
                registry.Post(kPacketsService,
                              PacketsMessage(PeersFound{balancers}));
              },
          .on_objects =
              [&registry](const std::vector<platform::StoredObject>& objects) {
                registry.Post(kControlService,
                              ControlMessage(ObjectsHeld{objects}));
              },
          .on_behind =
              [&registry](base::Address peer) {
                registry.Post(kControlService, ControlMessage(CatchUp{peer}));
              }};
}

// Sleeps until the process is to stop; returns the settings at that time.
NodeFile WaitForStop(kernel::Registry& registry,
                     const Adapter& adapter,
                     const NodeFile& file) {
  SettingsWatch settings(registry, adapter, file);
  kernel::Wakeup wakeup = kernel::Wakeup::kTimeout;
  while (wakeup == kernel::Wakeup::kTimeout ||
         wakeup == kernel::Wakeup::kReload) {
    wakeup = kernel::WaitForWakeup(
        static_cast<int>(SettingsWatch::kInterval.count()));
    settings.Check();
  }
  return settings.file();
}

// Adds the services that both roles have, runs the process until it is told to
// stop, and stops it once nothing comes in any more.
int RunServices(kernel::Kernel& kernel,
                const base::Clock& clock,
                const NodeFile& file,
                const Adapter& adapter,
                config::FleetConfigOptions options) {
  kernel::Registry& registry = kernel.registry();
  auto control = std::make_unique<ControlTask>(clock, registry, file, adapter);
  if (auto listening = control->Listen(); !listening) {
    return daemon::FailWith("bind_failed", listening.error(),
                            daemon::kExitNoSocket);
  }
  auto admin = std::make_unique<admin::AdminTask>(
      clock, registry, file.metrics,
      std::vector<admin::ReportSource>{
          admin::SourceFor<PacketsMessage>(registry, kPacketsService),
          admin::SourceFor<config::ConfigMessage>(registry,
                                                  config::kConfigService)});
  if (auto listening = admin->Listen(); !listening) {
    return daemon::FailWith("bind_failed", listening.error(),
                            daemon::kExitNoSocket);
  }
  kernel.Add(std::move(control));
  kernel.Add(std::move(admin));
  kernel.Add(std::make_unique<config::FleetConfigTask>(
      clock, registry, std::move(options), Listeners(registry, file.service)));
  base::Log(Level::kInfo, "started",
            {{"name", file.name},
             {"data_centre", file.data_centre},
             {"peers", file.peers.Text()},
             {"metrics", file.metrics.Text()},
             {"first_start", file.first_start ? "yes" : "no"}});
  kernel.Start();
  registry.Post(kPacketsService, PacketsMessage(PeersFound{file.seeds}));
  base::Millis grace = WaitForStop(registry, adapter, file).stop_grace;
  base::Log(Level::kInfo, "stopping");
  registry.Post(kPacketsService, PacketsMessage(LeaveFleet{}));
  grace = std::max(grace - kStopMargin, kStopMargin);
  kernel::WaitForWakeup(static_cast<int>(grace.count()));
  kernel.Stop();
  base::Log(Level::kInfo, "stopped");
  return daemon::kExitDone;
}

}  // namespace

int RunBalancer(const NodeFile& file, const Adapter& adapter) {
  auto callers = net::UdpSocket::Bind(file.callers);
  auto peers = net::UdpSocket::Bind(file.peers);
  for (const auto* socket : {&callers, &peers}) {
    if (!*socket) {
      return daemon::FailWith("bind_failed", socket->error(),
                              daemon::kExitNoSocket);
    }
  }
  base::SystemClock clock;
  kernel::Kernel kernel;
  kernel.Add(std::make_unique<BalancerTask>(clock, kernel.registry(), file,
                                            adapter,
                                            BalancerSockets{*callers, *peers}));
  config::BootstrapEntry entry{.name = file.name,
                               .data_centre = file.data_centre,
                               .control = file.peers,
                               .admin = file.metrics,
                               .callers = file.callers};
  return RunServices(kernel, clock, file, adapter,
                     {.store = adapter.store,
                      .entry = entry,
                      .behind_patience = kBalancerBehindPatience,
                      .read_snapshot = adapter.read_snapshot,
                      .seed = std::random_device{}()});
}

int RunAgent(const NodeFile& file, const Adapter& adapter) {
  auto outbound = net::UdpSocket::Bind(file.outbound);
  auto peers = net::UdpSocket::Bind(file.peers);
  for (const auto* socket : {&outbound, &peers}) {
    if (!*socket) {
      return daemon::FailWith("bind_failed", socket->error(),
                              daemon::kExitNoSocket);
    }
  }
  base::SystemClock clock;
  kernel::Kernel kernel;
  kernel.Add(std::make_unique<AgentTask>(clock, kernel.registry(), file,
                                         adapter,
                                         AgentSockets{*outbound, *peers}));
  return RunServices(kernel, clock, file, adapter,
                     {.store = adapter.store,
                      .watches = false,
                      .behind_patience = base::Millis(0),
                      .read_snapshot = adapter.read_snapshot,
                      .seed = std::random_device{}()});
}

}  // namespace filberthollow::passthrough
