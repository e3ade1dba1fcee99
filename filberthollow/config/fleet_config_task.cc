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
      m_watch_backoff(kFirstRetry, kLongestRetry, m_options.seed),
      m_register_backoff(kFirstRetry, kLongestRetry, m_options.seed + 1),
      m_state(m_options.read_snapshot),
      m_activation(loop(), &base::WallMillis, [this](base::Millis wall_now) {
        m_state.ActivateKeys(wall_now);
        PublishKeys();
      }) {}

void FleetConfigTask::OnStart() {
  if (m_options.watches) {
    Watch(base::Millis(0));
  }
  if (m_options.entry) {
    Register(0);
  }
}

void FleetConfigTask::OnMessage(const ConfigMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void FleetConfigTask::Handle(const NewerRevision& m) {
  if (m_behind || m.revision <= m_state.revision()) {
    return;
  }
  // The watch mostly brings the change within moments.
  m_behind = true;
  loop().After(m_options.behind_patience, [this, m] {
    m_behind = false;
    if (m.revision > m_state.revision()) {
      m_metrics.Add("config_behind_peer");
      NoteBehind(m);
      m_listeners.on_behind(m.peer);
    }
  });
}

void FleetConfigTask::NoteBehind(const NewerRevision& m) {
  if (m.revision <= m_noted_behind) {
    return;
  }
  m_noted_behind = m.revision;
  // For a process that watches it is a sign that the store is silent towards
  // this host alone.
  base::Log(m_options.watches ? Level::kWarning : Level::kInfo, "config_behind",
            {{"revision", m_state.revision()},
             {"peer", m.peer.Text()},
             {"peer_revision", m.revision},
             {"platform_reachable", m_reachable ? "yes" : "no"}});
}

void FleetConfigTask::Handle(const BalancersWanted& /*m*/) {
  if (!m_listing) {
    ListPeers();
  }
}

void FleetConfigTask::Handle(const ObjectsFound& m) {
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

void FleetConfigTask::Watch(base::Millis wait) {
  m_metrics.Add("platform_watches");
  m_store->Watch({platform::kConfigPrefix, m_watched_to, wait},
                 [this](const auto& answer) { OnWatched(answer); });
}

void FleetConfigTask::OnWatched(
    const base::Result<platform::WatchAnswer>& answer) {
  if (!answer) {
    m_metrics.Add("platform_failures");
    SetReachable(false, answer.error().Text());
    loop().After(m_watch_backoff.Next(), [this] { Watch(kWatchWait); });
    return;
  }
  SetReachable(true, "");
  m_watch_backoff.Reset();
  m_watched_to = std::max(m_watched_to, answer->revision);
  Publish(answer->complete ? m_state.ApplyAll(answer->objects, answer->revision)
                           : m_state.Apply(answer->objects));
  Watch(kWatchWait);
}

void FleetConfigTask::Publish(const ConfigChange& change) {
  for (const base::Error& error : change.refused) {
    m_metrics.Add("config_refused");
    base::Log(Level::kError, "config_refused", {{"error", error.Text()}});
  }
  if (change.keys) {
    PublishKeys();
  }
  if (change.tree) {
    base::Log(Level::kInfo, "config_in_force",
              {{"revision", m_state.revision()}});
    m_listeners.on_tree(m_state.tree());
  }
  if (change.keys || change.tree) {
    std::vector<platform::StoredObject> held;
    for (const auto& [name, object] : m_state.objects()) {
      held.push_back(object);
    }
    m_listeners.on_objects(held);
  }
}

void FleetConfigTask::PublishKeys() {
  m_listeners.on_keys(m_state.keys());
  m_activation.Arm(m_state.keys());
}

void FleetConfigTask::Register(uint64_t if_version) {
  m_metrics.Add("platform_writes");
  std::string object = platform::kBootstrapPrefix + m_options.entry->name;
  auto retry = [this](uint64_t version) {
    loop().After(m_register_backoff.Next(),
                 [this, version] { Register(version); });
  };
  m_store->Write(
      object, if_version, BootstrapText(*m_options.entry),
      [this, retry, if_version](const auto& answer) {
        if (answer && answer->kind == WriteAnswer::kWritten) {
          ListPeers();
        } else if (answer && answer->kind == WriteAnswer::kConflict) {
          // An earlier run's entry, or this write's own effect after
          // its answer was lost: replace what is there.
          Register(answer->version);
        } else {
          retry(if_version);
        }
      });
}

void FleetConfigTask::ListPeers() {
  m_metrics.Add("platform_reads");
  m_listing = true;
  m_store->Watch(
      {platform::kBootstrapPrefix, 0, base::Millis(0)},
      [this](const auto& answer) {
        m_listing = false;
        if (!answer) {
          m_listing = true;
          loop().After(m_register_backoff.Next(), [this] { ListPeers(); });
          return;
        }
        std::vector<base::Address> peers;
        for (const auto& entry : ParseBootstrapList(answer->objects)) {
          peers.push_back(entry.control);
        }
        m_listeners.on_peers(peers);
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
