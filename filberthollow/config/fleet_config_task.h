// FleetConfigTask is the config service of a process that needs the whole
// configuration. It keeps the newest version of the configuration and passes
// changes to listeners. It learns of changes by watching the platform's object
// store, and from peers if the process does not watch or the watch is late. A
// process that watches writes back what the store has lost; see WriteBack. For
// a balancer it also writes the bootstrap entry, again if the store has come
// back from a copy.
//
// While the platform is unreachable, the last known configuration stays in use.
// Failed and overdue watches are repeated, soon if the process has no
// configuration yet; see StoreWatch. Such a process also asks a peer that has
// one at once.
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
#include "filberthollow/config/store_watch.h"
#include "filberthollow/config/write_back.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// Callbacks for changes. They run on the thread of the config task, so they
// must not block: they post messages to other tasks.
struct ConfigListeners {
  // Called when the keys change or another key becomes active.
  std::function<void(const flow::KeyRing&)> on_keys;
  // Called when the settings tree or the routes change. AgentConfigTask does
  // not call it.
  std::function<void(const ConfigSnapshotPtr&)> on_snapshot;
  // Called with the control addresses of the balancers that have a bootstrap
  // entry, each time the entries are read.
  std::function<void(const std::vector<base::Address>&)> on_balancers;
  // Called with the newest version of every object when the keys, the settings
  // tree or the routes change. May be null in AgentConfigTask.
  std::function<void(const std::vector<platform::StoredObject>&)> on_objects;
  // Called with the address of a peer that has a newer configuration, once
  // FleetConfigOptions::peer_fetch_delay has passed without an update. May be
  // null in AgentConfigTask.
  std::function<void(base::Address)> on_newer_peer;
};

// Creates the object store. Its calls use the task's HTTP client.
using StoreFactory =
    std::function<std::unique_ptr<platform::ObjectStore>(net::HttpClient&)>;

struct FleetConfigOptions {
  StoreFactory store;
  // The entry to write at the platform. Set for balancers only.
  std::optional<BootstrapEntry> bootstrap_entry;
  // Whether to watch the configuration at the platform.
  bool watch_store = true;
  // How long to wait for the watch to deliver a newer revision that a peer has,
  // before ConfigListeners::on_newer_peer is called. Does not apply while this
  // process has no configuration.
  base::Millis peer_fetch_delay{1500};
  // Time within which a change must be in force everywhere.
  base::Millis deadline{5000};
  // The rate of reads that the store grants to the whole fleet.
  uint32_t store_reads_per_second = 2000;
  SnapshotReader read_snapshot = &settings::ParseSnapshot;
  uint64_t seed = 0;  // of the jitter of retries
  std::function<base::Millis()> wall_clock = &base::WallMillis;
};

class FleetConfigTask final : public net::LoopTask<ConfigMessage> {
 public:
  // Limits of the exponential backoff of failed calls for the bootstrap
  // entries.
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
  void Handle(const FleetSizeChanged& m) {
    m_watch.SetFleet(m.balancers, m.turn);
  }
  void Handle(const admin::ReportQuery& m);

  // Returns whether any configuration is in force.
  bool HasConfiguration() const { return m_state.revision() > 0; }
  // Logs that a peer has a newer configuration, once per revision.
  void LogNewerPeer(const NewerRevision& m);
  void OnWatched(const platform::WatchAnswer& answer);
  // Logs that the store has come back from a copy, if `revision` is the first
  // of a new generation.
  void LogNewGeneration(uint64_t revision);
  // Logs the errors in `change`, calls the listeners of what changed, and
  // writes back what the store has lost.
  void Publish(const ConfigChange& change);
  // Passes the keys to the listeners and sets the timer that publishes them
  // again when the next key becomes active.
  void PublishKeys();
  // Writes the bootstrap entry again if the store, now at `revision`, is of a
  // later generation than the one in which it was written.
  void RestoreBootstrapEntry(uint64_t revision);
  // Writes the bootstrap entry if its version at the platform is `if_version`
  // (0: it does not exist), then lists the balancers. Retries until it
  // succeeds.
  void WriteBootstrapEntry(uint64_t if_version);
  // Reads the bootstrap entries of all balancers. Retries until it succeeds.
  void ListBalancers();
  // Records whether the platform is reachable, and logs changes. `why` is the
  // error if it is not.
  void SetReachable(bool reachable, const std::string& why);

  net::HttpClient m_client;
  const FleetConfigOptions m_options;
  const std::unique_ptr<platform::ObjectStore> m_store;
  const ConfigListeners m_listeners;
  Backoff m_bootstrap_backoff;
  ConfigState m_state;
  KeyActivationTimer m_activation;
  // Revision up to which the watch has delivered all changes.
  uint64_t m_watched_revision = 0;
  // Version of the bootstrap entry at the platform; 0 until it is written.
  uint64_t m_entry_version = 0;
  // Newest revision of a peer that was logged.
  uint64_t m_logged_peer_revision = 0;
  // Whether the last watch was answered in time. Stays true in a process that
  // does not watch.
  bool m_reachable = true;
  // Whether the timer runs that checks for a newer revision at a peer.
  bool m_peer_check_pending = false;
  // Whether the bootstrap entries are being read or a retry is scheduled.
  bool m_listing_balancers = false;
  metrics::Metrics m_metrics;
  StoreWatch m_watch;
  WriteBack m_write_back;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_FLEET_CONFIG_TASK_H_
