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
using decision::UpstreamState;

constexpr std::array<std::string_view, 4> kStateNames{"unknown", "ready",
                                                      "draining", "gone"};

std::string_view StateName(UpstreamState state) {
  return kStateNames.at(static_cast<size_t>(state));
}

decision::GateOptions GateOptionsOf(const NodeFile& file) {
  return {.service = base::ServiceIdOf(file.service),
          .data_centre = base::HashBytes(file.data_centre),
          .first_start = file.first_start,
          .flow_lifetime = file.flow_lifetime,
          .beat_interval = file.beat_interval};
}

}  // namespace

AgentTask::AgentTask(const base::Clock& clock,
                     kernel::Registry& registry,
                     const NodeFile& file,
                     const Adapter& adapter,
                     AgentSockets sockets)
    : PacketsTask(clock, registry, file, adapter, std::move(sockets.peers)),
      m_upstream(file.upstream),
      m_outbound(std::move(sockets.outbound)),
      m_gate(GateOptionsOf(file), clock.Now()) {}

void AgentTask::OnStart() {
  Watch(*m_outbound,
        [this](auto bytes, auto from) { OnUpstreamDatagram(bytes, from); });
  StartPeers();
  OnReportTimer();
  ArmSearch();
}

void AgentTask::ArmSearch() {
  loop().After(m_search_interval, [this] { OnSearchTimer(); });
  m_search_interval = std::min(m_search_interval * 2, kSearchInterval);
}

void AgentTask::OnMessage(const PacketsMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void AgentTask::OnStopped() {
  // A balancer that heard none of the earlier ones would miss this agent, and
  // call the flows of its upstream lost.
  if (leaving()) {
    ReportToLively();
  }
}

void AgentTask::Handle(const RoutesChanged& m) {
  m_gate.SetRoutes(m.routes);
  ReportToLively();
}

void AgentTask::Handle(const PeersFound& m) {
  bool news = false;
  for (base::Address balancer : m.balancers) {
    news |= m_balancers.Add(balancer, Now());
  }
  if (news) {
    SendReports(m_balancers.Silent(Now()));
  }
}

void AgentTask::Handle(const BeatHeard& m) {
  UpstreamState before = m_gate.Report(Now()).state;
  if (!m_gate.OnBeat(m.beat, Now(), m_actions)) {
    m_metrics.Add("beats_ignored");
    return;
  }
  if (UpstreamState after = m_gate.Report(Now()).state; after != before) {
    base::Log(Level::kInfo, "upstream_state",
              {{"upstream", m.beat.id},
               {"state", std::string(StateName(after))},
               {"sequence", m.beat.sequence}});
  }
  Act();
}

void AgentTask::Handle(const HealthChecked& m) {
  m_gate.OnHealth(m.answered, Now(), m_actions);
  Act();
}

void AgentTask::Handle(const LeaveFleet& /*m*/) {
  StartLeaving();
  m_gate.Leave();
  ReportToLively();
}

void AgentTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("flows", m_gate.flows());
  m_metrics.Set("packets_wakeups", loop().wakeups());
  nlohmann::json status{{"revision", m_gate.revision()},
                        {"flows", m_gate.flows()},
                        {"balancers", m_balancers.size()}};
  m.reply_to->Post({m.query, name(), m_metrics.Report(), status.dump()});
}

void AgentTask::OnUpstreamDatagram(std::string_view bytes, base::Address from) {
  if (from.ip != m_upstream.ip) {
    m_metrics.Count(flow::Reason::kMalformed);
    return;
  }
  if (auto head = ReadHead(bytes)) {
    NotePacket();
    if (head->bounced) {
      m_metrics.Add("packets_bounced");
    }
    m_gate.OnUpstreamPacket(bytes, *head, Now(), m_actions);
    Act();
  }
}

void AgentTask::OnPeer(const wire::PacketMessage& message, base::Address from) {
  std::visit([this, from](const auto& m) { HandlePeer(m, from); }, message);
}

void AgentTask::HandlePeer(const decision::Forward& m, base::Address from) {
  if (auto head = ReadHead(m.packet)) {
    NotePacket();
    m_gate.OnForward(m, *head, from, Now(), m_actions);
    Act();
  }
}

void AgentTask::HandlePeer(const decision::Locate& m, base::Address from) {
  m_metrics.Add("locates_heard");
  m_gate.OnLocate(m, from, Now(), m_actions);
  Act();
}

void AgentTask::HandlePeer(const decision::Located& /*m*/,
                           base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // only balancers are sent these
}

void AgentTask::HandlePeer(const decision::FlowAnswer& /*m*/,
                           base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // only balancers are sent these
}

void AgentTask::HandlePeer(const decision::UpstreamReport& /*m*/,
                           base::Address /*from*/) {
  m_metrics.Count(flow::Reason::kMalformed);  // only balancers are sent these
}

void AgentTask::HandlePeer(const decision::BalancerHello& m,
                           base::Address from) {
  NoteRevision(m.revision, m_gate.revision(), from);
  if (m_balancers.OnHello(from, m.run, m.leaving, Now())) {
    SendReports({from});
  }
  if (m.newcomer != base::Address{}) {
    m_balancers.Add(m.newcomer, Now());
    SendReports({m.newcomer});
  }
  Handle(PeersFound{m.balancers});
}

