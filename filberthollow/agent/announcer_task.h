// The announcer service of an agent. It checks the upstream's health, reads the
// load that the upstream reports, is the author of the target's member record,
// and sends the record in heartbeats to a few balancers, its observers.
#ifndef FILBERTHOLLOW_AGENT_ANNOUNCER_TASK_H_
#define FILBERTHOLLOW_AGENT_ANNOUNCER_TASK_H_

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/membership/observer_choice.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/settings/fields.h"
#include "filberthollow/wire/control_codec.h"

namespace filberthollow::agent {

inline constexpr const char* kAnnouncerService = "announcer";

// LoadChanged reports how many requests wait or run at the agent.
struct LoadChanged {
  uint32_t load = 0;
  friend bool operator==(LoadChanged, LoadChanged) = default;
};

// BalancersFound replaces the known control addresses of balancers.
struct BalancersFound {
  std::vector<base::Address> balancers;
  friend bool operator==(const BalancersFound&,
                         const BalancersFound&) = default;
};

// AnnounceDraining announces that the target takes no new work, and
// AnnounceLeft that it has ended as planned. Neither can be undone.
struct AnnounceDraining {
  friend bool operator==(AnnounceDraining, AnnounceDraining) = default;
};
struct AnnounceLeft {
  friend bool operator==(AnnounceLeft, AnnounceLeft) = default;
};

using AnnouncerMessage = std::variant<config::KeysChanged,
                                      LoadChanged,
                                      BalancersFound,
                                      AnnounceDraining,
                                      AnnounceLeft,
                                      admin::ReportQuery>;

// AnnouncerOptions describes the target to announce.
struct AnnouncerOptions {
  // The target's record when the agent starts.
  decision::membership::MemberRecord record;
  std::string data_centre;
  std::string target;
  // HTTP address for health checks and load reports.
  base::Address upstream;
  // Port of the agent's admin service.
  uint16_t admin_port = 0;
};

// AnnouncerTask runs the announcer service.
class AnnouncerTask final : public net::LoopTask<AnnouncerMessage> {
 public:
  // kHeartbeatInterval is the shortest time between regular heartbeats;
  // observers may ask for a longer one.
  static constexpr base::Millis kHeartbeatInterval{1000};
  // kHealthInterval is the time between health checks, each followed by a read
  // of the upstream's load. kHealthTimeout limits each of these requests.
  static constexpr base::Millis kHealthInterval{1000};
  static constexpr base::Millis kHealthTimeout{1000};
  // kUnhealthyThreshold is the number of consecutive failed checks after which
  // a healthy upstream is unhealthy; one successful check makes it healthy
  // again.
  static constexpr uint32_t kUnhealthyThreshold = 2;

  // `socket` is the bound control socket.
  AnnouncerTask(const base::Clock& clock,
                kernel::Registry& registry,
                std::shared_ptr<net::UdpSocket> socket,
                AnnouncerOptions options);

 protected:
  void OnStart() override;
  void OnMessage(const AnnouncerMessage& message) override;

 private:
  void Handle(const config::KeysChanged& m);
  void Handle(const LoadChanged& m);
  void Handle(const BalancersFound& m);
  void Handle(const AnnounceDraining& m);
  void Handle(const AnnounceLeft& m);
  void Handle(const admin::ReportQuery& m);

  void OnDatagram(std::string_view bytes, base::Address from);
  // Handles an observer's ack: refutes suspicions, applies newer settings,
  // requests newer keys, and drains the agent if the target has a newer
  // incarnation.
  void OnAck(const wire::HeartbeatAck& ack, base::Address from);
  void ApplySettings(const settings::Settings& settings, uint64_t revision);
  void OnHeartbeatTimer();
  void OnHealthTimer();
  // Starts a health check unless one is in progress.
  void CheckHealth();
  // Reads the load that the upstream reports, for metrics only. It is not
  // trusted: placement uses the requests that the agent itself counts.
  void ReadLoad();
  // Handles the result of a health check.
  void OnHealth(bool healthy);
  // Sets the state in the record and sends heartbeats at once. Draining and
  // left are final.
  void SetState(decision::membership::MemberState state);
  // Sends a heartbeat to each observer, once there are keys to seal it with.
  void SendHeartbeats();
  std::string StatusJson() const;

  std::shared_ptr<net::UdpSocket> m_socket;
  const AnnouncerOptions m_options;
  net::HttpClient m_client;
  flow::KeyRing m_keys;
  decision::membership::MemberRecord m_record;
  decision::membership::ObserverChoice m_observers;
  // Time until the next regular heartbeat.
  base::Millis m_heartbeat_interval = kHeartbeatInterval;
  uint64_t m_settings_revision = 0;
  bool m_healthy = false;
  bool m_check_in_progress = false;
  // Whether an observer knows a newer incarnation of this target.
  bool m_superseded = false;
  uint32_t m_failed_checks = 0;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::agent

#endif  // FILBERTHOLLOW_AGENT_ANNOUNCER_TASK_H_
