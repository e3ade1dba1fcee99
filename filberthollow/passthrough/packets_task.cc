#include "filberthollow/passthrough/packets_task.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"

namespace filberthollow::passthrough {

using base::Level;

namespace {

constexpr int64_t kMillisPerSecond = 1000;

}  // namespace

PacketsTask::PacketsTask(const base::Clock& clock,
                         kernel::Registry& registry,
                         const settings::NodeSettings& settings,
                         const config::Adapter& adapter,
                         std::shared_ptr<net::UdpSocket> peers)
    : LoopTask(clock, registry, kPacketsService),
      m_balancers(settings.peers),
      m_caller_port(settings.caller_port),
      m_uses_evacuations(settings.evacuations),
      m_format(*adapter.packet_format),
      m_peers(std::move(peers)) {}

void PacketsTask::Watch(net::UdpSocket& socket,
                        net::UdpSocket::Handler handler) {
  if (auto watched = socket.Watch(loop(), std::move(handler)); !watched) {
    base::Log(Level::kError, "socket_failed",
              {{"error", watched.error().Text()}});
  }
}

void PacketsTask::StartPeerSocket() {
  Watch(*m_peers, [this](auto bytes, auto from) {
    auto message = wire::DecodePacketMessage(bytes);
    if (!message) {
      m_metrics.Count(message.reason());
      return;
    }
    OnPeerMessage(*message, from);
  });
  ArmTick();
}

std::optional<flow::PacketHeader> PacketsTask::ReadHeader(
    std::string_view packet) {
  auto header = m_format.Read(packet);
  if (!header) {
    m_metrics.Count(flow::Reason::kMalformed);
  }
  return header;
}

void PacketsTask::SendToPeer(const wire::PacketMessage& message,
                             base::Address to) {
  if (!m_peers->Send(wire::EncodePacketMessage(message), to)) {
    m_metrics.Count(flow::Reason::kSendFailed);
  }
}

void PacketsTask::SendToCaller(net::UdpSocket& socket,
                               std::string_view packet,
                               base::Address caller) {
  if (!socket.Send(packet, {caller.ip, m_caller_port})) {
    m_metrics.Count(flow::Reason::kSendFailed);
  }
}

void PacketsTask::SendReset(net::UdpSocket& socket,
                            const decision::flows::ResetCaller& reset,
                            uint64_t revision) {
  m_metrics.Count(reset.reason);
  base::Log(Level::kWarning, "flow_reset",
            {{"flow", reset.flow.Text()},
             {"reason", std::string(flow::ReasonName(reset.reason))},
             {"revision", revision}});
  SendToCaller(socket, m_format.MakeReset(reset.flow, reset.sequence),
               reset.flow.caller);
}

void PacketsTask::ArmTick() {
  base::Millis delay = TickDelay();
  if (Now() + delay >= m_next_tick) {
    return;
  }
  loop().Cancel(m_tick_timer);
  m_next_tick = Now() + delay;
  m_tick_timer = loop().After(delay, [this] { OnTick(); });
}

void PacketsTask::OnTick() {
  m_next_tick = base::kNever;
  ReadPending();
  LogBalancerSilences();
  OnDecisionTick();
  ArmTick();
}

void PacketsTask::LogBalancerSilences() {
  for (const auto& change : m_balancers.TakeLivenessChanges(Now())) {
    m_metrics.Add(change.silent ? "balancers_lost" : "balancers_regained");
    base::Log(Level::kWarning,
              change.silent ? "balancer_silent" : "balancer_heard",
              {{"balancer", change.balancer.Text()},
               {"unheard_ms", change.heard_ago}});
  }
}

base::Millis PacketsTask::PacedInterval(size_t peers,
                                        int64_t bytes,
                                        base::Millis min_interval) {
  int64_t total_bytes = static_cast<int64_t>(peers) * bytes;
  return std::max(min_interval, base::Millis(total_bytes * kMillisPerSecond /
                                             kControlBytesPerSecond));
}

void PacketsTask::NotifyIfNewerRevision(uint64_t peer_revision,
                                        uint64_t own_revision,
                                        base::Address from) {
  if (peer_revision > own_revision) {
    Post(config::kConfigService,
         config::ConfigMessage(config::NewerRevision{peer_revision, from}));
  }
}

void PacketsTask::UpdateEvacuations(
    const decision::membership::EvacuationList& list,
    base::Address from) {
  if (!m_uses_evacuations || !m_evacuations.Update(list)) {
    return;
  }
  m_metrics.Set("evacuated_data_centres", list.data_centres.size());
  base::Log(
      Level::kInfo, "evacuations_changed",
      {{"revision", list.revision},
       {"data_centres", fmt::format("{}", fmt::join(list.data_centres, ","))},
       {"from", from == base::Address{} ? "store" : from.Text()}});
  OnEvacuationsChanged();
}

void PacketsTask::StartLeaving() {
  m_leaving_since = Now();
  m_last_packet_at = Now();
}

void PacketsTask::StopIfQuiet(base::Millis quiet, base::Millis at_least) {
  if (leaving() && Now() - m_leaving_since >= at_least &&
      Now() - m_last_packet_at >= quiet) {
    kernel::NotifyDrained();
  }
}

}  // namespace filberthollow::passthrough