void AgentTask::Act() {
  // Acting may not add actions.
  for (const decision::GateAction& action : m_actions) {
    std::visit([this](const auto& a) { ActOn(a); }, action);
  }
  m_actions.clear();
  ArmTick();
}

void AgentTask::ActOn(const decision::ToUpstream& action) {
  m_metrics.Add("packets_to_upstream");
  if (!m_outbound->Send(action.packet, m_upstream)) {
    m_metrics.Count(flow::Reason::kSendFailed);
  }
}

void AgentTask::ActOn(const decision::ToCaller& action) {
  m_metrics.Add("packets_to_callers");
  SendToCaller(*m_outbound, action.packet, action.caller);
}

void AgentTask::ActOn(const decision::ResetCaller& action) {
  SendReset(*m_outbound, action, m_gate.revision());
}

void AgentTask::ActOn(const decision::AnswerBalancer& action) {
  if (action.answer.holding == decision::Holding::kRefused) {
    m_metrics.Count(action.answer.reason);
  } else if (!action.answer.packet.empty()) {
    m_metrics.Add("packets_stray");
  }
  SendToPeer(action.answer, action.balancer);
}

void AgentTask::ActOn(const decision::AnswerLocate& action) {
  SendToPeer(action.answer, action.balancer);
}

void AgentTask::ActOn(const decision::CheckUpstream& /*action*/) {
  m_metrics.Add("health_checks");
  Post(kControlService, ControlMessage(CheckHealth{}));
}

void AgentTask::ActOn(const decision::ReportNow& /*action*/) {
  ReportToLively();
}

void AgentTask::ActOn(const decision::OfferDecided& note) {
  std::string reason =
      note.taken ? "" : std::string(flow::ReasonName(note.reason));
  if (note.taken) {
    m_metrics.Record("open_ms", note.took);
  }
  base::Log(note.taken ? Level::kInfo : Level::kWarning,
            note.taken ? "flow_taken" : "flow_refused",
            {{"flow", note.flow.Text()},
             {"reason", reason},
             {"upstream", std::string(StateName(note.state))},
             {"heard_ago_ms", note.heard_ago},
             {"took_ms", note.took},
             {"busy", note.load.busy},
             {"open", note.load.open},
             {"slots", note.load.slots},
             {"revision", m_gate.revision()}});
}

void AgentTask::ActOn(const decision::RequestWaited& note) {
  m_metrics.Record("request_wait_ms", note.waited);
  base::Log(Level::kInfo, "request_waited",
            {{"flow", note.flow.Text()},
             {"waited_ms", note.waited},
             {"still_waiting", note.still_waiting}});
}

void AgentTask::ActOn(const decision::RequestAnswered& note) {
  m_metrics.Record("request_ms", note.took);
}

void AgentTask::ActOn(const decision::UpstreamReset& note) {
  m_metrics.Add("upstream_resets");
  base::Log(Level::kWarning, "upstream_reset",
            {{"flow", note.flow.Text()},
             {"busy", note.busy ? "yes" : "no"},
             {"busy_for_ms", note.busy_for},
             {"opened_ago_ms", note.opened_ago},
             {"revision", m_gate.revision()}});
}

void AgentTask::ActOn(const decision::UpstreamSilence& note) {
  m_metrics.Add(note.silent ? "upstream_lost" : "upstream_regained");
  base::Log(Level::kWarning, note.silent ? "upstream_silent" : "upstream_heard",
            {{"heard_ago_ms", note.heard_ago},
             {"owes_opening", note.owes_opening ? "yes" : "no"}});
}

void AgentTask::ReadPending() {
  PacketsTask::ReadPending();
  m_outbound->ReadPending();
}

void AgentTask::Decide() {
  m_gate.OnTick(Now(), m_actions);
  Act();
  EndIfLeft();
}

void AgentTask::EndIfLeft() {
  decision::UpstreamReport report = m_gate.Report(Now());
  if (report.state == UpstreamState::kGone) {
    EndIfQuiet(kLeaveQuiet, base::Millis(0));
  } else if (report.leaving) {
    EndIfQuiet(base::Millis(0), m_gate.IsIdle() ? kLeaveNews : kLeaveBusy);
  }
}

void AgentTask::OnReportTimer() {
  // Balancers answer reports, so they are heard of as often.
  m_balancers.SetHelloInterval(
      std::max(ReportInterval(), BalancerTask::kHelloInterval));
  loop().After(ReportInterval(), [this] { OnReportTimer(); });
  ReportToLively();
}

void AgentTask::OnSearchTimer() {
  m_balancers.Forget(Now());
  SendReports(m_balancers.Silent(Now()));
  if (m_balancers.Live(Now()).empty()) {
    Post(config::kConfigService,
         config::ConfigMessage(config::BalancersWanted{}));
  }
  ArmSearch();
}

void AgentTask::SendReports(const std::vector<base::Address>& balancers) {
  decision::UpstreamReport report = m_gate.Report(Now());
  report.interval = ReportInterval();
  for (base::Address balancer : balancers) {
    SendToPeer(report, balancer);
  }
}

}  // namespace filberthollow::passthrough
