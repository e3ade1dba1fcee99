// The packets service of a passed-through balancer: it owns the socket that the
// fabric sends callers' packets to, and the socket towards agents and other
// balancers. Packets to callers never come back through it.
#ifndef FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_

#include <map>
#include <memory>
#include <string_view>

#include "filberthollow/decision/balancer_set.h"
#include "filberthollow/decision/flow_router.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/passthrough/adapter.h"
#include "filberthollow/passthrough/messages.h"
#include "filberthollow/wire/packet_codec.h"

namespace filberthollow::passthrough {

// BalancerSockets are bound before the kernel starts.
struct BalancerSockets {
  std::shared_ptr<net::UdpSocket> callers;
  std::shared_ptr<net::UdpSocket> peers;
};

class BalancerTask final : public net::LoopTask<PacketsMessage> {
 public:
  // kHelloInterval is the time between hellos; a balancer that starts is known
  // to all within it.
  static constexpr base::Millis kHelloInterval{1000};
  // kLeaveAtLeast: the fabric asks for readiness twice a second and sends
  // packets on until the second refusal.
  static constexpr base::Millis kLeaveAtLeast{1500};
  // kLeaveQuiet without a packet shows that the fabric sends no more.
  static constexpr base::Millis kLeaveQuiet{400};

  BalancerTask(const base::Clock& clock,
               kernel::Registry& registry,
               const NodeFile& file,
               const Adapter& adapter,
               BalancerSockets sockets);

 protected:
  void OnStart() override;
  void OnMessage(const PacketsMessage& message) override;

 private:
  void Handle(const RoutesChanged& m);
  void Handle(const PeersFound& m);
  void Handle(const BeatHeard& /*m*/) {}
  void Handle(const HealthChecked& /*m*/) {}
  void Handle(const LeaveFleet& m);
  void Handle(const admin::ReportQuery& m);

  void OnCallerDatagram(std::string_view bytes);
  void OnPeerDatagram(std::string_view bytes, base::Address from);
  void HandlePeer(const decision::Forward& m, base::Address from);
  void HandlePeer(const decision::Locate& m, base::Address from);
  void HandlePeer(const decision::FlowAnswer& m, base::Address from);
  void HandlePeer(const decision::UpstreamReport& m, base::Address from);
  void HandlePeer(const decision::BalancerHello& m, base::Address from);

  // Carries out what the router decided and arms the next tick.
  void Act();
  void ActOn(const decision::SendForward& action);
  void ActOn(const decision::SendLocate& action);
  void ActOn(const decision::ResetCaller& action);
  void ActOn(const decision::DropPacket& action);
  void ActOn(const decision::OfferMade& note);
  void ActOn(const decision::OfferAccepted& note);
  void ActOn(const decision::FlowFound& note);
  void ActOn(const decision::AgentSilence& note);
  void OnTick();
  void ArmTick();
  void OnHelloTimer();
  void SendHello(base::Address to);
  // Tells every agent and balancer at once.
  void SendHellos();
  void GreetBalancers();
  void NoteRevision(uint64_t revision, base::Address from);
  void CheckReadiness();
  void CheckLeft();
  void SendToPeer(const wire::PacketMessage& message, base::Address to);

  const uint16_t m_caller_port;
  const flow::PacketFormat& m_format;
  BalancerSockets m_sockets;
  decision::FlowRouter m_router;
  decision::RouterActions m_actions;
  decision::BalancerSet m_balancers;                // the others
  std::map<base::Address, base::Millis> m_greeted;  // agents
  base::Millis m_next_tick{base::kNever};
  net::Loop::TimerId m_tick_timer{};
  bool m_ready = false;
  base::Millis m_left_at{base::kNever};
  base::Millis m_last_packet{0};
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_BALANCER_TASK_H_
