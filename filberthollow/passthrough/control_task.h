// The control service of a passed-through balancer or agent: everything that is
// spoken over HTTP, but for the platform's object API.
//
// It answers the fabric's readiness checks, takes the heartbeats of the
// upstream, hands the configuration to peers and reads it from them, and checks
// the upstream's health when asked.
#ifndef FILBERTHOLLOW_PASSTHROUGH_CONTROL_TASK_H_
#define FILBERTHOLLOW_PASSTHROUGH_CONTROL_TASK_H_

#include <memory>
#include <string>

#include "filberthollow/net/http_client.h"
#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/passthrough/adapter.h"
#include "filberthollow/passthrough/messages.h"
#include "filberthollow/passthrough/node_file.h"

namespace filberthollow::passthrough {

class ControlTask final : public net::LoopTask<ControlMessage> {
 public:
  // kHealthTimeout bounds a health check; an upstream that is only slow
  // answers within it.
  static constexpr base::Millis kHealthTimeout{400};
  // kConfigFetchTimeout bounds the reading of the configuration from a peer; it
  // is asked again as long as it is ahead.
  static constexpr base::Millis kConfigFetchTimeout{1000};

  ControlTask(const base::Clock& clock,
              kernel::Registry& registry,
              const NodeSettings& settings,
              const Adapter& adapter);

  // Listen opens the ports; call it before the kernel starts.
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

  void OnReadinessRequest(const net::HttpServerRequest& request,
                          const ResponderPtr& responder);
  void OnHeartbeatRequest(const net::HttpServerRequest& request,
                          const ResponderPtr& responder);
  void OnPeerRequest(const net::HttpServerRequest& request,
                     const ResponderPtr& responder);

  const NodeSettings m_settings;
  const Adapter m_adapter;
  net::HttpServer m_readiness_server;
  net::HttpServer m_heartbeat_server;
  net::HttpServer m_peer_server;
  net::HttpClient m_client;
  bool m_ready = false;
  bool m_fetching_config = false;
  std::vector<platform::StoredObject> m_objects;
  std::string m_encoded_objects;  // made when a peer first asks
  std::string m_health_path = "/health";
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_CONTROL_TASK_H_
