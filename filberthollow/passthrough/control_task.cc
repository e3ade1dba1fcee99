#include "filberthollow/passthrough/control_task.h"

#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/passthrough/peer_config.h"

namespace filberthollow::passthrough {
namespace {

using decision::flows::HeartbeatOutcome;

constexpr const char* kConfigPath = "/config";

// Returns the HTTP status that tells the sender of a heartbeat its effect. Only
// a heartbeat that is in effect is acknowledged with a status 2xx.
uint16_t StatusOf(HeartbeatOutcome outcome) {
  switch (outcome) {
    case HeartbeatOutcome::kOtherUpstream:
      return net::kHttpNotFound;
    case HeartbeatOutcome::kStale:
      return net::kHttpConflict;
    case HeartbeatOutcome::kEarlierRun:
      // It may have started later, after its clock was set back: its next
      // heartbeats show that.
      return net::kHttpUnavailable;
    default:
      return net::kHttpOk;
  }
}

}  // namespace

ControlTask::ControlTask(const base::Clock& clock,
                         kernel::Registry& registry,
                         const settings::NodeSettings& settings,
                         const config::Adapter& adapter)
    : LoopTask(clock, registry, kControlService),
      m_settings(settings),
      m_adapter(adapter),
      m_readiness_server(loop(),
                         [this](const auto& request, auto responder) {
                           OnReadinessRequest(request, responder);
                         }),
      m_heartbeat_server(loop(),
                         [this](const auto& request, auto responder) {
                           OnHeartbeatRequest(request, responder);
                         }),
      m_peer_server(loop(),
                    [this](const auto& request, auto responder) {
                      OnPeerRequest(request, responder);
                    }),
      m_client(loop()) {}

base::Result<base::Done> ControlTask::Listen() {
  auto readiness = m_readiness_server.Listen(m_settings.readiness);
  if (!readiness) {
    return readiness.error();
  }
  auto peers = m_peer_server.Listen(m_settings.peers);
  if (!peers) {
    return peers.error();
  }
  if (m_settings.upstream != base::Address{}) {
    auto heartbeats = m_heartbeat_server.Listen(m_settings.heartbeats);
    if (!heartbeats) {
      return heartbeats.error();
    }
  }
  return base::Done{};
}

void ControlTask::OnMessage(const ControlMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void ControlTask::OnReadinessRequest(const net::HttpServerRequest& request,
                                     const ResponderPtr& responder) {
  bool is_check = m_adapter.is_readiness_check(request);
  uint16_t status = m_ready ? net::kHttpOk : net::kHttpUnavailable;
  responder->Respond(
      {.status = is_check ? status : net::kHttpNotFound, .body = "{}"});
}

void ControlTask::OnHeartbeatRequest(const net::HttpServerRequest& request,
                                     const ResponderPtr& responder) {
  auto heartbeat = m_adapter.read_heartbeat(request);
  if (!heartbeat) {
    base::Log(base::Level::kWarning, "heartbeat_malformed",
              {{"path", request.path}, {"error", heartbeat.error().Text()}});
    Post(kPacketsService, PacketsMessage(HeartbeatMalformed{}));
    responder->Respond({.status = net::kHttpBadRequest, .body = "{}"});
    return;
  }
  uint64_t id = ++m_last_heartbeat;
  m_unjudged_heartbeats.emplace(id, responder);
  responder->SetOnClosed([this, id] { m_unjudged_heartbeats.erase(id); });
  if (!Post(kPacketsService,
            PacketsMessage(HeartbeatReceived{id, std::move(*heartbeat)}))) {
    m_unjudged_heartbeats.erase(id);
    responder->Respond({.status = net::kHttpUnavailable, .body = "{}"});
  }
}

void ControlTask::Handle(const HeartbeatJudged& m) {
  auto unjudged = m_unjudged_heartbeats.extract(m.request);
  if (!unjudged.empty()) {
    unjudged.mapped()->Respond({.status = StatusOf(m.outcome), .body = "{}"});
  }
}

void ControlTask::OnPeerRequest(const net::HttpServerRequest& request,
                                const ResponderPtr& responder) {
  if (request.path != kConfigPath) {
    responder->Respond({.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  if (m_encoded_objects.empty()) {
    m_encoded_objects = EncodeObjects(m_objects);
  }
  responder->Respond(
      {.content_type = "application/octet-stream", .body = m_encoded_objects});
}

void ControlTask::Handle(const FetchPeerConfig& m) {
  if (m_fetching_config) {
    return;
  }
  m_fetching_config = true;
  base::Address peer = m.peer;
  m_client.Start(
      {.server = peer,
       .path = kConfigPath,
       .timeout = kConfigFetchTimeout,
       .max_response_bytes = kMaxConfigBytes},
      [this, peer](const net::HttpResult& result) {
        m_fetching_config = false;
        if (result.kind != net::HttpResult::kAnswered ||
            result.status != net::kHttpOk) {
          // Not retried here: the next message from a peer with a newer
          // configuration starts another fetch.
          base::Log(base::Level::kWarning, "peer_config_failed",
                    {{"peer", peer.Text()}, {"status", result.status}});
          return;
        }
        auto objects = DecodeObjects(result.body, peer);
        if (!objects) {
          base::Log(base::Level::kError, "peer_config_refused",
                    {{"error", objects.error().Text()}});
          return;
        }
        Post(config::kConfigService,
             config::ConfigMessage(config::PeerObjects{std::move(*objects)}));
      });
}

void ControlTask::Handle(const CheckHealth& /*m*/) {
  m_client.Start({.server = m_settings.upstream,
                  .path = m_health_path,
                  .timeout = kHealthTimeout},
                 [this](const net::HttpResult& result) {
                   bool answered = result.kind == net::HttpResult::kAnswered;
                   Post(kPacketsService,
                        PacketsMessage(HealthCheckResult{answered}));
                 });
}

}  // namespace filberthollow::passthrough
