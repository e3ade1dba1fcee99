// What the packets services of balancers and agents have in common: the socket
// towards peers, sending, the tick of the decisions, and leaving.
#ifndef FILBERTHOLLOW_PASSTHROUGH_PACKETS_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_PACKETS_TASK_H_

#include <memory>
#include <optional>
#include <string_view>

#include "filberthollow/decision/balancer_set.h"
#include "filberthollow/decision/gate_actions.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"
#include "filberthollow/passthrough/adapter.h"
#include "filberthollow/passthrough/messages.h"
#include "filberthollow/passthrough/node_file.h"
#include "filberthollow/wire/packet_codec.h"

namespace filberthollow::passthrough {

class PacketsTask : public net::LoopTask<PacketsMessage> {
 public:
  // kControlBytesPerSecond bounds reports, and hellos to balancers: it is what
  // one host may spend on control at the size designed for.
  static constexpr int64_t kControlBytesPerSecond = 3000;
  // The length of a report, and of a hello that names kMaxAdvertised balancers,
  // with their headers.
  static constexpr int64_t kReportBytes = 150;
  static constexpr int64_t kHelloBytes = 200;

 protected:
  PacketsTask(const base::Clock& clock,
              kernel::Registry& registry,
              const NodeFile& file,
              const Adapter& adapter,
              std::shared_ptr<net::UdpSocket> peers);

  // Decide() lets the decision object act on the time.
  virtual void Decide() = 0;
  // ReadPending() handles what has come already, before silence is judged.
  virtual void ReadPending() { m_peers->ReadPending(); }
  // DecideAgainIn() returns when Decide() is due next.
  virtual base::Millis DecideAgainIn() const = 0;
  virtual void OnPeer(const wire::PacketMessage& message,
                      base::Address from) = 0;

  // Watches a socket; an error is logged.
  void Watch(net::UdpSocket& socket, net::UdpSocket::Handler handler);
  // Watches the socket towards peers and starts the ticks.
  void StartPeers();
  // Returns the head of a packet; bytes that are none are counted.
  std::optional<flow::PacketHead> ReadHead(std::string_view packet);
  void SendToPeer(const wire::PacketMessage& message, base::Address to);
  // Sends a packet to a caller's host.
  void SendToCaller(net::UdpSocket& socket,
                    std::string_view packet,
                    base::Address caller);
  // Resets a flow at its caller, with a log line.
  void SendReset(net::UdpSocket& socket,
                 const decision::ResetCaller& reset,
                 uint64_t revision);
  // Brings the next tick forward, if that has become due earlier.
  void ArmTick();
  // Returns how often a message of `bytes` may go to each of `peers` so that
  // all of them together stay within kControlBytesPerSecond, and at least
  // `shortest`.
  static base::Millis PacedInterval(size_t peers,
                                    int64_t bytes,
                                    base::Millis shortest);
  // Tells the config service of a newer configuration at a peer.
  void NoteRevision(uint64_t theirs, uint64_t own, base::Address from);

  void NotePacket() { m_last_packet = Now(); }
  void StartLeaving();
  bool leaving() const { return m_left_at != base::kNever; }
  // Ends the process if it leaves and no packet has come for `quiet`, and not
  // before `at_least` has passed.
  void EndIfQuiet(base::Millis quiet, base::Millis at_least);

  decision::BalancerSet m_balancers;  // other ones
  metrics::Metrics m_metrics;

 private:
  void OnTick();
  // Logs which balancers have fallen silent or are heard again.
  void NoteSilences();

  const uint16_t m_caller_port;
  const flow::PacketFormat& m_format;
  std::shared_ptr<net::UdpSocket> m_peers;
  base::Millis m_next_tick{base::kNever};
  net::Loop::TimerId m_tick_timer{};
  base::Millis m_left_at{base::kNever};
  base::Millis m_last_packet{0};
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_PACKETS_TASK_H_
