#include "filberthollow/passthrough/control_task.h"

#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/passthrough/peer_config.h"

namespace filberthollow::passthrough {
namespace {

constexpr const char* kConfigPath = "/config";

}  // namespace

ControlTask::ControlTask(const base::Clock& clock,
                         kernel::Registry& registry,
                         const NodeFile& file,
                         const Adapter& adapter)
    : LoopTask(clock, registry, kControlService),
      m_file(file),
      m_adapter(adapter),
      m_readiness(loop(),
                  [this](const auto& request, auto responder) {
                    OnReadiness(request, responder);
                  }),
      m_announcements(loop(),
                      [this](const auto& request, auto responder) {
                        OnAnnouncement(request, responder);
                      }),
      m_peers(loop(),
              [this](const auto& request, auto responder) {
                OnPeer(request, responder);
              }),
      m_client(loop()) {}

base::Result<base::Done> ControlTask::Listen() {
  auto readiness = m_readiness.Listen(m_file.readiness);
  if (!readiness) {
    return readiness.error();
  }
  auto peers = m_peers.Listen(m_file.peers);
  if (!peers) {
    return peers.error();
  }
  if (m_file.upstream != base::Address{}) {
    auto announcements = m_announcements.Listen(m_file.announcements);
    if (!announcements) {
      return announcements.error();
    }
  }
  return base::Done{};
}

void ControlTask::OnMessage(const ControlMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void ControlTask::OnReadiness(const net::HttpServerRequest& request,
                              const ResponderPtr& responder) {
  bool asked = m_adapter.is_readiness_check(request);
  uint16_t status = m_ready ? net::kHttpOk : net::kHttpUnavailable;
  responder->Answer(
      {.status = asked ? status : net::kHttpNotFound, .body = "{}"});
}

void ControlTask::OnAnnouncement(const net::HttpServerRequest& request,
                                 const ResponderPtr& responder) {
  auto beat = m_adapter.read_beat(request);
  if (!beat) {
    responder->Answer({.status = net::kHttpBadRequest, .body = "{}"});
    return;
  }
  Post(kPacketsService, PacketsMessage(BeatHeard{std::move(*beat)}));
  responder->Answer({.body = "{}"});
}

void ControlTask::OnPeer(const net::HttpServerRequest& request,
                         const ResponderPtr& responder) {
  if (request.path != kConfigPath) {
    responder->Answer({.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  if (m_encoded_objects.empty()) {
    m_encoded_objects = EncodeObjects(m_objects);
  }
  responder->Answer(
      {.content_type = "application/octet-stream", .body = m_encoded_objects});
}

void ControlTask::Handle(const CatchUp& m) {
  if (m_catching_up) {
    return;
  }
  m_catching_up = true;
  base::Address peer = m.peer;
  m_client.Start(
      {.server = peer,
       .path = kConfigPath,
       .timeout = kCatchUpTimeout,
       .max_answer_bytes = kMaxConfigBytes},
      [this, peer](const net::HttpResult& result) {
        m_catching_up = false;
        if (result.kind != net::HttpResult::kAnswered ||
            result.status != net::kHttpOk) {
          // The peer's next message asks again.
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
             config::ConfigMessage(config::ObjectsFound{std::move(*objects)}));
      });
}

void ControlTask::Handle(const CheckHealth& /*m*/) {
  m_client.Start({.server = m_file.upstream,
                  .path = m_health_path,
                  .timeout = kHealthTimeout},
                 [this](const net::HttpResult& result) {
                   bool answered = result.kind == net::HttpResult::kAnswered;
                   Post(kPacketsService,
                        PacketsMessage(HealthChecked{answered}));
                 });
}

}  // namespace filberthollow::passthrough
