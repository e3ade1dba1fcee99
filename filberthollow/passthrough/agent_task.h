// AgentTask is the packets service of a pass-through agent. It owns the socket
// for its upstream's traffic and the socket for messages from and to balancers.
// Packets from the upstream go directly to the caller, not through a balancer.
#ifndef FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_

#include <memory>
#include <string_view>
#include <vector>

#include "filberthollow/decision/flows/upstream_gate.h"
#include "filberthollow/decision/membership/first_reports.h"
#include "filberthollow/passthrough/packets_task.h"

namespace filberthollow::passthrough {

// The sockets of an AgentTask. They are bound before the kernel starts, so that
// a bind error ends the process early.
struct AgentSockets {
  // Exchanges packets with the upstream and sends packets to callers.
  std::shared_ptr<net::UdpSocket> outbound;
  // Exchanges messages with balancers.
  std::shared_ptr<net::UdpSocket> peers;
};

class AgentTask final : public PacketsTask {
 public:
  // Minimum interval between reports to one balancer. Balancers place new flows
  // by the reported load, which is up to this old, and treat a host as silent
  // after three missed reports.
  static constexpr base::Millis kReportInterval{200};
  // Interval between reports to balancers that have not been heard from.
  static constexpr base::Millis kDiscoveryInterval{1000};
  // Initial value of that interval, which doubles up to kDiscoveryInterval.
  // After a power loss all processes start within a few tenths of a second, and
  // no traffic is served until they have found each other.
  static constexpr base::Millis kFirstDiscoveryInterval{100};
  // Time without packets after which a leaving agent stops once its upstream
  // has ended. The upstream's last packets may still be in flight.
  static constexpr base::Millis kLeaveQuietTime{300};
  // Minimum time that a leaving agent keeps running while its upstream is still
  // running. Until balancers learn that it is leaving they offer it new flows,
  // which it has to refuse.
  static constexpr base::Millis kMinLeaveTime{100};
  // Maximum time that such an agent waits for its upstream to have no request
  // in progress. The upstream is unreachable until an agent runs on its host
  // again, so the agent does not use the whole stop grace period.
  static constexpr base::Millis kMaxLeaveTime{1000};

  AgentTask(const base::Clock& clock,
            kernel::Registry& registry,
            const settings::NodeSettings& settings,
            const config::Adapter& adapter,
            AgentSockets sockets);

 protected:
  void OnStart() override;
  void OnMessage(const PacketsMessage& message) override;
  void OnStopped() override;
  void OnDecisionTick() override;
  void ReadPending() override;
  base::Millis TickDelay() const override { return m_gate.TickDelay(); }
  void OnPeerMessage(const wire::PacketMessage& message,
                     base::Address from) override;
  void OnEvacuationsChanged() override;

 private:
  void Handle(const RoutesChanged& m);
  // Only balancers watch the store.
  void Handle(const EvacuationsChanged& /*m*/) {}
  void Handle(const BalancersFound& m);
  void Handle(const HeartbeatReceived& m);
  void Handle(const HeartbeatMalformed& m);
  void Handle(const HealthCheckResult& m);
  void Handle(const LeaveFleet& m);
  void Handle(const admin::ReportQuery& m);

  void OnUpstreamDatagram(std::string_view bytes, base::Address from);
  void HandlePeerMessage(const decision::flows::Forward& m, base::Address from);
  void HandlePeerMessage(const decision::flows::Locate& m, base::Address from);
  void HandlePeerMessage(const decision::flows::Located& m, base::Address from);
  void HandlePeerMessage(const decision::flows::FlowAnswer& m,
                         base::Address from);
  void HandlePeerMessage(const decision::flows::UpstreamReport& m,
                         base::Address from);
  void HandlePeerMessage(const decision::flows::BalancerHello& m,
                         base::Address from);
  void HandlePeerMessage(const decision::flows::KnownAgents& m,
                         base::Address from);

  // Carries out the gate's decisions in `m_actions` and clears the list. An
  // Apply() overload with a `note` only logs and counts a decision.
  void ApplyActions();
  void Apply(const decision::flows::DeliverToUpstream& action);
  void Apply(const decision::flows::DeliverToCaller& action);
  void Apply(const decision::flows::ResetCaller& action);
  void Apply(const decision::flows::AnswerBalancer& action);
  void Apply(const decision::flows::AnswerLocate& action);
  void Apply(const decision::flows::CheckUpstream& action);
  void Apply(const decision::flows::ReportNow& action);
  void Apply(const decision::flows::OfferDecided& note);
  void Apply(const decision::flows::RequestWaited& note);
  void Apply(const decision::flows::RequestAnswered& note);
  void Apply(const decision::flows::UpstreamReset& note);
  void Apply(const decision::flows::UpstreamSilence& note);
  // Returns for the log whose service an offer names: "own", "other" or "none".
  std::string_view ServiceClaim(base::ServiceId service) const;
  // Logs and counts a heartbeat that had no effect.
  void LogIgnoredHeartbeat(const decision::flows::UpstreamHeartbeat& heartbeat,
                           decision::flows::HeartbeatOutcome outcome);
  // Logs the state reported for the upstream if it has changed. `heartbeat` is
  // the one that changed it, or null if it was a timeout.
  void LogUpstreamState(const decision::flows::UpstreamHeartbeat* heartbeat);
  // Stops the process if this agent is leaving and either its upstream has
  // ended or the leave time of a running upstream is over. Waits while it is
  // not known whether there is an upstream.
  void StopIfDoneLeaving();
  // Reports to the live balancers and schedules the next report.
  void OnReportTimer();
  // Drops balancers that have been silent for too long and reports to the other
  // silent ones. If no balancer is live, asks the config service for addresses.
  void OnDiscoveryTimer();
  void ArmDiscoveryTimer();
  // Returns the time between reports to one balancer. It grows with the number
  // of balancers so that all reports stay within kControlBytesPerSecond.
  base::Millis ReportInterval() const {
    return PacedInterval(m_balancers.size(), kReportBytes, kReportInterval);
  }
  // Reports to a balancer that has sent a packet or a question, if this agent
  // does not know it. It may take this agent for one that had the address
  // before, and its answer brings the configuration and the other balancers.
  void IntroduceTo(base::Address balancer);
  // Sends the first report to a balancer that has just started.
  void SendFirstReport(base::Address balancer);
  // Sends a report on the upstream to each of `balancers`.
  void SendReports(const std::vector<base::Address>& balancers);
  void ReportToLiveBalancers() { SendReports(m_balancers.Live(Now())); }

  const std::string m_data_centre;
  const base::ServiceId m_service;
  const base::Address m_upstream;
  std::shared_ptr<net::UdpSocket> m_outbound;
  decision::flows::UpstreamGate m_gate;
  decision::flows::GateActions m_actions;
  decision::membership::FirstReports m_first_reports;
  base::Millis m_discovery_interval = kFirstDiscoveryInterval;
  // Revision of the list of evacuations in the last hello of each balancer.
  std::map<base::Address, uint64_t> m_balancer_evacuations;
  // The state that LogUpstreamState() has last seen.
  decision::flows::UpstreamState m_logged_state{};
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_
