// The flows service of an agent. It owns the relay socket and the connections
// to the upstream, and carries out what decision::flows::TargetFlows decides.
#ifndef FILBERTHOLLOW_AGENT_FLOWS_TASK_H_
#define FILBERTHOLLOW_AGENT_FLOWS_TASK_H_

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/flows/target_flows.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/settings/fields.h"

namespace filberthollow::agent {

inline constexpr const char* kFlowsService = "flows";

// SettingsChanged delivers the target's resolved settings.
struct SettingsChanged {
  settings::Settings settings;
  friend bool operator==(const SettingsChanged&,
                         const SettingsChanged&) = default;
};

// HealthChanged reports whether the upstream is healthy.
struct HealthChanged {
  bool healthy = false;
  friend bool operator==(HealthChanged, HealthChanged) = default;
};

// DrainFlows asks to refuse new work, finish the requests in progress, and then
// call kernel::NotifyDrained(); at the latest after the setting stop_ms.
struct DrainFlows {
  friend bool operator==(DrainFlows, DrainFlows) = default;
};

using FlowsMessage = std::variant<config::KeysChanged,
                                  SettingsChanged,
                                  HealthChanged,
                                  DrainFlows,
                                  admin::ReportQuery>;

// FlowsTask runs the flows service.
class FlowsTask final : public net::LoopTask<FlowsMessage> {
 public:
  // kTickInterval is how often deadlines and idle flows are checked while any
  // flow is open.
  static constexpr base::Millis kTickInterval{250};
  // kAnswerLinger is how long a drained agent keeps running, so that callers
  // can fetch the answers to their last requests.
  static constexpr base::Millis kAnswerLinger{2000};

  // `socket` is the bound relay socket, and `upstream` the HTTP address that
  // requests are sent to.
  FlowsTask(const base::Clock& clock,
            kernel::Registry& registry,
            std::shared_ptr<net::UdpSocket> socket,
            decision::flows::TargetIdentity identity,
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
  void Perform(const decision::flows::AgentActions& actions);
  // Sends a request to the upstream.
  void Start(const decision::flows::UpstreamRequest& start);
  void OnUpstreamDone(decision::load::RequestId request_id,
                      const net::HttpResult& result);
  // Schedules OnTick() if any flow is open and none is scheduled yet.
  void EnsureTick();
  void OnTick();
  // Posts the number of unfinished requests to the announcer if it changed.
  void ReportLoad();
  // If draining and no request is left, schedules kernel::NotifyDrained() after
  // kAnswerLinger.
  void CheckDrained();
  std::string StatusJson() const;

  std::shared_ptr<net::UdpSocket> m_socket;
  const base::Address m_upstream;
  net::HttpClient m_client;
  flow::KeyRing m_keys;
  decision::flows::TargetFlows m_flows;
  std::map<decision::load::RequestId, net::HttpClient::ExchangeId> m_exchanges;
  std::map<decision::load::RequestId, base::Millis> m_start_times;
  bool m_tick_scheduled = false;
  // How long a planned stop may take: the setting stop_ms.
  base::Millis m_stop_timeout;
  bool m_draining = false;
  bool m_linger_scheduled = false;
  // The load last reported to the announcer.
  uint32_t m_reported_load = 0;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::agent

#endif  // FILBERTHOLLOW_AGENT_FLOWS_TASK_H_
