// AgentConfigTask is the config service of an agent. At start it reads the keys
// and the list of balancers from the platform. It reads the keys again when a
// balancer uses a newer key epoch, and the list when too few of the known
// balancers answer. It keeps the held keys if a store that has come back from a
// copy returns older ones. The settings of the agent's target are not read
// here: balancers send them with their answers to heartbeats.
#ifndef FILBERTHOLLOW_CONFIG_AGENT_CONFIG_TASK_H_
#define FILBERTHOLLOW_CONFIG_AGENT_CONFIG_TASK_H_

#include <memory>
#include <random>

#include "filberthollow/config/fleet_config_task.h"
#include "filberthollow/config/key_activation.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

class AgentConfigTask final : public net::LoopTask<ConfigMessage> {
 public:
  // Upper bound of the random delay before the keys are read again. It spreads
  // the reads of many agents over time after a key rotation.
  static constexpr base::Millis kMaxKeyReadJitter{3000};
  // Minimum delay before the balancers are listed again on request. A random
  // delay of up to the same length is added.
  static constexpr base::Millis kMinListDelay{2000};

  AgentConfigTask(const base::Clock& clock,
                  kernel::Registry& registry,
                  const StoreFactory& store,
                  ConfigListeners listeners,
                  uint64_t seed);  // for the random delays

 protected:
  void OnStart() override;
  void OnMessage(const ConfigMessage& message) override;

 private:
  void Handle(const NewerRevision& /*m*/) {}
  void Handle(const NewerKeys& m);
  void Handle(const RefreshBalancers& m);
  void Handle(const PeerObjects& /*m*/) {}
  void Handle(const FleetSizeChanged& /*m*/) {}
  void Handle(const admin::ReportQuery& m);
  // Reads the keys and publishes them unless they are older than those held.
  // Retries until it succeeds.
  void ReadKeys();
  // Passes the keys to the listeners and sets the timer that publishes them
  // again when the next key becomes active.
  void PublishKeys();
  // Reads the list of balancers and passes it to the listeners. Retries until
  // the list has an entry.
  void ListBalancers();

  net::HttpClient m_client;
  const std::unique_ptr<platform::ObjectStore> m_store;
  const ConfigListeners m_listeners;
  Backoff m_backoff;
  std::mt19937_64 m_random;
  flow::KeyRing m_keys;
  platform::StoredObject m_keys_object;  // from which m_keys was read
  KeyActivationTimer m_activation;
  // Whether a read of the keys is scheduled or in progress.
  bool m_reading_keys = false;
  // Whether a read of the list of balancers is scheduled or in progress.
  bool m_listing_balancers = false;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_AGENT_CONFIG_TASK_H_
