// The members service of a balancer: it owns the control socket, hears the
// heartbeats of agents, gossips with other balancers, and tells the relay which
// targets there are.
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
#include "filberthollow/decision/gossip.h"
#include "filberthollow/decision/observer.h"
#include "filberthollow/decision/router.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/wire/control_codec.h"

namespace filberthollow::balancer {

inline constexpr const char* kMembersService = "members";

// PeersFound brings control addresses of other balancers.
struct PeersFound {
  std::vector<base::Address> peers;
  bool listed = false;  // these are all that the platform lists
  friend bool operator==(const PeersFound&, const PeersFound&) = default;
};

// LeaveFleet asks to announce that this balancer stops.
struct LeaveFleet {
  friend bool operator==(LeaveFleet, LeaveFleet) = default;
};

// RecordsWanted asks to post RecordsNow to the peers service.
struct RecordsWanted {
  uint64_t query = 0;
  friend bool operator==(RecordsWanted, RecordsWanted) = default;
};

// RecordsFound brings the records that a peer holds.
struct RecordsFound {
  std::vector<decision::MemberRecord> records;
  friend bool operator==(const RecordsFound&, const RecordsFound&) = default;
};

using MembersMessage = std::variant<config::KeysChanged,
                                    config::ConfigSnapshotChanged,
                                    PeersFound,
                                    LeaveFleet,
                                    RecordsWanted,
                                    RecordsFound,
                                    admin::ReportQuery>;

// kCatchUpPause is the time between tries to catch up after a start.
inline constexpr base::Millis kCatchUpPause{700};

class MembersTask final : public net::LoopTask<MembersMessage> {
 public:
  MembersTask(const base::Clock& clock,
              kernel::Registry& registry,
              std::shared_ptr<net::UdpSocket> socket,
              decision::MemberRecord self);

 protected:
  void OnStart() override;
  void OnMessage(const MembersMessage& message) override;

 private:
  // What heartbeats tell besides the record; for settings and status.
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
  void Handle(const RecordsWanted& m);
  void Handle(const RecordsFound& m);
  void Handle(const admin::ReportQuery& m);

  void OnDatagram(std::string_view bytes, base::Address from);
  void HandleControl(const wire::Heartbeat& m, base::Address from);
  void HandleControl(const wire::HeartbeatAck& m, base::Address from);
  void HandleControl(const decision::GossipMessage& m, base::Address from);
  void OnRound();
  // Asks a random peer for all that it knows, until one has answered.
  void CatchUpAtStart();
  void OnSuspicion(const decision::Suspicion& suspicion);
  wire::HeartbeatAck AckFor(const wire::Heartbeat& heartbeat) const;
  void Transmit(const std::vector<decision::GossipSend>& sends);
  // Sends the relay a new view soon, if anything changed; many changes at once
  // make one view.
  void PublishViewIfChanged();
  void PublishView();
  // Returns whether this balancer knows the fleet and may be given callers.
  bool IsReady() const;
  std::string StatusJson() const;

  std::shared_ptr<net::UdpSocket> m_socket;
  flow::KeyRing m_keys;
  config::ConfigSnapshotPtr m_tree;
  std::map<base::ServiceId, std::string> m_service_names;
  decision::Gossip m_gossip;
  decision::Observer m_observer;
  std::mt19937_64 m_random;
  bool m_caught_up = false;
  bool m_peers_listed = false;
  bool m_leaving = false;
  bool m_view_changed = false;
  bool m_view_due = false;
  std::map<decision::MemberId, TargetInfo> m_targets;
  std::map<decision::MemberId, uint32_t> m_loads;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::balancer

#endif  // FILBERTHOLLOW_BALANCER_MEMBERS_TASK_H_
