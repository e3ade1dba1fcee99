// The config service of an agent: it reads the keys and the bootstrap addresses
// at the platform, once, and the keys again when a balancer uses newer ones.
// The target's settings come from balancers, in answer to heartbeats.
#ifndef FILBERTHOLLOW_CONFIG_AGENT_CONFIG_TASK_H_
#define FILBERTHOLLOW_CONFIG_AGENT_CONFIG_TASK_H_

#include "filberthollow/config/fleet_config_task.h"
#include "filberthollow/config/key_activation.h"
#include "filberthollow/platform/http_object_store.h"

namespace filberthollow::config {

class AgentConfigTask final : public net::LoopTask<ConfigMessage> {
 public:
  // kMaxKeyReadJitter spreads the reads of many agents after a change of keys.
  static constexpr base::Millis kMaxKeyReadJitter{3000};
  // kMinListInterval is the least time between two lists of the balancers.
  static constexpr base::Millis kMinListInterval{2000};

  AgentConfigTask(const base::Clock& clock,
                  kernel::Registry& registry,
                  base::Address platform,
                  ConfigListeners listeners,
                  uint64_t seed);

 protected:
  void OnStart() override;
  void OnMessage(const ConfigMessage& message) override;

 private:
  void Handle(const NewerRevision& /*m*/) {}
  void Handle(const NewerKeys& m);
  void Handle(const RefreshBalancers& m);
  void Handle(const PeerObjects& /*m*/) {}
  void Handle(const admin::ReportQuery& m);
  void ReadKeys();
  // Publishes the keys, and again when the next one becomes active.
  void PublishKeys();
  void ListBalancers();

  net::HttpClient m_client;
  platform::HttpObjectStore m_store;
  const ConfigListeners m_listeners;
  Backoff m_backoff;
  std::mt19937_64 m_random;
  flow::KeyRing m_keys;
  KeyActivationTimer m_activation;
  bool m_reading_keys = false;
  bool m_listing_balancers = false;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_AGENT_CONFIG_TASK_H_
