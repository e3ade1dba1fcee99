// BalancerTask is the packets service of a pass-through balancer. It owns the
// socket on which the network fabric delivers callers' packets and the socket
// for messages from and to agents and other balancers. Packets from upstreams
// to callers do not pass through a balancer.
#ifndef FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string_view>

#include "filberthollow/config/config_messages.h"
#include "filberthollow/decision/flows/flow_router.h"
#include "filberthollow/passthrough/packets_task.h"

namespace filberthollow::passthrough {

// The sockets of a BalancerTask. They are bound before the kernel starts, so
// that a bind error ends the process early.
struct BalancerSockets {
  // Receives callers' packets from the fabric and sends resets to callers.
  std::shared_ptr<net::UdpSocket> callers;
  // Exchanges messages with agents and other balancers.
  std::shared_ptr<net::UdpSocket> peers;
};

class BalancerTask final : public PacketsTask {
 public:
  // Minimum interval between periodic hellos to one peer. A balancer that
  // starts is known to all peers within this time.
  static constexpr base::Millis kHelloInterval{1000};
  // Minimum time that a leaving balancer keeps running. The fabric checks
  // readiness twice a second and keeps sending packets until this balancer has
  // answered "not ready" twice.
  static constexpr base::Millis kMinLeaveTime{1500};
  // Time without callers' packets after which a leaving balancer assumes that
  // the fabric has stopped sending to it.
  static constexpr base::Millis kLeaveQuietTime{400};
  // Time after which a balancer that has just started is told once more of the
  // agents that it can't hear, in case the first message was lost.
  static constexpr base::Millis kIntroductionRepeat{300};

  BalancerTask(const base::Clock& clock,
               kernel::Registry& registry,
               const settings::NodeSettings& settings,
               const config::Adapter& adapter,
               BalancerSockets sockets);

 protected:
  void OnStart() override;
  void OnMessage(const PacketsMessage& message) override;
  void OnDecisionTick() override;
  base::Millis TickDelay() const override { return m_router.TickDelay(); }
  void OnPeerMessage(const wire::PacketMessage& message,
                     base::Address from) override;
  void OnEvacuationsChanged() override;

 private:
  void Handle(const RoutesChanged& m);
  void Handle(const EvacuationsChanged& m) { UpdateEvacuations(m.list, {}); }
  void Handle(const BalancersFound& m);
  void Handle(const HeartbeatReceived& /*m*/) {}
  void Handle(const HeartbeatMalformed& /*m*/) {}
  void Handle(const HealthCheckResult& /*m*/) {}
  void Handle(const LeaveFleet& m);
  void Handle(const admin::ReportQuery& m);

  // Returns the progress of evacuations for the status page.
  nlohmann::json EvacuationStatus() const;

  void OnCallerDatagram(std::string_view bytes);
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

  // Carries out the router's decisions in `m_actions` and clears the list. An
  // Apply() overload with a `note` only logs and counts a decision.
  void ApplyActions();
  void Apply(const decision::flows::SendForward& action);
  void Apply(const decision::flows::SendLocate& action);
  void Apply(const decision::flows::ResetCaller& action);
  void Apply(const decision::flows::DropPacket& action);
  void Apply(const decision::flows::OfferMade& note);
  void Apply(const decision::flows::OfferAccepted& note);
  void Apply(const decision::flows::FlowFound& note);
  void Apply(const decision::flows::FlowNotFound& note);
  void Apply(const decision::flows::AgentSilence& note);
  void Apply(const decision::flows::ReportNeeded& action);
  void Apply(const decision::flows::ProcessPaused& note);
  // Sends a hello to every known balancer and schedules the next one. Also
  // drops peers that have been silent for too long.
  void OnHelloTimer();
  // Tells the services that call the store the number of balancers and the turn
  // of this one, if they have changed.
  void PostFleetSize();
  // Sends a hello to `to`. `newcomer`, if set, is a balancer that has just
  // started; an agent that receives the hello reports to it immediately.
  void SendHello(base::Address to, base::Address newcomer = {});
  // Sends a hello to every known balancer, including silent ones.
  void SendHelloToBalancers();
  // Tells every known agent and balancer immediately that this one is leaving.
  void AnnounceLeaving();
  // Sends a hello to those agents and balancers that this balancer is assigned
  // to notify of a new configuration or of a balancer that has just started.
  // The assignment (BalancerSet::IsNotifierFor()) limits the number of
  // balancers that send each peer the same news.
  void NotifyAssignedPeers(base::Address newcomer = {});
  // Tells `newcomer`, a balancer that has just started, of agents, if this
  // balancer is assigned to do so.
  void IntroduceAgents(base::Address newcomer,
                       decision::flows::AgentFilter filter);
  // Updates the readiness reported to the fabric, and logs it if it changed.
  void CheckReadiness();

  std::shared_ptr<net::UdpSocket> m_callers;
  decision::flows::FlowRouter m_router;
  decision::flows::RouterActions m_actions;
  // When each agent was last sent a hello in answer to its report.
  std::map<base::Address, base::Millis> m_agent_hello_at;
  // Random number by which peers recognize a restart of this balancer.
  const uint64_t m_run = std::random_device{}();
  config::FleetSizeChanged m_posted_fleet{.balancers = 0};
  bool m_ready = false;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_
