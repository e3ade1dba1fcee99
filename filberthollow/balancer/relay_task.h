// The relay service of a balancer. It owns the sockets for callers and agents,
// and forwards, answers or drops each datagram as decision::flows::Router
// decides.
#ifndef FILBERTHOLLOW_BALANCER_RELAY_TASK_H_
#define FILBERTHOLLOW_BALANCER_RELAY_TASK_H_

#include <deque>
#include <memory>
#include <string>
#include <variant>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/flows/router.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"

namespace filberthollow::balancer {

inline constexpr const char* kRelayService = "relay";

// ViewChanged delivers a view of the targets that replaces the previous one.
struct ViewChanged {
  std::shared_ptr<const decision::flows::TargetView> view;
  friend bool operator==(const ViewChanged&, const ViewChanged&) = default;
};

// DrainRelay asks the relay to refuse new flows from now on. Messages of open
// flows are still relayed.
struct DrainRelay {
  friend bool operator==(DrainRelay, DrainRelay) = default;
};

using RelayMessage = std::
    variant<config::KeysChanged, ViewChanged, DrainRelay, admin::ReportQuery>;

// RelaySockets are the bound sockets, which belong to the task from then on.
struct RelaySockets {
  std::shared_ptr<net::UdpSocket> callers;
  std::shared_ptr<net::UdpSocket> agents;
};

// RelayTask runs the relay service.
class RelayTask final : public net::LoopTask<RelayMessage> {
 public:
  RelayTask(const base::Clock& clock,
            kernel::Registry& registry,
            RelaySockets sockets);

 protected:
  void OnStart() override;
  void OnMessage(const RelayMessage& message) override;

 private:
  // An opened flow or a refusal, kept for the operator's `explain`.
  struct FlowEvent {
    base::FlowId flow{};
    base::Millis at;
    std::string text;
  };
  // Events kept; beyond it the oldest is dropped.
  static constexpr size_t kMaxFlowEvents = 512;

  void OnCallerDatagram(std::string_view bytes, base::Address from);
  void OnAgentDatagram(std::string_view bytes, base::Address from);
  void Handle(const config::KeysChanged& m);
  void Handle(const ViewChanged& m);
  void Handle(const DrainRelay& m);
  void Handle(const admin::ReportQuery& m);
  void Send(net::UdpSocket& socket, std::string_view bytes, base::Address to);
  // Keeps an event of a flow for the operator's `explain`.
  void RecordEvent(base::FlowId flow, std::string text);
  // Records an agent's message if it opens a flow or refuses a request.
  void RecordDownEvent(const flow::RelayedDown& relayed);
  // `by` names the process that refused.
  void RecordRefusal(const flow::Refusal& refusal,
                     base::Address caller,
                     std::string_view by);
  std::string StatusJson() const;
  // Returns the recorded events of a flow as JSON.
  std::string ExplainJson(base::FlowId flow) const;

  RelaySockets m_sockets;
  decision::flows::Router m_router;
  bool m_draining = false;
  metrics::Metrics m_metrics;
  std::deque<FlowEvent> m_flow_events;
};

}  // namespace filberthollow::balancer

#endif  // FILBERTHOLLOW_BALANCER_RELAY_TASK_H_
