#include "filberthollow/agent/announcer_task.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/agent/flows_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"

namespace filberthollow::agent {

using base::Level;
using decision::membership::MemberState;

AnnouncerTask::AnnouncerTask(const base::Clock& clock,
                             kernel::Registry& registry,
                             std::shared_ptr<net::UdpSocket> socket,
                             AnnouncerOptions options)
    : LoopTask(clock, registry, kAnnouncerService),
      m_socket(std::move(socket)),
      m_options(std::move(options)),
      m_client(loop()),
      m_record(m_options.record),
      m_observers(m_record.id) {}

void AnnouncerTask::OnStart() {
  auto watched = m_socket->Watch(
      loop(), [this](auto bytes, auto from) { OnDatagram(bytes, from); });
  if (!watched) {
    base::Log(Level::kError, "socket_failed",
              {{"error", watched.error().Text()}});
  }
  OnHeartbeatTimer();
  OnHealthTimer();
}

void AnnouncerTask::OnMessage(const AnnouncerMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void AnnouncerTask::Handle(const config::KeysChanged& m) {
  m_keys = m.keys;
  SendHeartbeats();
}

void AnnouncerTask::Handle(const LoadChanged& m) {
  m_record.load = m.load;
}

void AnnouncerTask::Handle(const BalancersFound& m) {
  m_observers.SetBalancers(m.balancers);
  SendHeartbeats();
}

void AnnouncerTask::Handle(const AnnounceDraining& /*m*/) {
  SetState(MemberState::kDraining);
}

void AnnouncerTask::Handle(const AnnounceLeft& /*m*/) {
  SetState(MemberState::kLeft);
}

void AnnouncerTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("announcer_wakeups", loop().wakeups());
  std::string text = m.explain == base::FlowId{} ? StatusJson() : "{}";
  m.reply_to->Post({m.query_id, name(), m_metrics.Report(), std::move(text)});
}

void AnnouncerTask::OnDatagram(std::string_view bytes, base::Address from) {
  m_metrics.Add("control_bytes_received", bytes.size());
  wire::Decoded<wire::ControlMessage> message =
      wire::DecodeControl(bytes, m_keys);
  if (!message) {
    m_metrics.Count(message.reason());
    return;
  }
  if (const auto* ack = std::get_if<wire::HeartbeatAck>(&*message)) {
    OnAck(*ack, from);
  }
}

void AnnouncerTask::OnAck(const wire::HeartbeatAck& ack, base::Address from) {
  if (ack.member != m_record.id) {
    return;
  }
  m_observers.OnAnswer(from);
  m_heartbeat_interval = std::max(m_heartbeat_interval, ack.interval);
  if (ack.known_incarnation > m_record.incarnation && !m_superseded) {
    // Another process runs as this target, or an earlier one ran with a clock
    // ahead of this process's.
    m_superseded = true;
    base::Log(Level::kError, "superseded", {{"target", m_options.target}});
    Post(kFlowsService, FlowsMessage(DrainFlows{}));
  }
  if (ack.suspected) {
    // A higher sequence refutes the suspicion.
    ++m_record.sequence;
    SendHeartbeats();
  }
  if (ack.key_epoch > m_keys.newest_epoch()) {
    Post(config::kConfigService,
         config::ConfigMessage(config::NewerKeys{ack.key_epoch}));
  }
  if (ack.settings && ack.settings_revision > m_settings_revision) {
    ApplySettings(*ack.settings, ack.settings_revision);
  }
}

void AnnouncerTask::ApplySettings(const settings::Settings& settings,
                                  uint64_t revision) {
  m_settings_revision = revision;
  Post(kFlowsService, FlowsMessage(SettingsChanged{settings}));
  if (m_record.weight != settings.weight) {
    m_record.weight = settings.weight;
    ++m_record.sequence;
  }
  // Reports to the observers at once that the settings are in force.
  SendHeartbeats();
}

void AnnouncerTask::OnHeartbeatTimer() {
  loop().After(m_heartbeat_interval, [this] { OnHeartbeatTimer(); });
  // The acks of this heartbeat raise it if an observer asks for more.
  m_heartbeat_interval = kHeartbeatInterval;
  SendHeartbeats();
  if (m_observers.NeedsMoreBalancers()) {
    Post(config::kConfigService,
         config::ConfigMessage(config::RefreshBalancers{}));
  }
}

void AnnouncerTask::OnHealthTimer() {
  loop().After(kHealthInterval, [this] { OnHealthTimer(); });
  CheckHealth();
}

void AnnouncerTask::CheckHealth() {
  if (m_check_in_progress) {
    return;
  }
  m_check_in_progress = true;
  m_client.Start({.server = m_options.upstream,
                  .path = "/health",
                  .timeout = kHealthTimeout},
                 [this](const net::HttpResult& result) {
                   m_check_in_progress = false;
                   OnHealth(result.status == net::kHttpOk);
                   ReadLoad();
                 });
}

void AnnouncerTask::ReadLoad() {
  m_client.Start({.server = m_options.upstream,
                  .path = "/load",
                  .timeout = kHealthTimeout},
                 [this](const net::HttpResult& result) {
                   auto load =
                       nlohmann::json::parse(result.body, nullptr, false);
                   bool valid = load.is_object() && load.contains("running") &&
                                load["running"].is_number_unsigned();
                   if (valid) {
                     m_metrics.Set("upstream_reported_load",
                                   load["running"].get<uint64_t>());
                   }
                 });
}

void AnnouncerTask::OnHealth(bool healthy) {
  m_failed_checks = healthy ? 0 : m_failed_checks + 1;
  bool now_healthy =
      healthy || (m_healthy && m_failed_checks < kUnhealthyThreshold);
  if (now_healthy == m_healthy) {
    return;
  }
  m_healthy = now_healthy;
  Post(kFlowsService, FlowsMessage(HealthChanged{now_healthy}));
  base::Log(Level::kInfo, "upstream_health",
            {{"healthy", now_healthy ? "yes" : "no"},
             {"upstream", m_options.upstream.Text()}});
  SetState(now_healthy ? MemberState::kReady : MemberState::kStarting);
}

void AnnouncerTask::SetState(MemberState state) {
  bool leaving = m_record.state >= MemberState::kDraining;
  if (leaving && state < m_record.state) {
    return;  // draining and left are final
  }
  m_record.state = state;
  ++m_record.sequence;
  SendHeartbeats();
}

void AnnouncerTask::SendHeartbeats() {
  if (m_keys.empty()) {
    return;
  }
  std::string datagram = wire::EncodeControl(
      wire::Heartbeat{.record = m_record,
                      .settings_revision = m_settings_revision,
                      .data_centre = m_options.data_centre,
                      .target = m_options.target,
                      .admin_port = m_options.admin_port},
      m_keys);
  for (base::Address observer : m_observers.Choose(Now())) {
    m_metrics.Add("control_bytes_sent", datagram.size());
    m_socket->Send(datagram, observer);
  }
}

std::string AnnouncerTask::StatusJson() const {
  return nlohmann::json{{"settings_revision", m_settings_revision},
                        {"healthy", m_healthy},
                        {"superseded", m_superseded},
                        {"sequence", m_record.sequence}}
      .dump();
}

}  // namespace filberthollow::agent
