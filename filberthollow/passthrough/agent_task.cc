#include "filberthollow/passthrough/agent_task.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/passthrough/balancer_task.h"

namespace filberthollow::passthrough {
namespace {

using base::Level;
using decision::flows::HeartbeatOutcome;
using decision::flows::UpstreamState;

constexpr std::array<std::string_view, 4> kStateNames{"unknown", "ready",
                                                      "draining", "gone"};

std::string_view StateName(UpstreamState state) {
  return kStateNames.at(static_cast<size_t>(state));
}

decision::flows::GateOptions GateOptionsFrom(
    const settings::NodeSettings& settings) {
  return {.service = base::ServiceIdOf(settings.service),
          .upstream = settings.upstream,
          .data_centre = base::HashBytes(settings.data_centre),
          .first_start = settings.first_start,
          .flow_lifetime = settings.flow_lifetime,
          .heartbeat_interval = settings.heartbeat_interval,
          .cold_bounds = {.overshoot = settings.cold_overshoot,
                          .slack = settings.cold_slack}};
}

}  // namespace

AgentTask::AgentTask(const base::Clock& clock,
                     kernel::Registry& registry,
                     const settings::NodeSettings& settings,
                     const config::Adapter& adapter,
                     AgentSockets sockets)
    : PacketsTask(clock, registry, settings, adapter, std::move(sockets.peers)),
      m_data_centre(settings.data_centre),
      m_service(base::ServiceIdOf(settings.service)),
      m_upstream(settings.upstream),
      m_outbound(std::move(sockets.outbound)),
      m_gate(GateOptionsFrom(settings), clock.Now()) {}

void AgentTask::OnStart() {
  Watch(*m_outbound,
        [this](auto bytes, auto from) { OnUpstreamDatagram(bytes, from); });
  StartPeerSocket();
  OnReportTimer();
  ArmDiscoveryTimer();
}

void AgentTask::ArmDiscoveryTimer() {
  loop().After(m_discovery_interval, [this] { OnDiscoveryTimer(); });
  m_discovery_interval = std::min(m_discovery_interval * 2, kDiscoveryInterval);
}

void AgentTask::OnMessage(const PacketsMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void AgentTask::OnStopped() {
  // A balancer that missed all earlier reports that this agent is leaving would
  // see the agent fall silent and consider its upstream's flows lost.
  if (leaving()) {
    m_gate.DeliverAllRequests(Now(), m_actions);
    ApplyActions();
    ReportToLiveBalancers();
  }
}

void AgentTask::Handle(const RoutesChanged& m) {
  m_gate.SetRoutes(m.routes);
  ReportToLiveBalancers();
}

void AgentTask::OnEvacuationsChanged() {
  bool evacuated = m_evacuations.Contains(m_data_centre);
  if (evacuated != m_gate.evacuated()) {
    m_gate.SetEvacuated(evacuated, Now(), m_actions);
    m_metrics.Set("own_data_centre_evacuated", evacuated ? 1 : 0);
    base::Log(Level::kInfo, "own_data_centre_evacuated",
              {{"evacuated", evacuated ? "yes" : "no"},
               {"revision", m_evacuations.list().revision}});
  }
  ApplyActions();
}

void AgentTask::Handle(const BalancersFound& m) {
  std::vector<base::Address> added;
  for (base::Address balancer : m.balancers) {
    if (m_balancers.Add(balancer, Now())) {
      added.push_back(balancer);
    }
  }
  SendReports(added);
}

void AgentTask::Handle(const HeartbeatReceived& m) {
  decision::flows::UpstreamRun previous = m_gate.current_run();
  HeartbeatOutcome outcome = m_gate.OnHeartbeat(m.heartbeat, Now(), m_actions);
  Post(kControlService, ControlMessage(HeartbeatJudged{m.request, outcome}));
  if (decision::flows::IsIgnored(outcome)) {
    LogIgnoredHeartbeat(m.heartbeat, outcome);
    return;
  }
  if (outcome == HeartbeatOutcome::kFirstRun ||
      outcome == HeartbeatOutcome::kNewRun) {
    base::Log(Level::kInfo, "upstream_run",
              {{"upstream", m.heartbeat.id},
               {"started", m.heartbeat.started},
               {"sequence", m.heartbeat.sequence},
               {"previous", previous.id},
               {"previous_started", previous.started}});
  }
  LogUpstreamState(&m.heartbeat);
  ApplyActions();
}

void AgentTask::Handle(const HeartbeatMalformed& /*m*/) {
  m_metrics.Add("beats_malformed");
}

void AgentTask::LogIgnoredHeartbeat(
    const decision::flows::UpstreamHeartbeat& heartbeat,
    HeartbeatOutcome outcome) {
  std::string reason(HeartbeatOutcomeName(outcome));
  m_metrics.Add("beats_ignored");
  m_metrics.Add("beats_ignored_" + reason);
  const decision::flows::UpstreamRun& run = m_gate.current_run();
  base::Log(Level::kWarning, "heartbeat_ignored",
            {{"upstream", heartbeat.id},
             {"reason", reason},
             {"state", std::string(StateName(heartbeat.state))},
             {"service", heartbeat.service},
             {"address", heartbeat.address.Text()},
             {"started", heartbeat.started},
             {"sequence", heartbeat.sequence},
             {"current", run.id},
             {"current_started", run.started}});
}

void AgentTask::LogUpstreamState(
    const decision::flows::UpstreamHeartbeat* heartbeat) {
  UpstreamState state = m_gate.Report(Now()).state;
  if (state == m_logged_state) {
    return;
  }
  m_logged_state = state;
  base::Log(Level::kInfo, "upstream_state",
            {{"upstream", heartbeat == nullptr ? "" : heartbeat->id},
             {"state", std::string(StateName(state))},
             {"sequence", heartbeat == nullptr ? 0 : heartbeat->sequence}});
}

void AgentTask::Handle(const HealthCheckResult& m) {
  m_gate.OnHealthCheck(m.answered, Now(), m_actions);
  ApplyActions();
}

void AgentTask::Handle(const LeaveFleet& /*m*/) {
  StartLeaving();
  m_gate.Leave();
  ReportToLiveBalancers();
}

void AgentTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("flows", m_gate.flows());
  m_metrics.Set("packets_wakeups", loop().wakeups());
  m_metrics.Set("work_us", m_gate.Report(Now()).load.work_us);
  nlohmann::json status{{"revision", m_gate.revision()},
                        {"flows", m_gate.flows()},
                        {"balancers", m_balancers.size()}};
  m.reply_to->Post({m.query_id, name(), m_metrics.Report(), status.dump()});
}

void AgentTask::OnUpstreamDatagram(std::string_view bytes, base::Address from) {
  if (from.ip != m_upstream.ip) {
    m_metrics.Count(flow::Reason::kMalformed);
    return;
  }
  if (auto header = ReadHeader(bytes)) {
    RecordPacketArrival();
    if (header->bounced) {
      m_metrics.Add("packets_bounced");
    }
    m_gate.OnUpstreamPacket(bytes, *header, Now(), m_actions);
    ApplyActions();
  }
}

void AgentTask::OnPeerMessage(const wire::PacketMessage& message,
                              base::Address from) {
  std::visit([this, from](const auto& m) { HandlePeerMessage(m, from); },
             message);
}

void AgentTask::HandlePeerMessage(const decision::flows::Forward& m,
                                  base::Address from) {
  IntroduceTo(from);
  if (auto header = ReadHeader(m.packet)) {
    RecordPacketArrival();
    decision::flows::ForwardSource source{
        .balancer = from, .has_report = m_first_reports.HasConfirmed(from)};
    m_gate.OnForward(m, *header, source, Now(), m_actions);
    ApplyActions();
  }
}

void AgentTask::HandlePeerMessage(const decision::flows::Locate& m,
                                  base::Address from) {
  m_metrics.Add("locates_heard");
  IntroduceTo(from);
  m_gate.OnLocate(m, from, Now(), m_actions);
  ApplyActions();
}

void AgentTask::HandlePeerMessage(const decision::flows::Located& /*m*/,
                                  base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // sent to balancers only
}

void AgentTask::HandlePeerMessage(const decision::flows::FlowAnswer& /*m*/,
                                  base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // sent to balancers only
}

void AgentTask::HandlePeerMessage(const decision::flows::UpstreamReport& /*m*/,
                                  base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // sent to balancers only
}

void AgentTask::HandlePeerMessage(const decision::flows::BalancerHello& m,
                                  base::Address from) {
  NotifyIfNewerRevision(m.revision, m_gate.revision(), from);
  m_balancer_evacuations[from] = m.evacuations.revision;
  UpdateEvacuations(m.evacuations, from);
  bool has_started = m_balancers.OnHello(from, m.run, m.leaving, Now());
  if (m.confirms_report) {
    m_first_reports.OnConfirmed(from, Now());
  } else if (has_started) {
    SendFirstReport(from);
  }
  if (m.newcomer != base::Address{}) {
    m_balancers.Add(m.newcomer, Now());
    SendFirstReport(m.newcomer);
  }
  Handle(BalancersFound{m.balancers});
}

void AgentTask::HandlePeerMessage(const decision::flows::KnownAgents& /*m*/,
                                  base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // sent to balancers only
}

void AgentTask::ApplyActions() {
  // Apply() must not add to m_actions, which would invalidate the iterators.
  for (const decision::flows::GateAction& action : m_actions) {
    std::visit([this](const auto& a) { Apply(a); }, action);
  }
  m_actions.clear();
  ArmTick();
}

void AgentTask::Apply(const decision::flows::DeliverToUpstream& action) {
  m_metrics.Add("packets_to_upstream");
  if (!m_outbound->Send(action.packet, m_upstream)) {
    m_metrics.Count(flow::Reason::kSendFailed);
  }
}

void AgentTask::Apply(const decision::flows::DeliverToCaller& action) {
  m_metrics.Add("packets_to_callers");
  SendToCaller(*m_outbound, action.packet, action.caller);
}

void AgentTask::Apply(const decision::flows::ResetCaller& action) {
  SendReset(*m_outbound, action, m_gate.revision());
}

void AgentTask::Apply(const decision::flows::AnswerBalancer& action) {
  if (action.answer.holding == decision::flows::Holding::kRefused) {
    m_metrics.Count(action.answer.reason);
  } else if (!action.answer.packet.empty()) {
    m_metrics.Add("packets_stray");
  }
  SendToPeer(action.answer, action.balancer);
}

void AgentTask::Apply(const decision::flows::AnswerLocate& action) {
  SendToPeer(action.answer, action.balancer);
}

void AgentTask::Apply(const decision::flows::CheckUpstream& /*action*/) {
  m_metrics.Add("health_checks");
  Post(kControlService, ControlMessage(CheckHealth{}));
}

void AgentTask::Apply(const decision::flows::ReportNow& /*action*/) {
  ReportToLiveBalancers();
}

std::string_view AgentTask::ServiceClaim(base::ServiceId service) const {
  if (service == base::ServiceId{}) {
    return "none";
  }
  return service == m_service ? "own" : "other";
}

void AgentTask::Apply(const decision::flows::OfferDecided& note) {
  std::string reason =
      note.accepted ? "" : std::string(flow::ReasonName(note.reason));
  if (note.accepted) {
    m_metrics.Record("open_ms", note.took);
  }
  base::Log(note.accepted ? Level::kInfo : Level::kWarning,
            note.accepted ? "flow_taken" : "flow_refused",
            {{"flow", note.flow.Text()},
             {"reason", reason},
             {"upstream", std::string(StateName(note.state))},
             {"heard_ago_ms", note.heard_ago},
             {"took_ms", note.took},
             {"busy", note.load.in_flight},
             {"open", note.load.open_flows},
             {"slots", note.load.slots},
             {"cold", note.cold ? "yes" : "no"},
             {"cold_ms", note.load.cold_ms},
             {"openings_left", note.load.openings_left},
             {"revision", m_gate.revision()},
             {"balancer", note.offerer.balancer.Text()},
             {"balancer_revision", note.offerer.revision},
             {"service_named", std::string(ServiceClaim(note.offerer.service))},
             {"balancer_has_report", note.offerer.has_report ? "yes" : "no"}});
}

void AgentTask::Apply(const decision::flows::RequestWaited& note) {
  m_metrics.Record("request_wait_ms", note.waited);
  base::Log(Level::kInfo, "request_waited",
            {{"flow", note.flow.Text()},
             {"waited_ms", note.waited},
             {"still_waiting", note.still_waiting}});
}

void AgentTask::Apply(const decision::flows::RequestAnswered& note) {
  m_metrics.Record("request_ms", note.took);
}

void AgentTask::Apply(const decision::flows::UpstreamReset& note) {
  m_metrics.Add("upstream_resets");
  base::Log(Level::kWarning, "upstream_reset",
            {{"flow", note.flow.Text()},
             {"busy", note.request_pending ? "yes" : "no"},
             {"busy_for_ms", note.pending_for},
             {"opened_ago_ms", note.opened_ago},
             {"revision", m_gate.revision()}});
}

void AgentTask::Apply(const decision::flows::UpstreamSilence& note) {
  m_metrics.Add(note.silent ? "upstream_lost" : "upstream_regained");
  base::Log(Level::kWarning, note.silent ? "upstream_silent" : "upstream_heard",
            {{"heard_ago_ms", note.heard_ago},
             {"owes_opening", note.opening_unanswered ? "yes" : "no"}});
}

void AgentTask::ReadPending() {
  PacketsTask::ReadPending();
  m_outbound->ReadPending();
}

void AgentTask::OnDecisionTick() {
  m_gate.OnTick(Now(), m_actions);
  ApplyActions();
  if (auto due = m_first_reports.TakeDue(Now()); !due.empty()) {
    m_metrics.Add("first_reports_repeated", due.size());
    SendReports(due);
  }
  LogUpstreamState(nullptr);
  StopIfDoneLeaving();
}

void AgentTask::StopIfDoneLeaving() {
  if (!m_gate.KnowsWhetherUpstreamRuns(Now())) {
    return;
  }
  decision::flows::UpstreamReport report = m_gate.Report(Now());
  if (report.state == UpstreamState::kGone) {
    StopIfQuiet(kLeaveQuietTime, base::Millis(0));
  } else if (report.leaving) {
    StopIfQuiet(base::Millis(0),
                m_gate.IsIdle() ? kMinLeaveTime : kMaxLeaveTime);
  }
}

void AgentTask::OnReportTimer() {
  // Balancers answer reports with hellos, in general at most one per
  // kHelloInterval.
  m_balancers.SetHelloInterval(
      std::max(ReportInterval(), BalancerTask::kHelloInterval));
  loop().After(ReportInterval(), [this] { OnReportTimer(); });
  ReportToLiveBalancers();
}

void AgentTask::OnDiscoveryTimer() {
  m_balancers.Forget(Now());
  std::erase_if(m_balancer_evacuations, [this](const auto& entry) {
    return !m_balancers.IsLive(entry.first, Now());
  });
  m_first_reports.KeepConfirmationsOf(m_balancers.Live(Now()));
  SendReports(m_balancers.Silent(Now()));
  if (m_balancers.Live(Now()).empty()) {
    Post(config::kConfigService,
         config::ConfigMessage(config::RefreshBalancers{}));
  }
  ArmDiscoveryTimer();
}

void AgentTask::IntroduceTo(base::Address balancer) {
  if (m_balancers.Add(balancer, Now())) {
    m_metrics.Add("balancers_found_by_packets");
    base::Log(Level::kInfo, "balancer_found", {{"balancer", balancer.Text()}});
    SendFirstReport(balancer);
  }
}

void AgentTask::SendFirstReport(base::Address balancer) {
  if (m_first_reports.Begin(balancer, Now())) {
    SendReports({balancer});
  }
}

void AgentTask::SendReports(const std::vector<base::Address>& balancers) {
  decision::flows::UpstreamReport report = m_gate.Report(Now());
  report.interval = ReportInterval();
  for (base::Address balancer : balancers) {
    bool wanted = m_first_reports.IsPending(balancer) ||
                  !m_balancers.IsLive(balancer, Now());
    report.confirmation = wanted
                              ? decision::flows::ReportConfirmation::kWanted
                              : decision::flows::ReportConfirmation::kReceived;
    report.evacuation_revision = m_evacuations.list().revision;
    auto balancer_has = m_balancer_evacuations.find(balancer);
    bool is_behind = balancer_has != m_balancer_evacuations.end() &&
                     balancer_has->second < report.evacuation_revision;
    report.evacuations = is_behind ? m_evacuations.list()
                                   : decision::membership::EvacuationList{};
    SendToPeer(report, balancer);
    m_first_reports.OnSent(balancer);
  }
}

}  // namespace filberthollow::passthrough
