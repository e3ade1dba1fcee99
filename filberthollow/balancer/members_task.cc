#include "filberthollow/balancer/members_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/balancer/peers_messages.h"
#include "filberthollow/balancer/relay_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/decision/flows/view_builder.h"

namespace filberthollow::balancer {
namespace {

using decision::membership::MemberRecord;
using decision::membership::MemberState;
using nlohmann::json;

// Time from the first change to the view that includes it; changes within it
// share one view.
constexpr base::Millis kViewBatchDelay{20};

constexpr std::array<std::string_view, 5> kStateNames{
    "starting", "ready", "draining", "left", "dead"};

std::string StateName(MemberState state) {
  return std::string(kStateNames.at(static_cast<size_t>(state)));
}

}  // namespace

MembersTask::MembersTask(const base::Clock& clock,
                         kernel::Registry& registry,
                         std::shared_ptr<net::UdpSocket> socket,
                         MemberRecord self)
    : LoopTask(clock, registry, kMembersService),
      m_socket(std::move(socket)),
      m_snapshot(std::make_shared<const config::ConfigSnapshot>()),
      m_gossip(self, base::Value(self.incarnation)),
      m_observer(self.id),
      m_random(base::Value(self.incarnation)) {}

void MembersTask::OnStart() {
  auto watched = m_socket->Watch(
      loop(), [this](auto bytes, auto from) { OnDatagram(bytes, from); });
  if (!watched) {
    base::Log(base::Level::kError, "socket_failed",
              {{"error", watched.error().Text()}});
  }
  loop().After(decision::membership::Gossip::kRoundInterval,
               [this] { OnRound(); });
}

void MembersTask::OnMessage(const MembersMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void MembersTask::Handle(const config::KeysChanged& m) {
  m_keys = m.keys;
}

void MembersTask::Handle(const config::ConfigSnapshotChanged& m) {
  m_snapshot = m.snapshot;
  m_gossip.SetRevision(m.snapshot->revision);
  m_service_names.clear();
  for (const auto& [name, node] : m.snapshot->tree.services) {
    m_service_names[base::ServiceIdOf(name)] = name;
  }
  m_view_changed = true;
  PublishViewIfChanged();
}

void MembersTask::Handle(const PeersFound& m) {
  m_peer_list_complete = m_peer_list_complete || m.complete;
  for (base::Address peer : m.peers) {
    m_gossip.AddPeer(peer);
  }
  FetchInitialSnapshot();
}

void MembersTask::FetchInitialSnapshot() {
  std::vector<base::Address> peers = m_gossip.peers();
  if (m_snapshot_received || peers.empty()) {
    return;
  }
  base::Address peer = peers[m_random() % peers.size()];
  Post(kPeersService, PeersMessage(FetchSnapshot{peer}));
  loop().After(kSnapshotRetryInterval, [this] { FetchInitialSnapshot(); });
}

void MembersTask::Handle(const RecordsQuery& m) {
  RecordsReply answer{.query = m.query};
  for (const auto& [id, record] : m_gossip.directory().records()) {
    answer.records.push_back(record);
  }
  Post(kPeersService, PeersMessage(std::move(answer)));
}

void MembersTask::Handle(const RecordsFound& m) {
  m_snapshot_received = true;
  for (const MemberRecord& record : m.records) {
    m_gossip.LearnWithoutSpreading(record);
  }
  PublishViewIfChanged();
}

void MembersTask::Handle(const LeaveFleet& /*m*/) {
  m_leaving = true;
  m_gossip.SetOwnState(MemberState::kLeft);
  Transmit(m_gossip.OnRound());
}

void MembersTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("members_wakeups", loop().wakeups());
  m_metrics.Set("members_known", m_gossip.directory().records().size());
  std::string text = m.explain == base::FlowId{} ? StatusJson() : "{}";
  m.reply_to->Post(
      {m.query_id, name(), m_metrics.Report(), std::move(text), IsReady()});
}

void MembersTask::OnDatagram(std::string_view bytes, base::Address from) {
  m_metrics.Add("control_bytes_received", bytes.size());
  wire::Decoded<wire::ControlMessage> message =
      wire::DecodeControl(bytes, m_keys);
  if (!message) {
    m_metrics.Count(message.reason());
    return;
  }
  std::visit([this, from](const auto& m) { HandleControl(m, from); }, *message);
  for (const decision::membership::Suspicion& suspicion :
       m_gossip.TakeSuspicions()) {
    OnSuspicion(suspicion);
  }
  PublishViewIfChanged();
}

void MembersTask::HandleControl(const wire::Heartbeat& m, base::Address from) {
  m_metrics.Add("heartbeats");
  MemberRecord record = m.record;
  m_observer.OnHeartbeat(record, Now());
  const MemberRecord* held = m_gossip.directory().Find(record.id);
  bool state_changed = held == nullptr || held->state != record.state ||
                       held->incarnation != record.incarnation;
  if (m_gossip.Learn(record) && state_changed) {
    base::Log(base::Level::kInfo, "target_changed",
              {{"target", m.target},
               {"state", StateName(record.state)},
               {"agent", record.address.Text()}});
  }
  m_targets[record.id] = TargetInfo{
      m.data_centre, m.target, m.settings_revision, {from.ip, m.admin_port}};
  uint32_t& load = m_loads[record.id];
  m_view_changed = m_view_changed || load != record.load;
  load = record.load;
  std::string ack = wire::EncodeControl(AckFor(m), m_keys);
  m_metrics.Add("control_bytes_sent", ack.size());
  m_socket->Send(ack, from);
}

void MembersTask::HandleControl(const wire::HeartbeatAck& /*m*/,
                                base::Address /*from*/) {
  // Acks are sent to agents only.
  m_metrics.Count(flow::Reason::kMalformed);
}

void MembersTask::HandleControl(const decision::membership::GossipMessage& m,
                                base::Address from) {
  m_metrics.Add("gossip_messages");
  if (m.revision > m_snapshot->revision) {
    Post(config::kConfigService,
         config::ConfigMessage(config::NewerRevision{m.revision, from}));
  }
  Transmit(m_gossip.OnMessage(m, from));
}

wire::HeartbeatAck MembersTask::AckFor(const wire::Heartbeat& heartbeat) const {
  const MemberRecord* held = m_gossip.directory().Find(heartbeat.record.id);
  wire::HeartbeatAck ack{
      .member = heartbeat.record.id,
      .known_incarnation =
          held == nullptr ? base::Incarnation{} : held->incarnation,
      .suspected = m_observer.IsSuspected(heartbeat.record) ||
                   (held != nullptr && held->state == MemberState::kDead),
      .key_epoch = m_keys.newest_epoch(),
      .interval = m_observer.HeartbeatInterval(),
      .settings_revision = m_snapshot->revision};
  auto service = m_service_names.find(heartbeat.record.service);
  if (service != m_service_names.end() &&
      heartbeat.settings_revision < m_snapshot->revision) {
    ack.settings = settings::Resolve(m_snapshot->tree,
                                     {service->second, heartbeat.data_centre,
                                      heartbeat.target})
                       .settings;
  }
  return ack;
}

void MembersTask::OnRound() {
  loop().After(decision::membership::Gossip::kRoundInterval,
               [this] { OnRound(); });
  for (const decision::membership::Suspicion& suspicion :
       m_observer.OnTick(Now())) {
    m_metrics.Add("suspicions");
    m_gossip.SpreadSuspicion(suspicion);
    OnSuspicion(suspicion);
  }
  Transmit(m_gossip.OnRound());
  PublishViewIfChanged();
  PostFleetSize();
}

void MembersTask::PostFleetSize() {
  size_t size = m_gossip.balancer_count();
  std::vector<base::Address> peers = m_gossip.peers();
  auto rank = std::count_if(
      peers.begin(), peers.end(),
      [own = m_gossip.self().address](auto peer) { return peer < own; });
  config::FleetSizeChanged fleet{size, {size, static_cast<size_t>(rank)}};
  if (fleet != m_posted_fleet) {
    m_posted_fleet = fleet;
    Post(config::kConfigService, config::ConfigMessage(fleet));
  }
}

void MembersTask::OnSuspicion(
    const decision::membership::Suspicion& suspicion) {
  const MemberRecord* held = m_gossip.directory().Find(suspicion.member);
  if (held == nullptr || held->incarnation != suspicion.incarnation ||
      held->sequence != suspicion.sequence ||
      held->state >= MemberState::kLeft ||
      !m_observer.OnSuspicion(suspicion, m_gossip.balancer_count())) {
    return;
  }
  MemberRecord dead = *held;
  dead.state = MemberState::kDead;
  m_gossip.Learn(dead);
  base::Log(base::Level::kWarning, "target_dead",
            {{"agent", dead.address.Text()},
             {"member", fmt::format("{:016x}", base::Value(dead.id))}});
}

void MembersTask::Transmit(
    const std::vector<decision::membership::GossipSend>& sends) {
  for (const decision::membership::GossipSend& send : sends) {
    std::string datagram = wire::EncodeControl(send.message, m_keys);
    m_metrics.Add("control_bytes_sent", datagram.size());
    m_socket->Send(datagram, send.to);
  }
}

void MembersTask::PublishViewIfChanged() {
  m_view_changed = m_gossip.TakeChanged() || m_view_changed;
  if (m_view_changed && !m_view_scheduled) {
    m_view_scheduled = true;
    loop().After(kViewBatchDelay, [this] { PublishView(); });
  }
}

void MembersTask::PublishView() {
  m_view_scheduled = false;
  m_view_changed = false;
  auto view = std::make_shared<const decision::flows::TargetView>(
      decision::flows::BuildView(m_gossip.directory(), m_snapshot->tree,
                                 m_loads));
  Post(kRelayService, RelayMessage(ViewChanged{std::move(view)}));
}

bool MembersTask::IsReady() const {
  bool alone = m_peer_list_complete && m_gossip.peers().empty();
  return !m_keys.empty() && m_snapshot->revision > 0 && !m_leaving &&
         (m_snapshot_received || alone);
}

std::string MembersTask::StatusJson() const {
  json members = json::array();
  for (const auto& [id, record] : m_gossip.directory().records()) {
    json member{
        {"id", fmt::format("{:016x}", base::Value(id))},
        {"kind", record.kind == decision::membership::MemberKind::kTarget
                     ? "target"
                     : "balancer"},
        {"state", StateName(record.state)},
        {"incarnation", fmt::format("{:x}", base::Value(record.incarnation))},
        {"address", record.address.Text()}};
    auto service = m_service_names.find(record.service);
    if (service != m_service_names.end()) {
      member["service"] = service->second;
    }
    if (auto info = m_targets.find(id); info != m_targets.end()) {
      member["target"] = info->second.target;
      member["data_centre"] = info->second.data_centre;
      member["settings_revision"] = info->second.settings_revision;
      member["admin"] = info->second.admin.Text();
    }
    if (auto load = m_loads.find(id); load != m_loads.end()) {
      member["load"] = load->second;
    }
    members.push_back(std::move(member));
  }
  return json{{"revision", m_snapshot->revision}, {"members", members}}.dump();
}

}  // namespace filberthollow::balancer
