#include "filberthollow/passthrough/balancer_task.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/decision/flows/evacuation_progress.h"

namespace filberthollow::passthrough {

using base::Level;
using decision::flows::AgentFilter;

BalancerTask::BalancerTask(const base::Clock& clock,
                           kernel::Registry& registry,
                           const settings::NodeSettings& settings,
                           const config::Adapter& adapter,
                           BalancerSockets sockets)
    : PacketsTask(clock, registry, settings, adapter, std::move(sockets.peers)),
      m_callers(std::move(sockets.callers)),
      m_router(base::HashBytes(settings.data_centre), clock.Now()) {
  if (settings.evacuations) {
    m_router.evacuation_filter().AwaitList();
  }
}

void BalancerTask::OnStart() {
  Watch(*m_callers,
        [this](auto bytes, auto /*from*/) { OnCallerDatagram(bytes); });
  StartPeerSocket();
  OnHelloTimer();
}

void BalancerTask::OnMessage(const PacketsMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void BalancerTask::Handle(const RoutesChanged& m) {
  m_router.SetRoutes(m.routes);
  CheckReadiness();
  NotifyAssignedPeers();
}

void BalancerTask::OnEvacuationsChanged() {
  m_router.evacuation_filter().Set(m_evacuations);
  NotifyAssignedPeers();
}

void BalancerTask::Handle(const BalancersFound& m) {
  for (base::Address balancer : m.balancers) {
    if (m_balancers.Add(balancer, Now())) {
      SendHello(balancer);
    }
  }
}

void BalancerTask::Handle(const LeaveFleet& /*m*/) {
  StartLeaving();
  CheckReadiness();
  AnnounceLeaving();
}

void BalancerTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("known_flows", m_router.known_flows());
  m_metrics.Set("packets_wakeups", loop().wakeups());
  nlohmann::json status{{"revision", m_router.revision()},
                        {"agents", m_router.Agents().size()},
                        {"balancers", m_balancers.size()},
                        {"evacuations", EvacuationStatus()}};
  m.reply_to->Post(
      {m.query_id, name(), m_metrics.Report(), status.dump(), m_ready});
}

nlohmann::json BalancerTask::EvacuationStatus() const {
  nlohmann::json data_centres = nlohmann::json::array();
  for (const auto& progress :
       decision::flows::ProgressOf(m_evacuations, m_router.Reports())) {
    data_centres.push_back({{"name", progress.name},
                            {"agents", progress.agents},
                            {"agents_informed", progress.agents_informed},
                            {"open_flows", progress.open_flows},
                            {"in_flight", progress.in_flight}});
  }
  return {{"revision", m_evacuations.list().revision},
          {"data_centres", data_centres}};
}

void BalancerTask::OnCallerDatagram(std::string_view bytes) {
  RecordPacketArrival();
  m_metrics.Add("caller_packets");
  if (auto header = ReadHeader(bytes)) {
    m_router.OnCallerPacket(bytes, *header, Now(), m_actions);
    ApplyActions();
  }
}

void BalancerTask::OnPeerMessage(const wire::PacketMessage& message,
                                 base::Address from) {
  std::visit([this, from](const auto& m) { HandlePeerMessage(m, from); },
             message);
}

void BalancerTask::HandlePeerMessage(const decision::flows::Forward& /*m*/,
                                     base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // sent to agents only
}

void BalancerTask::HandlePeerMessage(const decision::flows::Locate& /*m*/,
                                     base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // sent to agents only
}

void BalancerTask::HandlePeerMessage(const decision::flows::Located& m,
                                     base::Address from) {
  m_router.OnLocated(m, from, Now(), m_actions);
  ApplyActions();
}

void BalancerTask::HandlePeerMessage(const decision::flows::FlowAnswer& m,
                                     base::Address from) {
  flow::PacketHeader header;
  if (!m.packet.empty()) {
    auto read = ReadHeader(m.packet);
    if (!read) {
      return;
    }
    header = *read;
  }
  if (m.holding == decision::flows::Holding::kRefused) {
    m_metrics.Count(m.reason);
    base::Log(Level::kWarning, "offer_refused",
              {{"flow", m.flow.Text()},
               {"agent", from.Text()},
               {"reason", std::string(flow::ReasonName(m.reason))}});
  }
  m_router.OnAnswer(m, header, from, Now(), m_actions);
  ApplyActions();
}

void BalancerTask::HandlePeerMessage(const decision::flows::UpstreamReport& m,
                                     base::Address from) {
  if (m_router.OnReport(m, from, Now())) {
    for (base::Address newcomer : m_balancers.Newcomers(Now())) {
      if (m_balancers.IntroducesTo(newcomer, Now())) {
        SendToPeer(
            decision::flows::KnownAgents{
                {{.agent = from, .service = m.service, .leaving = true}}},
            newcomer);
      }
    }
  }
  NotifyIfNewerRevision(m.revision, m_router.revision(), from);
  UpdateEvacuations(m.evacuations, from);
  auto [hello_at, added] = m_agent_hello_at.try_emplace(from, Now());
  bool behind = m.revision < m_router.revision() ||
                m.evacuation_revision < m_evacuations.changed_revision();
  bool wants_confirmation =
      m.confirmation == decision::flows::ReportConfirmation::kWanted;
  if (added || behind || wants_confirmation ||
      Now() - hello_at->second >= kHelloInterval) {
    hello_at->second = Now();
    SendHello(from);
  }
  CheckReadiness();
}

void BalancerTask::HandlePeerMessage(const decision::flows::BalancerHello& m,
                                     base::Address from) {
  NotifyIfNewerRevision(m.revision, m_router.revision(), from);
  m_router.OnPeerRevision(m.revision);
  UpdateEvacuations(m.evacuations, from);
  bool has_started = m_balancers.OnHello(from, m.run, m.leaving, Now());
  m_balancers.SetTakesTurns(from, m.takes_turns);
  if (has_started) {
    // Not only at the next timer: a balancer that knows no other one calls the
    // store often.
    PostFleetSize();
    SendHello(from);
    NotifyAssignedPeers(from);  // makes agents report to it immediately
    IntroduceAgents(from, AgentFilter::kAll);
    loop().After(kIntroductionRepeat,
                 [this, from] { IntroduceAgents(from, AgentFilter::kAbsent); });
  }
  Handle(BalancersFound{m.balancers});
}

void BalancerTask::HandlePeerMessage(const decision::flows::KnownAgents& m,
                                     base::Address /*from*/) {
  m_metrics.Add("agents_introduced", m.agents.size());
  m_router.OnKnownAgents(m, Now());
}

void BalancerTask::ApplyActions() {
  for (const decision::flows::RouterAction& action : m_actions) {
    std::visit([this](const auto& a) { Apply(a); }, action);
  }
  m_actions.clear();
  ArmTick();
}

void BalancerTask::Apply(const decision::flows::SendForward& action) {
  SendToPeer(action.message, action.agent);
}

void BalancerTask::Apply(const decision::flows::SendLocate& action) {
  m_metrics.Add("locates_sent");
  SendToPeer(action.message, action.agent);
}

void BalancerTask::Apply(const decision::flows::ResetCaller& action) {
  SendReset(*m_callers, action, m_router.revision());
}

void BalancerTask::Apply(const decision::flows::DropPacket& action) {
  m_metrics.Count(action.reason);
}

void BalancerTask::Apply(const decision::flows::OfferMade& note) {
  m_metrics.Add(note.tries > 1 ? "offers_repeated" : "offers_first");
  base::Log(note.tries > 1 ? Level::kWarning : Level::kInfo, "flow_offered",
            {{"flow", note.flow.Text()},
             {"agent", note.agent.Text()},
             {"tries", note.tries},
             {"options", note.candidates},
             {"busy", note.load.in_flight},
             {"open", note.load.open_flows},
             {"slots", note.load.slots},
             {"placed", note.placed_since_load},
             {"load_age_ms", note.load_age},
             {"work_us", note.load.work_us},
             {"work_age_ms", note.load.work_age_ms},
             {"usual_work_us", note.usual_work_us},
             {"revision", m_router.revision()}});
}

void BalancerTask::Apply(const decision::flows::OfferAccepted& note) {
  m_metrics.Record("offer_ms", note.took);
}

void BalancerTask::Apply(const decision::flows::FlowFound& note) {
  m_metrics.Add("flows_found");
  m_metrics.Record("search_ms", note.took);
  base::Log(Level::kInfo, "flow_found",
            {{"flow", note.flow.Text()},
             {"agent", note.agent.Text()},
             {"asked", note.agents_asked},
             {"took_ms", note.took}});
}

void BalancerTask::Apply(const decision::flows::FlowNotFound& note) {
  m_metrics.Add("flows_not_found");
  base::Log(Level::kInfo, "flow_not_found",
            {{"flow", note.flow.Text()},
             {"reset", note.reset ? "yes" : "no"},
             {"asked", note.agents_asked},
             {"unanswered", note.agents_unanswered},
             {"unsure", note.agents_unsure},
             {"without_upstream", note.agents_without_upstream},
             {"lost", note.agents_lost},
             {"known", m_router.Agents().size()},
             {"undecided", note.undecided_agent.Text()},
             {"took_ms", note.took}});
}

void BalancerTask::Apply(const decision::flows::AgentSilence& note) {
  m_metrics.Add(note.silent ? "agents_lost" : "agents_regained");
  base::Log(Level::kWarning, note.silent ? "agent_silent" : "agent_heard",
            {{"agent", note.agent.Text()},
             {"unheard_ms", note.heard_ago},
             {"isolated", note.isolated ? "yes" : "no"}});
}

void BalancerTask::Apply(const decision::flows::ReportNeeded& action) {
  m_metrics.Add("reports_asked_for");
  base::Log(Level::kWarning, "report_asked_for",
            {{"agent", action.agent.Text()},
             {"reported_ago_ms", action.reported_ago}});
  // Agents report at once to the newcomer that a hello names.
  SendHello(action.agent, peer_address());
}

void BalancerTask::Apply(const decision::flows::ProcessPaused& note) {
  m_metrics.Add("process_pauses");
  base::Log(Level::kWarning, "process_paused", {{"gap_ms", note.gap}});
}

void BalancerTask::OnDecisionTick() {
  m_router.OnTick(Now(), m_actions);
  ApplyActions();
  CheckReadiness();
  StopIfQuiet(kLeaveQuietTime, kMinLeaveTime);
}

void BalancerTask::CheckReadiness() {
  bool ready = m_router.IsReady(Now()) && !leaving();
  if (ready == m_ready) {
    return;
  }
  m_ready = ready;
  base::Log(Level::kInfo, ready ? "ready" : "not_ready",
            {{"revision", m_router.revision()},
             {"agents", m_router.Agents().size()}});
  Post(kControlService, ControlMessage(ReadinessChanged{ready}));
}

void BalancerTask::OnHelloTimer() {
  int64_t hello_bytes =
      kHelloBytes + (m_evacuations.IsKnown() ? kEvacuationBytes : 0);
  base::Millis interval =
      PacedInterval(m_balancers.size(), hello_bytes, kHelloInterval);
  m_balancers.SetHelloInterval(interval);
  loop().After(interval, [this] { OnHelloTimer(); });
  m_balancers.Forget(Now());
  m_balancers.AdvanceAdvertised();
  PostFleetSize();
  std::erase_if(m_agent_hello_at, [this](const auto& entry) {
    return Now() - entry.second > decision::flows::FlowRouter::kAgentExpiry;
  });
  SendHelloToBalancers();
}

void BalancerTask::PostFleetSize() {
  config::FleetSizeChanged fleet{m_balancers.size() + 1,  // with this balancer
                                 m_balancers.Turn(Now())};
  if (fleet != m_posted_fleet) {
    m_posted_fleet = fleet;
    Post(config::kConfigService, config::ConfigMessage(fleet));
    Post(config::kEvacuationService, config::EvacuationMessage(fleet));
  }
}

void BalancerTask::SendHelloToBalancers() {
  for (const auto& group :
       {m_balancers.Live(Now()), m_balancers.Silent(Now())}) {
    for (base::Address balancer : group) {
      SendHello(balancer);
    }
  }
}

void BalancerTask::SendHello(base::Address to, base::Address newcomer) {
  SendToPeer(
      decision::flows::BalancerHello{
          .revision = m_router.revision(),
          .run = m_run,
          .leaving = leaving(),
          .balancers = m_balancers.Advertised(to, Now()),
          .newcomer = newcomer,
          .confirms_report = m_router.HasReportOf(to, Now()),
          .evacuations = m_evacuations.list(),
          .takes_turns = true},
      to);
}

void BalancerTask::AnnounceLeaving() {
  SendHelloToBalancers();
  for (base::Address agent : m_router.Agents()) {
    SendHello(agent);
  }
}

void BalancerTask::NotifyAssignedPeers(base::Address newcomer) {
  for (const auto& group : {m_router.Agents(), m_balancers.Live(Now()),
                            m_balancers.Silent(Now())}) {
    for (base::Address peer : group) {
      if (m_balancers.IsNotifierFor(peer, Now())) {
        SendHello(peer, newcomer);
      }
    }
  }
}

void BalancerTask::IntroduceAgents(base::Address newcomer, AgentFilter filter) {
  if (!m_balancers.IntroducesTo(newcomer, Now())) {
    return;
  }
  for (const auto& known : m_router.ListAgents(Now(), filter)) {
    SendToPeer(known, newcomer);
  }
}

}  // namespace filberthollow::passthrough
