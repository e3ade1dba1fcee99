// The members service of a balancer. It owns the control socket, receives the
// heartbeats of agents, exchanges member records with other balancers by
// gossip, and publishes the view of the targets to the relay service.
#ifndef FILBERTHOLLOW_BALANCER_MEMBERS_TASK_H_
#define FILBERTHOLLOW_BALANCER_MEMBERS_TASK_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/decision/flows/router.h"
#include "filberthollow/decision/membership/gossip.h"
#include "filberthollow/decision/membership/observer.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/wire/control_codec.h"

namespace filberthollow::balancer {

inline constexpr const char* kMembersService = "members";

// PeersFound adds control addresses of other balancers.
struct PeersFound {
  std::vector<base::Address> peers;
  // Whether `peers` is the whole list at the platform, rather than the
  // addresses in the process file.
  bool complete = false;
  friend bool operator==(const PeersFound&, const PeersFound&) = default;
};

// LeaveFleet asks to announce that this balancer has left the fleet.
struct LeaveFleet {
  friend bool operator==(LeaveFleet, LeaveFleet) = default;
};

// RecordsQuery asks for all member records; the peers service receives them as
// a RecordsReply.
struct RecordsQuery {
  // Identifies the query; copied into the reply.
  uint64_t query = 0;
  friend bool operator==(RecordsQuery, RecordsQuery) = default;
};

// RecordsFound delivers the member records of a peer's snapshot.
struct RecordsFound {
  std::vector<decision::membership::MemberRecord> records;
  friend bool operator==(const RecordsFound&, const RecordsFound&) = default;
};

using MembersMessage = std::variant<config::KeysChanged,
                                    config::ConfigSnapshotChanged,
                                    PeersFound,
                                    LeaveFleet,
                                    RecordsQuery,
                                    RecordsFound,
                                    admin::ReportQuery>;

// kSnapshotRetryInterval is the time between snapshot requests after a start,
// until a snapshot has arrived.
inline constexpr base::Millis kSnapshotRetryInterval{700};

// MembersTask runs the members service.
class MembersTask final : public net::LoopTask<MembersMessage> {
 public:
  // `socket` is the bound control socket, and `self` the balancer's own record.
  MembersTask(const base::Clock& clock,
              kernel::Registry& registry,
              std::shared_ptr<net::UdpSocket> socket,
              decision::membership::MemberRecord self);

 protected:
  void OnStart() override;
  void OnMessage(const MembersMessage& message) override;

 private:
  // Fields of a target's last heartbeat besides its record, for the status.
  struct TargetInfo {
    std::string data_centre;
    std::string target;
    uint64_t settings_revision = 0;
    base::Address admin;
  };

  void Handle(const config::KeysChanged& m);
  void Handle(const config::ConfigSnapshotChanged& m);
  void Handle(const PeersFound& m);
  void Handle(const LeaveFleet& m);
  void Handle(const RecordsQuery& m);
  void Handle(const RecordsFound& m);
  void Handle(const admin::ReportQuery& m);

  void OnDatagram(std::string_view bytes, base::Address from);
  void HandleControl(const wire::Heartbeat& m, base::Address from);
  void HandleControl(const wire::HeartbeatAck& m, base::Address from);
  void HandleControl(const decision::membership::GossipMessage& m,
                     base::Address from);
  // Runs one gossip round: suspects targets that are silent and sends the
  // messages of the round.
  void OnRound();
  // Tells the config service how many balancers there are and the turn of this
  // one, if they have changed.
  void PostFleetSize();
  // Requests a snapshot from a random peer, again every kSnapshotRetryInterval
  // until one has arrived.
  void FetchInitialSnapshot();
  // Marks the member dead once enough observers suspect its current sequence.
  void OnSuspicion(const decision::membership::Suspicion& suspicion);
  // Returns the ack of a heartbeat. It includes the target's settings if the
  // agent's are older than the configuration in force.
  wire::HeartbeatAck AckFor(const wire::Heartbeat& heartbeat) const;
  void Transmit(const std::vector<decision::membership::GossipSend>& sends);
  // Schedules PublishView() if anything changed. The short delay combines a
  // burst of changes into one view.
  void PublishViewIfChanged();
  // Posts the present view to the relay service.
  void PublishView();
  // Returns whether this balancer may be given callers: it has keys, a
  // configuration and a peer's snapshot, and is not leaving. It needs no
  // snapshot if it has no peers and the platform lists none.
  bool IsReady() const;
  std::string StatusJson() const;

  std::shared_ptr<net::UdpSocket> m_socket;
  flow::KeyRing m_keys;
  config::ConfigSnapshotPtr m_snapshot;
  std::map<base::ServiceId, std::string> m_service_names;
  decision::membership::Gossip m_gossip;
  decision::membership::Observer m_observer;
  std::mt19937_64 m_random;
  bool m_snapshot_received = false;
  bool m_peer_list_complete = false;
  config::FleetSizeChanged m_posted_fleet{.balancers = 0};
  bool m_leaving = false;
  bool m_view_changed = false;
  bool m_view_scheduled = false;
  // From the last heartbeat of each target that sends heartbeats to this
  // balancer.
  std::map<decision::membership::MemberId, TargetInfo> m_targets;
  // Loads from the same heartbeats, in requests that wait or run.
  std::map<decision::membership::MemberId, uint32_t> m_loads;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::balancer

#endif  // FILBERTHOLLOW_BALANCER_MEMBERS_TASK_H_
