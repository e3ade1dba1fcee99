#include "filberthollow/passthrough/node_process.h"

#include <algorithm>
#include <random>
#include <utility>

#include "filberthollow/admin/admin_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/config/evacuation_task.h"
#include "filberthollow/daemon/daemon.h"
#include "filberthollow/passthrough/agent_task.h"
#include "filberthollow/passthrough/balancer_task.h"
#include "filberthollow/passthrough/control_task.h"
#include "filberthollow/passthrough/settings_watch.h"

namespace filberthollow::passthrough {
namespace {

using base::Level;

// Part of the stop grace period that is reserved for an orderly shutdown.
constexpr base::Millis kStopMargin{800};
// How long a balancer waits before it fetches a newer configuration from a
// peer. Its own watch usually delivers the change within this time.
constexpr base::Millis kBalancerConfigFetchDelay{300};

config::ConfigListeners MakeConfigListeners(kernel::Registry& registry,
                                            const std::string& service) {
  return {.on_keys = [](const flow::KeyRing& /*keys*/) {},
          .on_snapshot =
              [&registry, service](const config::ConfigSnapshotPtr& snapshot) {
                registry.Post(
                    kPacketsService,
                    PacketsMessage(RoutesChanged{
                        std::make_shared<const decision::flows::RouteTable>(
                            snapshot->revision, snapshot->tree,
                            snapshot->routes, snapshot->cold_limits)}));
                auto health = snapshot->health_paths.find(service);
                if (health != snapshot->health_paths.end()) {
                  registry.Post(
                      kControlService,
                      ControlMessage(HealthPathChanged{health->second}));
                }
              },
          .on_balancers =
              [&registry](const std::vector<base::Address>& balancers) {
                registry.Post(kPacketsService,
                              PacketsMessage(BalancersFound{balancers}));
              },
          .on_objects =
              [&registry](const std::vector<platform::StoredObject>& objects) {
                registry.Post(kControlService,
                              ControlMessage(ConfigObjectsChanged{objects}));
              },
          .on_newer_peer =
              [&registry](base::Address peer) {
                registry.Post(kControlService,
                              ControlMessage(FetchPeerConfig{peer}));
              }};
}

// Blocks until a stop signal, checking the settings at each
// SettingsWatch::kInterval and on reload. Returns the settings at that time.
settings::NodeSettings WaitForStop(kernel::Registry& registry,
                                   const config::Adapter& adapter,
                                   const settings::NodeSettings& settings) {
  SettingsWatch watch(registry, adapter, settings);
  kernel::Wakeup wakeup = kernel::Wakeup::kTimeout;
  while (wakeup == kernel::Wakeup::kTimeout ||
         wakeup == kernel::Wakeup::kReload) {
    wakeup = kernel::WaitForWakeup(
        static_cast<int>(SettingsWatch::kInterval.count()));
    watch.Check();
  }
  return watch.settings();
}

// Adds the services that both roles have to `kernel` and runs it until a stop
// signal. Then stops it once the packets service has drained, or the stop grace
// period is nearly over. Returns the exit code.
int RunServices(kernel::Kernel& kernel,
                const base::Clock& clock,
                const settings::NodeSettings& settings,
                const config::Adapter& adapter,
                config::FleetConfigOptions options) {
  kernel::Registry& registry = kernel.registry();
  auto control =
      std::make_unique<ControlTask>(clock, registry, settings, adapter);
  if (auto listening = control->Listen(); !listening) {
    return daemon::FailWith("bind_failed", listening.error(),
                            daemon::kExitBindFailed);
  }
  auto admin = std::make_unique<admin::AdminTask>(
      clock, registry, settings.metrics,
      std::vector<admin::ReportSource>{
          admin::SourceFor<PacketsMessage>(registry, kPacketsService),
          admin::SourceFor<config::ConfigMessage>(registry,
                                                  config::kConfigService),
          admin::SourceFor<config::EvacuationMessage>(
              registry, config::kEvacuationService)});
  if (auto listening = admin->Listen(); !listening) {
    return daemon::FailWith("bind_failed", listening.error(),
                            daemon::kExitBindFailed);
  }
  kernel.Add(std::move(control));
  kernel.Add(std::move(admin));
  kernel.Add(std::make_unique<config::FleetConfigTask>(
      clock, registry, std::move(options),
      MakeConfigListeners(registry, settings.service)));
  base::Log(Level::kInfo, "started",
            {{"name", settings.name},
             {"data_centre", settings.data_centre},
             {"peers", settings.peers.Text()},
             {"metrics", settings.metrics.Text()},
             {"first_start", settings.first_start ? "yes" : "no"}});
  kernel.Start();
  registry.Post(kPacketsService,
                PacketsMessage(BalancersFound{settings.seeds}));
  base::Millis grace = WaitForStop(registry, adapter, settings).stop_grace;
  base::Log(Level::kInfo, "stopping");
  registry.Post(kPacketsService, PacketsMessage(LeaveFleet{}));
  grace = std::max(grace - kStopMargin, kStopMargin);
  kernel::WaitForWakeup(static_cast<int>(grace.count()));
  kernel.Stop();
  base::Log(Level::kInfo, "stopped");
  return daemon::kExitSuccess;
}

}  // namespace

int RunBalancer(const settings::NodeSettings& settings,
                const config::Adapter& adapter) {
  auto callers = net::UdpSocket::Bind(settings.callers);
  auto peers = net::UdpSocket::Bind(settings.peers);
  for (const auto* socket : {&callers, &peers}) {
    if (!*socket) {
      return daemon::FailWith("bind_failed", socket->error(),
                              daemon::kExitBindFailed);
    }
  }
  base::SystemClock clock;
  kernel::Kernel kernel;
  kernel.Add(std::make_unique<BalancerTask>(clock, kernel.registry(), settings,
                                            adapter,
                                            BalancerSockets{*callers, *peers}));
  // Both services that call the store retry within its read rate together.
  uint32_t reads_per_second = settings.platform_reads_per_second;
  if (settings.evacuations) {
    reads_per_second /= 2;
    kernel.Add(std::make_unique<config::EvacuationTask>(
        clock, kernel.registry(),
        config::EvacuationOptions{.store = adapter.store,
                                  .deadline = settings.evacuation_deadline,
                                  .store_reads_per_second = reads_per_second,
                                  .seed = std::random_device{}()},
        [&registry = kernel.registry()](
            const decision::membership::EvacuationList& list) {
          registry.Post(kPacketsService,
                        PacketsMessage(EvacuationsChanged{list}));
        }));
  }
  config::BootstrapEntry entry{.name = settings.name,
                               .data_centre = settings.data_centre,
                               .control = settings.peers,
                               .admin = settings.metrics,
                               .callers = settings.callers};
  return RunServices(kernel, clock, settings, adapter,
                     {.store = adapter.store,
                      .bootstrap_entry = entry,
                      .peer_fetch_delay = kBalancerConfigFetchDelay,
                      .deadline = settings.config_deadline,
                      .store_reads_per_second = reads_per_second,
                      .read_snapshot = adapter.read_snapshot,
                      .seed = std::random_device{}()});
}

int RunAgent(const settings::NodeSettings& settings,
             const config::Adapter& adapter) {
  auto outbound = net::UdpSocket::Bind(settings.outbound);
  auto peers = net::UdpSocket::Bind(settings.peers);
  for (const auto* socket : {&outbound, &peers}) {
    if (!*socket) {
      return daemon::FailWith("bind_failed", socket->error(),
                              daemon::kExitBindFailed);
    }
  }
  base::SystemClock clock;
  kernel::Kernel kernel;
  kernel.Add(std::make_unique<AgentTask>(clock, kernel.registry(), settings,
                                         adapter,
                                         AgentSockets{*outbound, *peers}));
  return RunServices(kernel, clock, settings, adapter,
                     {.store = adapter.store,
                      .watch_store = false,
                      .peer_fetch_delay = base::Millis(0),
                      .read_snapshot = adapter.read_snapshot,
                      .seed = std::random_device{}()});
}

}  // namespace filberthollow::passthrough
