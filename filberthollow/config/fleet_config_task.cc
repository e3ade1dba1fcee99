#include "filberthollow/config/fleet_config_task.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/base/log.h"

namespace filberthollow::config {

using base::Level;
using platform::WriteAnswer;

FleetConfigTask::FleetConfigTask(const base::Clock& clock,
                                 kernel::Registry& registry,
                                 FleetConfigOptions options,
                                 ConfigListeners listeners)
    : LoopTask(clock, registry, kConfigService),
      m_client(loop()),
      m_options(std::move(options)),
      m_store(m_options.store(m_client)),
      m_listeners(std::move(listeners)),
      m_bootstrap_backoff(kInitialRetryDelay,
                          kMaxRetryDelay,
                          m_options.seed + 1),
      m_state(m_options.read_snapshot),
      m_activation(loop(),
                   &base::WallMillis,
                   [this](base::Millis wall_now) {
                     m_state.ActivateKeys(wall_now);
                     PublishKeys();
                   }),
      m_watch(loop(),
              *m_store,
              m_metrics,
              {.prefix = platform::kConfigPrefix,
               .counters = {.calls = "platform_watches",
                            .failed = "platform_failures",
                            .overdue = "platform_watches_overdue"},
               .deadline = m_options.deadline,
               .store_reads_per_second = m_options.store_reads_per_second,
               .seed = m_options.seed,
               .wall_clock = m_options.wall_clock},
              {.known_revision = [this] { return m_watched_revision; },
               .has_state = [this] { return HasConfiguration(); },
               .on_answer =
                   [this](const platform::WatchAnswer& answer) {
                     OnWatched(answer);
                     return AnswerEffect::kApplied;
                   },
               .on_reachable =
                   [this](bool reachable, const std::string& why) {
                     SetReachable(reachable, why);
                   }}),
      m_write_back(*m_store,
                   {[this](base::Millis delay, std::function<void()> callback) {
                      loop().After(delay, std::move(callback));
                    },
                    [this](const LostObject& lost) {
                      return m_state.IsStillLost(lost);
                    }},
                   m_metrics,
                   m_options.seed + 2) {}

void FleetConfigTask::OnStart() {
  if (m_options.watch_store) {
    m_watch.Start();
  }
  if (m_options.bootstrap_entry) {
    WriteBootstrapEntry(0);
  }
}

void FleetConfigTask::OnMessage(const ConfigMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void FleetConfigTask::Handle(const NewerRevision& m) {
  if (m_peer_check_pending || m.revision <= m_state.revision()) {
    return;
  }
  // Usually the watch delivers the same change shortly afterwards, and the peer
  // need not be asked.
  m_peer_check_pending = true;
  base::Millis delay =
      HasConfiguration() ? m_options.peer_fetch_delay : base::Millis(0);
  loop().After(delay, [this, m] {
    m_peer_check_pending = false;
    if (m.revision > m_state.revision()) {
      m_metrics.Add("config_behind_peer");
      LogNewerPeer(m);
      m_listeners.on_newer_peer(m.peer);
    }
  });
}

void FleetConfigTask::LogNewerPeer(const NewerRevision& m) {
  if (m.revision <= m_logged_peer_revision) {
    return;
  }
  m_logged_peer_revision = m.revision;
  // A process that watches should have received the change itself. If it has
  // not, the store may be failing to answer this host only.
  base::Log(m_options.watch_store ? Level::kWarning : Level::kInfo,
            "config_behind",
            {{"revision", m_state.revision()},
             {"peer", m.peer.Text()},
             {"peer_revision", m.revision},
             {"platform_reachable", m_reachable ? "yes" : "no"}});
}

void FleetConfigTask::Handle(const RefreshBalancers& /*m*/) {
  if (!m_listing_balancers) {
    ListBalancers();
  }
}

void FleetConfigTask::Handle(const PeerObjects& m) {
  m_metrics.Add("config_from_peer");
  Publish(m_state.Apply(m.objects));
}

void FleetConfigTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("config_revision", m_state.revision());
  nlohmann::json status{{"revision", m_state.revision()},
                        {"platform_reachable", m_reachable},
                        {"key_epoch", m_state.keys().newest_epoch()}};
  m.reply_to->Post({m.query_id, name(), m_metrics.Report(), status.dump()});
}

void FleetConfigTask::OnWatched(const platform::WatchAnswer& answer) {
  LogNewGeneration(answer.revision);
  RestoreBootstrapEntry(answer.revision);
  m_watched_revision = std::max(m_watched_revision, answer.revision);
  m_metrics.Add("platform_objects_unreadable", answer.unreadable);
  // An object that is missing may be the one that could not be read, so it is
  // not taken as removed.
  Publish(answer.complete && answer.unreadable == 0
              ? m_state.ApplyFullState(answer.objects, answer.revision)
              : m_state.Apply(answer.objects));
}

void FleetConfigTask::LogNewGeneration(uint64_t revision) {
  uint64_t generation = platform::GenerationOf(revision);
  if (m_watched_revision > 0 &&
      generation > platform::GenerationOf(m_watched_revision)) {
    m_metrics.Add("platform_restored");
    base::Log(Level::kWarning, "platform_restored",
              {{"generation", generation},
               {"revision", platform::RevisionOf(revision)},
               {"revision_before", platform::RevisionOf(m_watched_revision)}});
  }
}

void FleetConfigTask::Publish(const ConfigChange& change) {
  for (const base::Error& error : change.refused) {
    m_metrics.Add("config_refused");
    base::Log(Level::kError, "config_refused", {{"error", error.Text()}});
  }
  if (change.keys) {
    PublishKeys();
  }
  if (change.snapshot) {
    base::Log(Level::kInfo, "config_in_force",
              {{"revision", m_state.revision()}});
    m_listeners.on_snapshot(m_state.snapshot());
  }
  if (change.keys || change.snapshot) {
    std::vector<platform::StoredObject> current_objects;
    for (const auto& [name, object] : m_state.objects()) {
      current_objects.push_back(object);
    }
    m_listeners.on_objects(current_objects);
  }
  if (m_options.watch_store) {
    for (const LostObject& lost : change.lost) {
      m_write_back.Start(lost, m_watch.Spread());
    }
  }
}

void FleetConfigTask::PublishKeys() {
  m_listeners.on_keys(m_state.keys());
  m_activation.Arm(m_state.keys());
}

void FleetConfigTask::RestoreBootstrapEntry(uint64_t revision) {
  bool lost =
      m_entry_version > 0 && platform::GenerationOf(revision) >
                                 platform::GenerationOf(m_entry_version);
  if (lost) {
    m_entry_version = 0;
    loop().After(m_watch.Spread(), [this] { WriteBootstrapEntry(0); });
  }
}

void FleetConfigTask::WriteBootstrapEntry(uint64_t if_version) {
  m_metrics.Add("platform_writes");
  std::string object =
      platform::kBootstrapPrefix + m_options.bootstrap_entry->name;
  auto retry = [this](uint64_t version) {
    loop().After(m_bootstrap_backoff.Next(),
                 [this, version] { WriteBootstrapEntry(version); });
  };
  m_store->Write(
      object, if_version, BootstrapText(*m_options.bootstrap_entry),
      [this, retry, if_version](const auto& answer) {
        if (answer && answer->kind == WriteAnswer::kWritten) {
          m_entry_version = answer->version;
          ListBalancers();
        } else if (answer && answer->kind == WriteAnswer::kConflict) {
          // The entry is from an earlier run of this process, or from an
          // earlier attempt whose answer was lost. Overwrites it in both cases.
          WriteBootstrapEntry(answer->version);
        } else {
          retry(if_version);
        }
      });
}

void FleetConfigTask::ListBalancers() {
  m_metrics.Add("platform_reads");
  m_listing_balancers = true;
  m_store->Watch(
      {platform::kBootstrapPrefix, 0, base::Millis(0)},
      [this](const auto& answer) {
        m_listing_balancers = false;
        if (!answer) {
          m_listing_balancers = true;
          loop().After(m_bootstrap_backoff.Next(), [this] { ListBalancers(); });
          return;
        }
        std::vector<base::Address> balancers;
        for (const auto& entry : ParseBootstrapList(answer->objects)) {
          balancers.push_back(entry.control);
        }
        m_listeners.on_balancers(balancers);
      });
}

void FleetConfigTask::SetReachable(bool reachable, const std::string& why) {
  if (reachable == m_reachable) {
    return;
  }
  m_reachable = reachable;
  if (reachable) {
    base::Log(Level::kInfo, "platform_reachable");
  } else {
    base::Log(Level::kWarning, "platform_unreachable", {{"error", why}});
  }
}

}  // namespace filberthollow::config
