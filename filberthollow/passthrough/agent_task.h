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
  // kReportInterval is the shortest time between reports to one balancer;
  // balancers place flows by loads of that age and miss a dead host after
  // three.
  static constexpr base::Millis kReportInterval{200};
  // kSearchInterval is the time between reports to silent balancers.
  static constexpr base::Millis kSearchInterval{1000};
  // kFirstSearchInterval is the same while no balancer is known to live: after
  // a loss of power all processes start within a few tenths of a second, and
  // nothing is served until they have found each other.
  static constexpr base::Millis kFirstSearchInterval{100};
  // kLeaveQuiet is how long a stopping agent goes on after its upstream has
  // ended: its last packets may still be on their way.
  static constexpr base::Millis kLeaveQuiet{300};
  // kLeaveNews is how long a stopping agent beside a living upstream stays at
  // least: balancers that have not heard of it yet offer it new flows.
  static constexpr base::Millis kLeaveNews{100};
  // kLeaveBusy is how long it waits for a moment without a request. Its
  // upstream is out of reach until an agent stands there again, so it does not
  // use up the grace.
  static constexpr base::Millis kLeaveBusy{1000};

  AgentTask(const base::Clock& clock,
            kernel::Registry& registry,
            const NodeFile& file,
            const Adapter& adapter,
            AgentSockets sockets);

 protected:
  void OnStart() override;
  void OnMessage(const PacketsMessage& message) override;
  void OnStopped() override;
  void Decide() override;
  void ReadPending() override;
  base::Millis DecideAgainIn() const override { return m_gate.TickDelay(); }
  void OnPeer(const wire::PacketMessage& message, base::Address from) override;

 private:
  void Handle(const RoutesChanged& m);
  void Handle(const PeersFound& m);
  void Handle(const BeatHeard& m);
  void Handle(const HealthChecked& m);
  void Handle(const LeaveFleet& m);
  void Handle(const admin::ReportQuery& m);

  void OnUpstreamDatagram(std::string_view bytes, base::Address from);
  void HandlePeer(const decision::Forward& m, base::Address from);
  void HandlePeer(const decision::Locate& m, base::Address from);
  void HandlePeer(const decision::Located& m, base::Address from);
  void HandlePeer(const decision::FlowAnswer& m, base::Address from);
  void HandlePeer(const decision::UpstreamReport& m, base::Address from);
  void HandlePeer(const decision::BalancerHello& m, base::Address from);

  // Carries out what the gate decided.
  void Act();
  void ActOn(const decision::ToUpstream& action);
  void ActOn(const decision::ToCaller& action);
  void ActOn(const decision::ResetCaller& action);
  void ActOn(const decision::AnswerBalancer& action);
  void ActOn(const decision::AnswerLocate& action);
  void ActOn(const decision::CheckUpstream& action);
  void ActOn(const decision::ReportNow& action);
  void ActOn(const decision::OfferDecided& note);
  void ActOn(const decision::RequestWaited& note);
  void ActOn(const decision::RequestAnswered& note);
  void ActOn(const decision::UpstreamReset& note);
  void ActOn(const decision::UpstreamSilence& note);
  // Ends the process once this agent leaves and is not needed any more.
  void EndIfLeft();
  void OnReportTimer();
  void OnSearchTimer();
  void ArmSearch();
  base::Millis ReportInterval() const {
    return PacedInterval(m_balancers.size(), kReportBytes, kReportInterval);
  }
  void SendReports(const std::vector<base::Address>& balancers);
  void ReportToLively() { SendReports(m_balancers.Live(Now())); }

  const base::Address m_upstream;
  std::shared_ptr<net::UdpSocket> m_outbound;
  decision::UpstreamGate m_gate;
  decision::GateActions m_actions;
  base::Millis m_search_interval = kFirstSearchInterval;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_AGENT_TASK_H_
