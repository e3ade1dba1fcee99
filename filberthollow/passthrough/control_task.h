// ControlTask is the control service of a pass-through balancer or agent. It
// handles HTTP, except the platform's object API and monitoring:
//
// - answers the network fabric's readiness checks,
// - receives the heartbeats of the upstream (agents only),
// - serves the configuration to peers and fetches it from them,
// - checks the health of the upstream on request.
#ifndef FILBERTHOLLOW_PASSTHROUGH_CONTROL_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_CONTROL_TASK_H_

#include <map>
#include <memory>
#include <string>

#include "filberthollow/config/adapter.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/passthrough/messages.h"
#include "filberthollow/settings/node_settings.h"

namespace filberthollow::passthrough {

class ControlTask final : public net::LoopTask<ControlMessage> {
 public:
  // Timeout of a health check. A slow but working upstream answers within it.
  static constexpr base::Millis kHealthTimeout{400};
  // Timeout for fetching the configuration from a peer. The fetch is repeated
  // for as long as the peer has a newer configuration.
  static constexpr base::Millis kConfigFetchTimeout{1000};

  ControlTask(const base::Clock& clock,
              kernel::Registry& registry,
              const settings::NodeSettings& settings,
              const config::Adapter& adapter);

  // Opens the HTTP ports. Must be called before the kernel starts. Fails with
  // the error of the first port that cannot be opened.
  base::Result<base::Done> Listen();

 protected:
  void OnStart() override {}
  void OnMessage(const ControlMessage& message) override;

 private:
  using ResponderPtr = std::shared_ptr<net::Responder>;

  void Handle(const ReadinessChanged& m) { m_ready = m.ready; }
  void Handle(const ConfigObjectsChanged& m) {
    m_objects = m.objects;
    m_encoded_objects.clear();
  }
  void Handle(const FetchPeerConfig& m);
  void Handle(const CheckHealth& m);
  void Handle(const HealthPathChanged& m) { m_health_path = m.path; }
  void Handle(const HeartbeatJudged& m);

  // Answers 200 or 503 to a readiness check and 404 to other requests.
  void OnReadinessRequest(const net::HttpServerRequest& request,
                          const ResponderPtr& responder);
  // Forwards a heartbeat to the packets service, whose judgement is the answer;
  // answers 400 if it is invalid.
  void OnHeartbeatRequest(const net::HttpServerRequest& request,
                          const ResponderPtr& responder);
  // Serves the configuration to a peer.
  void OnPeerRequest(const net::HttpServerRequest& request,
                     const ResponderPtr& responder);

  const settings::NodeSettings m_settings;
  const config::Adapter m_adapter;
  net::HttpServer m_readiness_server;
  net::HttpServer m_heartbeat_server;
  net::HttpServer m_peer_server;
  net::HttpClient m_client;
  bool m_ready = false;
  bool m_fetching_config = false;
  // Heartbeats that the packets service has not judged yet.
  std::map<uint64_t, ResponderPtr> m_unjudged_heartbeats;
  uint64_t m_last_heartbeat = 0;  // its key in m_unjudged_heartbeats
  std::vector<platform::StoredObject> m_objects;
  // Encoded form of `m_objects`; empty until a peer first requests it.
  std::string m_encoded_objects;
  std::string m_health_path = "/health";
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_CONTROL_TASK_H_
