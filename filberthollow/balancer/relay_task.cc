#include "filberthollow/balancer/relay_task.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/wire/codec.h"

namespace filberthollow::balancer {
namespace {

using nlohmann::json;

}  // namespace

RelayTask::RelayTask(const base::Clock& clock,
                     kernel::Registry& registry,
                     RelaySockets sockets)
    : LoopTask(clock, registry, kRelayService),
      m_sockets(std::move(sockets)),
      m_router(flow::KeyRing{}) {}

void RelayTask::OnStart() {
  auto callers = m_sockets.callers->Watch(
      loop(), [this](auto bytes, auto from) { OnCallerDatagram(bytes, from); });
  auto agents = m_sockets.agents->Watch(
      loop(), [this](auto bytes, auto from) { OnAgentDatagram(bytes, from); });
  for (const auto* result : {&callers, &agents}) {
    if (!*result) {
      base::Log(base::Level::kError, "socket_failed",
                {{"error", result->error().Text()}});
    }
  }
}

void RelayTask::OnMessage(const RelayMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void RelayTask::Handle(const config::KeysChanged& m) {
  m_router.SetKeys(m.keys);
}

void RelayTask::Handle(const ViewChanged& m) {
  m_router.SetView(*m.view);
}

void RelayTask::Handle(const DrainRelay& /*m*/) {
  m_draining = true;
}

void RelayTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("relay_wakeups", loop().wakeups());
  std::string text =
      m.explain == base::FlowId{} ? StatusJson() : ExplainJson(m.explain);
  m.reply_to->Post({m.query_id, name(), m_metrics.Report(), std::move(text)});
}

void RelayTask::OnCallerDatagram(std::string_view bytes, base::Address from) {
  m_metrics.Add("caller_datagrams");
  wire::Decoded<flow::Up> message = wire::DecodeUp(bytes);
  if (!message) {
    m_metrics.Count(message.reason());
    return;
  }
  const auto* open = std::get_if<flow::Open>(&*message);
  if (open != nullptr && m_draining) {
    m_metrics.Count(flow::Reason::kDraining);
    Send(*m_sockets.callers,
         wire::EncodeDown(flow::Refusal{.nonce = open->nonce,
                                        .reason = flow::Reason::kDraining,
                                        .run_state = flow::RunState::kNotRun}),
         from);
    return;
  }
  decision::flows::Route route = m_router.RouteMessage(*message, from, Now());
  if (const auto* forward =
          std::get_if<decision::flows::ForwardToAgent>(&route)) {
    if (open != nullptr) {
      m_metrics.Add("flows_placed");
    }
    Send(
        *m_sockets.agents,
        wire::EncodeRelayedUp({from, forward->flow, *message}, m_router.keys()),
        forward->agent);
  } else if (const auto* reply =
                 std::get_if<decision::flows::ReplyToCaller>(&route)) {
    const auto& refusal = std::get<flow::Refusal>(reply->message);
    m_metrics.Count(refusal.reason);
    RecordRefusal(refusal, from, "this balancer");
    Send(*m_sockets.callers, wire::EncodeDown(reply->message), from);
  } else {
    m_metrics.Count(std::get<decision::flows::DropDatagram>(route).reason);
  }
}

void RelayTask::OnAgentDatagram(std::string_view bytes, base::Address from) {
  m_metrics.Add("agent_datagrams");
  wire::Decoded<flow::RelayedDown> relayed =
      wire::DecodeRelayedDown(bytes, m_router.keys());
  if (!relayed) {
    m_metrics.Count(relayed.reason());
    return;
  }
  m_router.OnLoadReport(from, relayed->load);
  RecordDownEvent(*relayed);
  Send(*m_sockets.callers, wire::EncodeDown(relayed->message), relayed->caller);
}

void RelayTask::RecordDownEvent(const flow::RelayedDown& relayed) {
  if (const auto* opened = std::get_if<flow::Opened>(&relayed.message)) {
    RecordEvent(opened->token.flow,
                fmt::format("opened for {} at agent {}", relayed.caller.Text(),
                            opened->token.agent.Text()));
  } else if (const auto* refusal =
                 std::get_if<flow::Refusal>(&relayed.message)) {
    RecordRefusal(*refusal, relayed.caller, "the agent");
  }
}

void RelayTask::RecordRefusal(const flow::Refusal& refusal,
                              base::Address caller,
                              std::string_view by) {
  RecordEvent(
      refusal.flow,
      fmt::format("request {} of {} refused by {}: {}, {}",
                  base::Value(refusal.seq), caller.Text(), by,
                  flow::ReasonName(refusal.reason),
                  refusal.run_state == flow::RunState::kNotRun ? "not run"
                                                               : "unknown"));
}

void RelayTask::Send(net::UdpSocket& socket,
                     std::string_view bytes,
                     base::Address to) {
  if (!socket.Send(bytes, to)) {
    m_metrics.Count(flow::Reason::kSendFailed);
  }
}

void RelayTask::RecordEvent(base::FlowId flow, std::string text) {
  m_flow_events.push_back({flow, Now(), std::move(text)});
  if (m_flow_events.size() > kMaxFlowEvents) {
    m_flow_events.pop_front();
  }
}

std::string RelayTask::ExplainJson(base::FlowId flow) const {
  json events = json::array();
  for (const FlowEvent& event : m_flow_events) {
    if (event.flow == flow) {
      events.push_back(
          {{"ms_ago", (Now() - event.at).count()}, {"event", event.text}});
    }
  }
  return json{{"events", events}}.dump();
}

std::string RelayTask::StatusJson() const {
  json services = json::object();
  for (const auto& [service, view] : m_router.view().services) {
    json targets = json::array();
    for (const decision::flows::Candidate& candidate : view.candidates) {
      targets.push_back({{"agent", candidate.agent.Text()},
                         {"weight", candidate.weight},
                         {"load", candidate.reported_load}});
    }
    services[fmt::format("{:016x}", base::Value(service))] = targets;
  }
  return json{{"candidates", services},
              {"gone", m_router.view().ended_incarnations.size()},
              {"draining", m_draining},
              {"key_epoch", m_router.keys().newest_epoch()}}
      .dump();
}

}  // namespace filberthollow::balancer
