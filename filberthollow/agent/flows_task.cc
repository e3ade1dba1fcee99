#include "filberthollow/agent/flows_task.h"

#include <fmt/format.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/agent/announcer_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/wire/codec.h"

namespace filberthollow::agent {
namespace {

using decision::flows::UpstreamResult;

constexpr base::Millis kMillisPerSecond{1000};
constexpr std::array<const char*, 4> kMethodNames{"GET", "PUT", "POST",
                                                  "DELETE"};

decision::flows::TargetLimits LimitsOf(const settings::Settings& s) {
  return {.admission = {.slots = s.slots,
                        .queue_length = s.queue_length,
                        .retry_percent = s.retry_percent},
          .connections = s.connections,
          .flows_per_caller = s.flows_per_caller,
          .idle_flow_timeout = kMillisPerSecond * s.idle_flow_s,
          .trust_shed = s.trust_shed != 0};
}

UpstreamResult::Kind KindOf(net::HttpResult::Kind kind) {
  switch (kind) {
    case net::HttpResult::kAnswered:
      return UpstreamResult::kAnswered;
    case net::HttpResult::kNotSent:
      return UpstreamResult::kNotSent;
    case net::HttpResult::kFailedAfterSend:
      return UpstreamResult::kFailedAfterSend;
    case net::HttpResult::kTooLarge:
      return UpstreamResult::kTooLarge;
  }
  return UpstreamResult::kFailedAfterSend;
}

}  // namespace

FlowsTask::FlowsTask(const base::Clock& clock,
                     kernel::Registry& registry,
                     std::shared_ptr<net::UdpSocket> socket,
                     decision::flows::TargetIdentity identity,
                     base::Address upstream)
    : LoopTask(clock, registry, kFlowsService),
      m_socket(std::move(socket)),
      m_upstream(upstream),
      m_client(loop()),
      m_flows(identity, LimitsOf(settings::Settings{}), flow::KeyRing{}),
      m_stop_timeout(settings::Settings{}.stop_ms) {}

void FlowsTask::OnStart() {
  auto watched = m_socket->Watch(
      loop(), [this](auto bytes, auto from) { OnDatagram(bytes, from); });
  if (!watched) {
    base::Log(base::Level::kError, "socket_failed",
              {{"error", watched.error().Text()}});
  }
}

void FlowsTask::OnStopped() {
  if (m_flows.unfinished() > 0) {
    base::Log(base::Level::kWarning, "cut_requests",
              {{"count", m_flows.unfinished()}});
  }
}

void FlowsTask::OnMessage(const FlowsMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void FlowsTask::Handle(const config::KeysChanged& m) {
  m_keys = m.keys;
  m_flows.SetKeys(m.keys);
}

void FlowsTask::Handle(const SettingsChanged& m) {
  m_flows.SetLimits(LimitsOf(m.settings));
  m_stop_timeout = base::Millis(m.settings.stop_ms);
}

void FlowsTask::Handle(const HealthChanged& m) {
  m_flows.SetReadiness(m.healthy ? decision::flows::Readiness::kReady
                                 : decision::flows::Readiness::kNotReady);
}

void FlowsTask::Handle(const DrainFlows& /*m*/) {
  m_draining = true;
  m_flows.SetReadiness(decision::flows::Readiness::kDraining);
  loop().After(m_stop_timeout, [] { kernel::NotifyDrained(); });
  CheckDrained();
}

void FlowsTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("flows_wakeups", loop().wakeups());
  m_metrics.Set("open_flows", m_flows.open_flows());
  metrics::MetricsReport report = m_metrics.Report();
  for (size_t i = 0; i < report.reasons.size(); ++i) {
    report.reasons.at(i) += m_flows.refusals().at(i);
  }
  std::string text =
      m.explain == base::FlowId{} ? StatusJson() : m_flows.Explain(m.explain);
  bool ready = !m_keys.empty() &&
               m_flows.readiness() == decision::flows::Readiness::kReady;
  m.reply_to->Post(
      {m.query_id, name(), std::move(report), std::move(text), ready});
}

void FlowsTask::OnDatagram(std::string_view bytes, base::Address from) {
  m_metrics.Add("relay_datagrams");
  wire::Decoded<flow::RelayedUp> relayed = wire::DecodeRelayedUp(bytes, m_keys);
  if (!relayed) {
    m_metrics.Count(relayed.reason());
    return;
  }
  Perform(m_flows.OnMessage(*relayed, {relayed->caller, from}, Now()));
  EnsureTick();
  ReportLoad();
}

void FlowsTask::Perform(const decision::flows::AgentActions& actions) {
  for (const decision::flows::OutgoingMessage& send : actions.sends) {
    flow::RelayedDown message = send.message;
    message.load = m_flows.unfinished();
    if (!m_socket->Send(wire::EncodeRelayedDown(message, m_keys),
                        send.balancer)) {
      m_metrics.Count(flow::Reason::kSendFailed);
    }
  }
  for (const decision::flows::UpstreamRequest& start : actions.starts) {
    Start(start);
  }
  for (decision::load::RequestId request_id : actions.cancels) {
    if (auto exchange = m_exchanges.find(request_id);
        exchange != m_exchanges.end()) {
      m_client.Cancel(exchange->second);
    }
  }
}

void FlowsTask::Start(const decision::flows::UpstreamRequest& start) {
  base::Millis time_left = start.deadline - Now();
  std::string id = fmt::format("{:016x}-{}", base::Value(start.request_id.flow),
                               base::Value(start.request_id.seq));
  net::HttpRequest request{
      .server = m_upstream,
      .method = kMethodNames.at(static_cast<size_t>(start.method)),
      .path = start.path,
      .headers = {{std::string(net::kRequestIdHeader), id},
                  {std::string(net::kDeadlineHeader),
                   std::to_string(time_left.count())}},
      .body = start.body,
      .timeout = time_left,
      .max_response_bytes = flow::kMaxAnswerBytes};
  m_start_times[start.request_id] = Now();
  m_metrics.Add("requests_started");
  m_metrics.Record("queue_ms", start.waited);
  m_exchanges[start.request_id] =
      m_client.Start(std::move(request),
                     [this, request_id = start.request_id](const auto& result) {
                       OnUpstreamDone(request_id, result);
                     });
}

void FlowsTask::OnUpstreamDone(decision::load::RequestId request_id,
                               const net::HttpResult& result) {
  m_exchanges.erase(request_id);
  m_metrics.Record("upstream_ms", Now() - m_start_times.at(request_id));
  m_start_times.erase(request_id);
  Perform(m_flows.OnResult(
      {request_id, KindOf(result.kind), result.status, result.body}, Now()));
  ReportLoad();
  CheckDrained();
}

void FlowsTask::EnsureTick() {
  if (!m_tick_scheduled && m_flows.open_flows() > 0) {
    m_tick_scheduled = true;
    loop().After(kTickInterval, [this] { OnTick(); });
  }
}

void FlowsTask::OnTick() {
  m_tick_scheduled = false;
  Perform(m_flows.OnTick(Now()));
  EnsureTick();
  ReportLoad();
  CheckDrained();
}

void FlowsTask::ReportLoad() {
  uint32_t load = m_flows.unfinished();
  if (load != m_reported_load &&
      Post(kAnnouncerService, AnnouncerMessage(LoadChanged{load}))) {
    m_reported_load = load;
  }
}

void FlowsTask::CheckDrained() {
  if (!m_draining || m_linger_scheduled || m_flows.unfinished() > 0) {
    return;
  }
  m_linger_scheduled = true;
  loop().After(kAnswerLinger, [] { kernel::NotifyDrained(); });
}

std::string FlowsTask::StatusJson() const {
  return nlohmann::json{{"open_flows", m_flows.open_flows()},
                        {"running", m_flows.admission().running()},
                        {"waiting", m_flows.admission().waiting()},
                        {"draining", m_draining}}
      .dump();
}

}  // namespace filberthollow::agent
