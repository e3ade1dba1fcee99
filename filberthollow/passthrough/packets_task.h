// PacketsTask is the base class of the packets services of balancers and
// agents. It owns the socket for messages from and to peers, sends packets,
// runs the periodic tick of the decision logic, and tracks leaving the fleet.
#ifndef FILBERTHOLLOW_PASSTHROUGH_PACKETS_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_PACKETS_TASK_H_

#include <memory>
#include <optional>
#include <string_view>

#include "filberthollow/config/adapter.h"
#include "filberthollow/decision/flows/gate_actions.h"
#include "filberthollow/decision/membership/balancer_set.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/passthrough/messages.h"
#include "filberthollow/settings/node_settings.h"
#include "filberthollow/wire/packet_codec.h"

namespace filberthollow::passthrough {

class PacketsTask : public net::LoopTask<PacketsMessage> {
 public:
  // Limit for the reports, or for the hellos to balancers, that one host sends.
  // This is the budget for control traffic of a host at the fleet size that the
  // system is designed for.
  static constexpr int64_t kControlBytesPerSecond = 3000;
  // Size of a report on the wire, including packet headers.
  static constexpr int64_t kReportBytes = 150;
  // Size of a hello that names BalancerSet::kMaxAdvertised balancers on the
  // wire, including packet headers.
  static constexpr int64_t kHelloBytes = 204;
  // Size of a list of evacuations with one name in a hello.
  static constexpr int64_t kEvacuationBytes = 40;

 protected:
  PacketsTask(const base::Clock& clock,
              kernel::Registry& registry,
              const settings::NodeSettings& settings,
              const config::Adapter& adapter,
              std::shared_ptr<net::UdpSocket> peers);

  // Called after each TickDelay(), to run the time-based decisions of the role.
  virtual void OnDecisionTick() = 0;
  // Handles the datagrams that have already arrived. Called before each
  // OnDecisionTick(), so that a peer is not considered silent while its
  // messages wait in the socket.
  virtual void ReadPending() { m_peers->ReadPending(); }
  // Returns the time until the next OnDecisionTick() is due.
  virtual base::Millis TickDelay() const = 0;
  // Handles a message from a peer.
  virtual void OnPeerMessage(const wire::PacketMessage& message,
                             base::Address from) = 0;

  // Calls `handler` for each datagram that `socket` receives. Logs an error.
  void Watch(net::UdpSocket& socket, net::UdpSocket::Handler handler);
  // Starts receiving messages from peers, and the periodic tick.
  void StartPeerSocket();
  // Returns the header of a packet. Returns nullopt and counts the packet as
  // malformed if it cannot be parsed.
  std::optional<flow::PacketHeader> ReadHeader(std::string_view packet);
  // Sends a message to a peer. A failure is only counted.
  void SendToPeer(const wire::PacketMessage& message, base::Address to);
  // Sends a packet to the caller's host at the port configured for all callers;
  // the port of `caller` is not used. A failure is only counted.
  void SendToCaller(net::UdpSocket& socket,
                    std::string_view packet,
                    base::Address caller);
  // Sends a reset of a flow to its caller, logs and counts it. `revision` is
  // that of the configuration in force, for the log.
  void SendReset(net::UdpSocket& socket,
                 const decision::flows::ResetCaller& reset,
                 uint64_t revision);
  // Reschedules the next tick if TickDelay() makes it due earlier than
  // scheduled.
  void ArmTick();
  // Returns the interval at which a message of `bytes` may be sent to each of
  // `peers` peers so that all of these messages together stay within
  // kControlBytesPerSecond. The interval is at least `min_interval`.
  static base::Millis PacedInterval(size_t peers,
                                    int64_t bytes,
                                    base::Millis min_interval);
  // Notifies the config service if the peer `from` has a newer configuration.
  void NotifyIfNewerRevision(uint64_t peer_revision,
                             uint64_t own_revision,
                             base::Address from);

  // Takes a list of evacuated data centres from a peer, or from the store if
  // `from` is empty, if it is newer than the own one. Logs it and calls
  // OnEvacuationsChanged() if other names are on it.
  void UpdateEvacuations(const decision::membership::EvacuationList& list,
                         base::Address from);
  // Called when the names in m_evacuations have changed.
  virtual void OnEvacuationsChanged() = 0;

  // Returns the address at which this process receives messages from peers.
  base::Address peer_address() const { return m_peers->address(); }
  // Records the time of the last packet, for StopIfQuiet().
  void RecordPacketArrival() { m_last_packet_at = Now(); }
  // Marks this process as leaving the fleet.
  void StartLeaving();
  bool leaving() const { return m_leaving_since != base::kNever; }
  // Stops the process if it has been leaving for at least `at_least` and no
  // packet has arrived for `quiet`.
  void StopIfQuiet(base::Millis quiet, base::Millis at_least);

  // Known balancers other than this process.
  decision::membership::BalancerSet m_balancers;
  // Stays empty where the platform's operator can't evacuate data centres.
  decision::membership::Evacuations m_evacuations;
  metrics::Metrics m_metrics;

 private:
  void OnTick();
  // Logs and counts the balancers that have become silent or have been heard
  // from again.
  void LogBalancerSilences();

  const uint16_t m_caller_port;
  const bool m_uses_evacuations;
  const flow::PacketFormat& m_format;
  std::shared_ptr<net::UdpSocket> m_peers;
  // Time of the next tick, or kNever if none is scheduled.
  base::Millis m_next_tick{base::kNever};
  net::Loop::TimerId m_tick_timer{};
  // When StartLeaving() was called, or kNever.
  base::Millis m_leaving_since{base::kNever};
  base::Millis m_last_packet_at{0};
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_PACKETS_TASK_H_
