// The announcer service of an agent: it watches the upstream's health and reads
// its load, is the
// author of the target's record, and sends heartbeats to a few balancers.
#ifndef FILBERTHOLLOW_AGENT_ANNOUNCER_TASK_H_
#define FILBERTHOLLOW_AGENT_ANNOUNCER_TASK_H_

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/observer_choice.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/settings/fields.h"
#include "filberthollow/wire/control_codec.h"

namespace filberthollow::agent {

inline constexpr const char* kAnnouncerService = "announcer";

// LoadChanged tells how many requests wait or run.
struct LoadChanged {
  uint32_t load = 0;
  friend bool operator==(LoadChanged, LoadChanged) = default;
};

// BalancersFound brings the control addresses of balancers.
struct BalancersFound {
  std::vector<base::Address> balancers;
  friend bool operator==(const BalancersFound&,
                         const BalancersFound&) = default;
};

// AnnounceDraining and AnnounceLeft tell the fleet that the target stops.
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

// AnnouncerOptions says whom to announce.
struct AnnouncerOptions {
  decision::MemberRecord record;  // as it is at the start
  std::string data_centre;
  std::string target;
  base::Address upstream;
  uint16_t admin_port = 0;
};

class AnnouncerTask final : public net::LoopTask<AnnouncerMessage> {
 public:
  // kHeartbeatInterval is the shortest interval; observers may ask for a longer
  // one.
  static constexpr base::Millis kHeartbeatInterval{1000};
  static constexpr base::Millis kHealthInterval{1000};
  static constexpr base::Millis kHealthTimeout{1000};
  // kUnhealthyThreshold is how many failed checks in a row make a healthy
  // upstream unhealthy; one good check makes it healthy again.
  static constexpr uint32_t kUnhealthyThreshold = 2;

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
  void OnAck(const wire::HeartbeatAck& ack, base::Address from);
  void ApplySettings(const settings::Settings& settings, uint64_t revision);
  void OnHeartbeatTimer();
  void OnHealthTimer();
  void CheckHealth();
  // Reads the load that the upstream reports of itself. It is shown and not
  // believed: placement uses what the agent itself counts.
  void ReadLoad();
  void OnHealth(bool healthy);
  void SetState(decision::MemberState state);
  void SendHeartbeats();
  std::string StatusJson() const;

  std::shared_ptr<net::UdpSocket> m_socket;
  const AnnouncerOptions m_options;
  net::HttpClient m_client;
  flow::KeyRing m_keys;
  decision::MemberRecord m_record;
  decision::ObserverChoice m_observers;
  base::Millis m_heartbeat_interval = kHeartbeatInterval;
  uint64_t m_settings_revision = 0;
  bool m_healthy = false;
  bool m_check_in_progress = false;
  bool m_superseded = false;
  uint32_t m_failed_checks = 0;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::agent

#endif  // FILBERTHOLLOW_AGENT_ANNOUNCER_TASK_H_
