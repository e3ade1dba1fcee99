// The config service of a process: it watches the configuration at the
// platform, keeps the newest, and enters a balancer into the list of bootstrap
// addresses. One that does not watch learns the configuration from peers.
//
// While the platform is down, what is in force stays in force. Calls are made
// again with jittered backoff.
#ifndef FILBERTHOLLOW_CONFIG_FLEET_CONFIG_TASK_H_
#define FILBERTHOLLOW_CONFIG_FLEET_CONFIG_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/config/backoff.h"
#include "filberthollow/config/bootstrap.h"
#include "filberthollow/config/config.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/config/key_activation.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// ConfigListeners says whom to tell of changes; the functions post messages.
struct ConfigListeners {
  std::function<void(const flow::KeyRing&)> on_keys;
  std::function<void(const ConfigSnapshotPtr&)> on_snapshot;
  std::function<void(const std::vector<base::Address>&)> on_balancers;
  // Called with every object held whenever any changed.
  std::function<void(const std::vector<platform::StoredObject>&)> on_objects;
  // Called when a peer holds a newer configuration than the watch has brought.
  std::function<void(base::Address)> on_newer_peer;
};

// StoreFactory creates the store on the task's HTTP client.
using StoreFactory =
    std::function<std::unique_ptr<platform::ObjectStore>(net::HttpClient&)>;

struct FleetConfigOptions {
  StoreFactory store;
  std::optional<BootstrapEntry> bootstrap_entry;  // of a balancer
  bool watch_store = true;
  // How long a peer may be ahead before it is asked.
  base::Millis peer_fetch_delay{1500};
  SnapshotReader read_snapshot = &settings::ParseSnapshot;
  uint64_t seed = 0;  // spreads the retries
};

class FleetConfigTask final : public net::LoopTask<ConfigMessage> {
 public:
  static constexpr base::Millis kWatchWait{30'000};
  static constexpr base::Millis kInitialRetryDelay{500};
  static constexpr base::Millis kMaxRetryDelay{10'000};
  FleetConfigTask(const base::Clock& clock,
                  kernel::Registry& registry,
                  FleetConfigOptions options,
                  ConfigListeners listeners);

 protected:
  void OnStart() override;
  void OnMessage(const ConfigMessage& message) override;

 private:
  void Handle(const NewerRevision& m);
  void Handle(const NewerKeys& /*m*/) {}
  void Handle(const RefreshBalancers& m);
  void Handle(const PeerObjects& m);
  void Handle(const admin::ReportQuery& m);

  // Logs, once a revision, that a peer holds a newer configuration.
  void LogNewerPeer(const NewerRevision& m);
  void Watch(base::Millis wait);
  void OnWatched(const base::Result<platform::WatchAnswer>& answer);
  void Publish(const ConfigChange& change);
  // Publishes the keys, and again when the next one becomes active.
  void PublishKeys();
  void WriteBootstrapEntry(uint64_t if_version);
  void ListBalancers();
  void SetReachable(bool reachable, const std::string& why);

  net::HttpClient m_client;
  const FleetConfigOptions m_options;
  const std::unique_ptr<platform::ObjectStore> m_store;
  const ConfigListeners m_listeners;
  Backoff m_watch_backoff;
  Backoff m_bootstrap_backoff;
  ConfigState m_state;
  KeyActivationTimer m_activation;
  uint64_t m_watched_revision =
      0;  // revision up to which the watch has told all
  uint64_t m_logged_peer_revision =
      0;  // newest revision at a peer that was logged
  bool m_reachable = true;
  bool m_peer_check_pending = false;  // a check is due
  bool m_listing_balancers = false;   // the bootstrap addresses are being read
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_FLEET_CONFIG_TASK_H_
