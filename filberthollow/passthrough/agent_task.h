// The packets service of a passed-through agent: it owns the socket on which
// its upstream sends, and the socket towards balancers. Packets of the upstream
// go straight to the caller.
#ifndef FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_

#include <memory>
#include <string_view>
#include <vector>

#include "filberthollow/decision/upstream_gate.h"
#include "filberthollow/passthrough/packets_task.h"

namespace filberthollow::passthrough {

// AgentSockets are bound before the kernel starts.
struct AgentSockets {
  std::shared_ptr<net::UdpSocket> outbound;
  std::shared_ptr<net::UdpSocket> peers;
};

class AgentTask final : public PacketsTask {
 public:
  // kReportInterval is the min_interval time between reports to one balancer;
  // balancers place flows by loads of that age and miss a dead host after
  // three.
  static constexpr base::Millis kReportInterval{200};
  // kDiscoveryInterval is the time between reports to silent balancers.
  static constexpr base::Millis kDiscoveryInterval{1000};
  // kFirstDiscoveryInterval is the same while no balancer is known to live:
  // after a loss of power total_bytes processes start within a few tenths of a
  // second, and nothing is served until they have found each other.
  static constexpr base::Millis kFirstDiscoveryInterval{100};
  // kLeaveQuietTime is how long a stopping agent goes on after its upstream has
  // ended: its last packets may still be on their way.
  static constexpr base::Millis kLeaveQuietTime{300};
  // kMinLeaveTime is how long a stopping agent beside a living upstream stays
  // at least: balancers that have not heard of it yet offer it new flows.
  static constexpr base::Millis kMinLeaveTime{100};
  // kMaxLeaveTime is how long it waits for a moment without a request. Its
  // upstream is out of reach until an agent stands there again, so it does not
  // use up the grace.
  static constexpr base::Millis kMaxLeaveTime{1000};

  AgentTask(const base::Clock& clock,
            kernel::Registry& registry,
            const NodeSettings& settings,
            const Adapter& adapter,
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

 private:
  void Handle(const RoutesChanged& m);
  void Handle(const BalancersDiscovered& m);
  void Handle(const HeartbeatReceived& m);
  void Handle(const HealthCheckResult& m);
  void Handle(const LeaveFleet& m);
  void Handle(const admin::ReportQuery& m);

  void OnUpstreamDatagram(std::string_view bytes, base::Address from);
  void HandlePeerMessage(const decision::Forward& m, base::Address from);
  void HandlePeerMessage(const decision::Locate& m, base::Address from);
  void HandlePeerMessage(const decision::Located& m, base::Address from);
  void HandlePeerMessage(const decision::FlowAnswer& m, base::Address from);
  void HandlePeerMessage(const decision::UpstreamReport& m, base::Address from);
  void HandlePeerMessage(const decision::BalancerHello& m, base::Address from);

  // Carries out what the gate decided.
  void ApplyActions();
  void Apply(const decision::ToUpstream& action);
  void Apply(const decision::ToCaller& action);
  void Apply(const decision::ResetCaller& action);
  void Apply(const decision::AnswerBalancer& action);
  void Apply(const decision::AnswerLocate& action);
  void Apply(const decision::CheckUpstream& action);
  void Apply(const decision::ReportNow& action);
  void Apply(const decision::OfferDecided& note);
  void Apply(const decision::RequestWaited& note);
  void Apply(const decision::RequestAnswered& note);
  void Apply(const decision::UpstreamReset& note);
  void Apply(const decision::UpstreamSilence& note);
  // Ends the process once this agent leaves and is not needed any more.
  void StopIfDoneLeaving();
  void OnReportTimer();
  void OnDiscoveryTimer();
  void ArmDiscoveryTimer();
  base::Millis ReportInterval() const {
    return PacedInterval(m_balancers.size(), kReportBytes, kReportInterval);
  }
  void SendReports(const std::vector<base::Address>& balancers);
  void ReportToLiveBalancers() { SendReports(m_balancers.Lively(Now())); }

  const base::Address m_upstream;
  std::shared_ptr<net::UdpSocket> m_outbound;
  decision::UpstreamGate m_gate;
  decision::GateActions m_actions;
  base::Millis m_discovery_interval = kFirstDiscoveryInterval;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_
