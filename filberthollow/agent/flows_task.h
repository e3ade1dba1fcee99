// The flows service of an agent: it owns the relay socket and the connections
// to the upstream, and carries out what decision::TargetFlows decides.
#ifndef FILBERTHOLLOW_AGENT_FLOWS_TASK_H_
#define FILBERTHOLLOW_AGENT_FLOWS_TASK_H_

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/target_flows.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/settings/fields.h"

namespace filberthollow::agent {

inline constexpr const char* kFlowsService = "flows";

// SettingsChanged brings the target's resolved settings.
struct SettingsChanged {
  settings::Settings settings;
  friend bool operator==(const SettingsChanged&,
                         const SettingsChanged&) = default;
};

// HealthChanged tells whether the upstream is healthy.
struct HealthChanged {
  bool healthy = false;
  friend bool operator==(HealthChanged, HealthChanged) = default;
};

// DrainFlows asks to refuse new work, finish what there is, and then call
// kernel::NotifyDrained().
struct DrainFlows {
  friend bool operator==(DrainFlows, DrainFlows) = default;
};

using FlowsMessage = std::variant<config::KeysChanged,
                                  SettingsChanged,
                                  HealthChanged,
                                  DrainFlows,
                                  admin::ReportQuery>;

class FlowsTask final : public net::LoopTask<FlowsMessage> {
 public:
  // kTickInterval is how often deadlines and idle flows are looked at while
  // there are any flows.
  static constexpr base::Millis kTickInterval{250};
  // kAnswerLinger is how long a drained agent stays, so that callers can fetch
  // the answers of their last requests.
  static constexpr base::Millis kAnswerLinger{2000};

  FlowsTask(const base::Clock& clock,
            kernel::Registry& registry,
            std::shared_ptr<net::UdpSocket> socket,
            decision::TargetIdentity identity,
            base::Address upstream);

 protected:
  void OnStart() override;
  void OnMessage(const FlowsMessage& message) override;
  void OnStopped() override;

 private:
  void Handle(const config::KeysChanged& m);
  void Handle(const SettingsChanged& m);
  void Handle(const HealthChanged& m);
  void Handle(const DrainFlows& m);
  void Handle(const admin::ReportQuery& m);

  void OnDatagram(std::string_view bytes, base::Address from);
  void Perform(const decision::AgentActions& actions);
  void Start(const decision::StartRun& start);
  void OnUpstreamDone(decision::RunId run, const net::HttpResult& result);
  void EnsureTick();
  void OnTick();
  void ReportLoad();
  void CheckDrained();
  std::string StatusJson() const;

  std::shared_ptr<net::UdpSocket> m_socket;
  const base::Address m_upstream;
  net::HttpClient m_client;
  flow::KeyRing m_keys;
  decision::TargetFlows m_flows;
  std::map<decision::RunId, net::HttpClient::ExchangeId> m_exchanges;
  std::map<decision::RunId, base::Millis> m_start_times;
  bool m_tick_scheduled = false;
  base::Millis m_stop_timeout;  // that a planned stop may take
  bool m_draining = false;
  bool m_linger_scheduled = false;
  uint32_t m_reported_load = 0;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::agent

#endif  // FILBERTHOLLOW_AGENT_FLOWS_TASK_H_
