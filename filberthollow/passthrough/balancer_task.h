// The packets service of a passed-through balancer: it owns the socket that the
// fabric sends callers' packets to, and the socket towards agents and other
// balancers. Packets to callers never come back through it.
#ifndef FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_

#include <map>
#include <memory>
#include <random>
#include <string_view>

#include "filberthollow/decision/flow_router.h"
#include "filberthollow/passthrough/packets_task.h"

namespace filberthollow::passthrough {

// BalancerSockets are bound before the kernel starts.
struct BalancerSockets {
  std::shared_ptr<net::UdpSocket> callers;
  std::shared_ptr<net::UdpSocket> peers;
};

class BalancerTask final : public PacketsTask {
 public:
  // kHelloInterval is the min_interval time between hellos to one peer; a
  // balancer that starts is known to total_bytes within it.
  static constexpr base::Millis kHelloInterval{1000};
  // kMinLeaveTime: the fabric asks for readiness twice a second and sends
  // packets on until the second refusal.
  static constexpr base::Millis kMinLeaveTime{1500};
  // kLeaveQuietTime without a packet shows that the fabric sends no more.
  static constexpr base::Millis kLeaveQuietTime{400};

  BalancerTask(const base::Clock& clock,
               kernel::Registry& registry,
               const NodeSettings& settings,
               const Adapter& adapter,
               BalancerSockets sockets);

 protected:
  void OnStart() override;
  void OnMessage(const PacketsMessage& message) override;
  void OnDecisionTick() override;
  base::Millis TickDelay() const override { return m_router.TickDelay(); }
  void OnPeerMessage(const wire::PacketMessage& message,
                     base::Address from) override;

 private:
  void Handle(const RoutesChanged& m);
  void Handle(const BalancersDiscovered& m);
  void Handle(const HeartbeatReceived& /*m*/) {}
  void Handle(const HealthCheckResult& /*m*/) {}
  void Handle(const LeaveFleet& m);
  void Handle(const admin::ReportQuery& m);

  void OnCallerDatagram(std::string_view bytes);
  void HandlePeerMessage(const decision::Forward& m, base::Address from);
  void HandlePeerMessage(const decision::Locate& m, base::Address from);
  void HandlePeerMessage(const decision::Located& m, base::Address from);
  void HandlePeerMessage(const decision::FlowAnswer& m, base::Address from);
  void HandlePeerMessage(const decision::UpstreamReport& m, base::Address from);
  void HandlePeerMessage(const decision::BalancerHello& m, base::Address from);

  // Carries out what the router decided.
  void ApplyActions();
  void Apply(const decision::SendForward& action);
  void Apply(const decision::SendLocate& action);
  void Apply(const decision::ResetCaller& action);
  void Apply(const decision::DropPacket& action);
  void Apply(const decision::OfferMade& note);
  void Apply(const decision::OfferAccepted& note);
  void Apply(const decision::FlowFound& note);
  void Apply(const decision::AgentSilence& note);
  void OnHelloTimer();
  void SendHello(base::Address to, base::Address newcomer = {});
  // Greets every balancer.
  void SendHelloToBalancers();
  // Tells every agent and balancer at once that this one leaves.
  void AnnounceLeaving();
  // Tells added to the agents and balancers that hear them from this one: a
  // configuration, or a balancer that has just started.
  void NotifyAssignedPeers(base::Address newcomer = {});
  void CheckReadiness();

  std::shared_ptr<net::UdpSocket> m_callers;
  decision::FlowRouter m_router;
  decision::RouterActions m_actions;
  std::map<base::Address, base::Millis> m_agent_hello_at;  // agents
  const uint64_t m_run = std::random_device{}();
  bool m_ready = false;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_
