#include "filberthollow/agent/agent_process.h"

#include <random>

#include "filberthollow/admin/admin_task.h"
#include "filberthollow/agent/announcer_task.h"
#include "filberthollow/agent/flows_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/config/agent_config_task.h"
#include "filberthollow/daemon/daemon.h"
#include "filberthollow/platform/http_object_store.h"

namespace filberthollow::agent {
namespace {

using base::Level;

// How long the process waits for the final heartbeats to be sent.
constexpr int kFinalHeartbeatsMs = 100;

decision::flows::TargetIdentity IdentityOf(const settings::AgentFile& file,
                                           base::Address relay) {
  auto started = static_cast<uint64_t>(base::WallMillis().count());
  // The 20 random bits give targets that start in the same millisecond
  // different incarnations.
  uint64_t random = std::random_device{}() & 0xfffff;
  return {.service = base::ServiceIdOf(file.service),
          .target = base::TargetIdOf(file.service, file.data_centre, file.name),
          .incarnation = base::Incarnation{(started << 20) | random},
          .agent = relay};
}

AnnouncerOptions OptionsOf(const settings::AgentFile& file,
                           const decision::flows::TargetIdentity& identity,
                           uint16_t admin_port) {
  return {.record = {.id = decision::membership::MemberId{base::Value(
                         identity.target)},
                     .kind = decision::membership::MemberKind::kTarget,
                     .state = decision::membership::MemberState::kStarting,
                     .incarnation = identity.incarnation,
                     .sequence = 1,
                     .service = identity.service,
                     .data_centre = base::HashBytes(file.data_centre),
                     .address = identity.agent,
                     .weight = settings::Settings{}.weight},
          .data_centre = file.data_centre,
          .target = file.name,
          .upstream = file.upstream,
          .admin_port = admin_port};
}

// Returns callbacks that post configuration changes to the services that use
// them.
config::ConfigListeners Listeners(kernel::Registry& registry) {
  return {.on_keys =
              [&registry](const flow::KeyRing& keys) {
                registry.Post(kFlowsService,
                              FlowsMessage(config::KeysChanged{keys}));
                registry.Post(kAnnouncerService,
                              AnnouncerMessage(config::KeysChanged{keys}));
              },
          .on_snapshot = [](const config::ConfigSnapshotPtr& /*snapshot*/) {},
          .on_balancers =
              [&registry](const std::vector<base::Address>& peers) {
                registry.Post(kAnnouncerService,
                              AnnouncerMessage(BalancersFound{peers}));
              },
          .on_objects = nullptr,
          .on_newer_peer = nullptr};
}

// Announces that the target is draining, waits until the requests in progress
// are finished, and announces that the target has left.
void DrainAgent(kernel::Registry& registry) {
  base::Log(Level::kInfo, "stopping");
  registry.Post(kAnnouncerService, AnnouncerMessage(AnnounceDraining{}));
  registry.Post(kFlowsService, FlowsMessage(DrainFlows{}));
  if (kernel::WaitForStop() == kernel::Wakeup::kStopSignal) {
    base::Log(Level::kWarning, "stopped_at_once");
  }
  registry.Post(kAnnouncerService, AnnouncerMessage(AnnounceLeft{}));
  kernel::WaitForWakeup(kFinalHeartbeatsMs);
}

}  // namespace

int RunAgent(const settings::AgentFile& file) {
  auto relay = net::UdpSocket::Bind(file.relay_address);
  auto control = net::UdpSocket::Bind(file.control_address);
  for (const auto* socket : {&relay, &control}) {
    if (!*socket) {
      return daemon::FailWith("bind_failed", socket->error(),
                              daemon::kExitBindFailed);
    }
  }
  base::SystemClock clock;
  kernel::Kernel kernel;
  kernel::Registry& registry = kernel.registry();
  auto admin = std::make_unique<admin::AdminTask>(
      clock, registry, file.admin_address,
      std::vector<admin::ReportSource>{
          admin::SourceFor<FlowsMessage>(registry, kFlowsService),
          admin::SourceFor<AnnouncerMessage>(registry, kAnnouncerService),
          admin::SourceFor<config::ConfigMessage>(registry,
                                                  config::kConfigService)});
  auto admin_address = admin->Listen();
  if (!admin_address) {
    return daemon::FailWith("bind_failed", admin_address.error(),
                            daemon::kExitBindFailed);
  }
  decision::flows::TargetIdentity identity =
      IdentityOf(file, (*relay)->address());
  kernel.Add(std::make_unique<FlowsTask>(clock, registry, *relay, identity,
                                         file.upstream));
  kernel.Add(std::make_unique<AnnouncerTask>(
      clock, registry, *control,
      OptionsOf(file, identity, admin_address->port)));
  kernel.Add(std::make_unique<config::AgentConfigTask>(
      clock, registry,
      [server = file.platform](net::HttpClient& client) {
        return std::make_unique<platform::HttpObjectStore>(client, server);
      },
      Listeners(registry), std::random_device{}()));
  kernel.Add(std::move(admin));
  base::Log(Level::kInfo, "listening",
            {{"role", "agent"},
             {"name", file.name},
             {"relay", identity.agent.Text()},
             {"control", (*control)->address().Text()},
             {"admin", admin_address->Text()}});
  kernel.Start();
  // Returns also if the agent is superseded: it then drains without a signal
  // and calls kernel::NotifyDrained().
  kernel::WaitForStop();
  DrainAgent(registry);
  kernel.Stop();
  base::Log(Level::kInfo, "stopped");
  return 0;
}

}  // namespace filberthollow::agent
