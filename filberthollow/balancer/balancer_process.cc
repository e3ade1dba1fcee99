#include "filberthollow/balancer/balancer_process.h"

#include <random>

#include "filberthollow/admin/admin_task.h"
#include "filberthollow/balancer/members_task.h"
#include "filberthollow/balancer/peers_task.h"
#include "filberthollow/balancer/relay_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/config/fleet_config_task.h"
#include "filberthollow/daemon/daemon.h"
#include "filberthollow/net/tcp_listener.h"
#include "filberthollow/platform/http_object_store.h"

namespace filberthollow::balancer {
namespace {

using base::Level;

// How long a stopping balancer keeps relaying, so that answers in progress
// reach their callers.
constexpr int kRelayLingerMs = 1500;

decision::membership::MemberRecord OwnRecord(const settings::BalancerFile& file,
                                             base::Address control) {
  auto started = static_cast<uint64_t>(base::WallMillis().count());
  return {.id = decision::membership::MemberId{base::HashBytes(file.name)},
          .kind = decision::membership::MemberKind::kBalancer,
          .state = decision::membership::MemberState::kReady,
          .incarnation = base::Incarnation{started},
          .sequence = 1,
          .data_centre = base::HashBytes(file.data_centre),
          .address = control};
}

// Returns callbacks that post configuration changes to the services that use
// them.
config::ConfigListeners Listeners(kernel::Registry& registry) {
  return {.on_keys =
              [&registry](const flow::KeyRing& keys) {
                config::KeysChanged changed{keys};
                registry.Post(kRelayService, RelayMessage(changed));
                registry.Post(kMembersService, MembersMessage(changed));
                registry.Post(kPeersService, PeersMessage(changed));
              },
          .on_snapshot =
              [&registry](const config::ConfigSnapshotPtr& snapshot) {
                registry.Post(
                    kMembersService,
                    MembersMessage(config::ConfigSnapshotChanged{snapshot}));
              },
          .on_balancers =
              [&registry](const std::vector<base::Address>& peers) {
                registry.Post(kMembersService,
                              MembersMessage(PeersFound{peers, true}));
              },
          .on_objects =
              [&registry](const std::vector<platform::StoredObject>& objects) {
                registry.Post(kPeersService,
                              PeersMessage(ObjectsChanged{objects}));
              },
          .on_newer_peer =
              [&registry](base::Address peer) {
                registry.Post(kPeersService, PeersMessage(FetchSnapshot{peer}));
              }};
}

// Refuses new flows, announces the stop to the other balancers, and keeps
// relaying for kRelayLingerMs.
void DrainBalancer(kernel::Registry& registry) {
  base::Log(Level::kInfo, "stopping");
  registry.Post(kRelayService, RelayMessage(DrainRelay{}));
  registry.Post(kMembersService, MembersMessage(LeaveFleet{}));
  kernel::WaitForWakeup(kRelayLingerMs);
}

}  // namespace

int RunBalancer(const settings::BalancerFile& file) {
  auto callers = net::UdpSocket::Bind(file.caller_address);
  auto agents = net::UdpSocket::Bind(file.relay_address);
  auto control = net::BindControl(file.control_address);
  for (const auto* socket : {&callers, &agents}) {
    if (!*socket) {
      return daemon::FailWith("bind_failed", socket->error(),
                              daemon::kExitBindFailed);
    }
  }
  if (!control) {
    return daemon::FailWith("bind_failed", control.error(),
                            daemon::kExitBindFailed);
  }
  base::SystemClock clock;
  kernel::Kernel kernel;
  kernel::Registry& registry = kernel.registry();
  auto admin = std::make_unique<admin::AdminTask>(
      clock, registry, file.admin_address,
      std::vector<admin::ReportSource>{
          admin::SourceFor<RelayMessage>(registry, kRelayService),
          admin::SourceFor<MembersMessage>(registry, kMembersService),
          admin::SourceFor<PeersMessage>(registry, kPeersService),
          admin::SourceFor<config::ConfigMessage>(registry,
                                                  config::kConfigService)});
  auto admin_address = admin->Listen();
  if (!admin_address) {
    return daemon::FailWith("bind_failed", admin_address.error(),
                            daemon::kExitBindFailed);
  }
  base::Address control_address = control->datagrams->address();
  config::BootstrapEntry entry{.name = file.name,
                               .data_centre = file.data_centre,
                               .control = control_address,
                               .admin = *admin_address,
                               .callers = (*callers)->address()};
  kernel.Add(std::make_unique<RelayTask>(clock, registry,
                                         RelaySockets{*callers, *agents}));
  kernel.Add(std::make_unique<MembersTask>(clock, registry, control->datagrams,
                                           OwnRecord(file, control_address)));
  kernel.Add(
      std::make_unique<PeersTask>(registry, control->listener, file.join_key));
  kernel.Add(std::make_unique<config::FleetConfigTask>(
      clock, registry,
      config::FleetConfigOptions{
          .store =
              [&file](net::HttpClient& client) {
                return std::make_unique<platform::HttpObjectStore>(
                    client, file.platform);
              },
          .bootstrap_entry = entry,
          .seed = std::random_device{}()},
      Listeners(registry)));
  kernel.Add(std::move(admin));
  base::Log(Level::kInfo, "listening",
            {{"role", "balancer"},
             {"name", file.name},
             {"callers", entry.callers.Text()},
             {"relay", (*agents)->address().Text()},
             {"control", control_address.Text()},
             {"admin", admin_address->Text()}});
  kernel.Start();
  registry.Post(kMembersService, MembersMessage(PeersFound{file.peers}));
  kernel::WaitForStop();
  DrainBalancer(registry);
  kernel.Stop();
  base::Log(Level::kInfo, "stopped");
  return 0;
}

}  // namespace filberthollow::balancer
