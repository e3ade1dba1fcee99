#include "filberthollow/config/agent_config_task.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/config/content_order.h"

namespace filberthollow::config {

AgentConfigTask::AgentConfigTask(const base::Clock& clock,
                                 kernel::Registry& registry,
                                 const StoreFactory& store,
                                 ConfigListeners listeners,
                                 uint64_t seed)
    : LoopTask(clock, registry, kConfigService),
      m_client(loop()),
      m_store(store(m_client)),
      m_listeners(std::move(listeners)),
      m_backoff(FleetConfigTask::kInitialRetryDelay,
                FleetConfigTask::kMaxRetryDelay,
                seed),
      m_random(seed),
      m_activation(loop(), &base::WallMillis, [this](base::Millis wall_now) {
        m_keys = m_keys.At(wall_now);
        PublishKeys();
      }) {}

void AgentConfigTask::OnStart() {
  ReadKeys();
  ListBalancers();
}

void AgentConfigTask::OnMessage(const ConfigMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void AgentConfigTask::Handle(const NewerKeys& m) {
  if (m.epoch <= m_keys.newest_epoch() || m_reading_keys) {
    return;
  }
  m_reading_keys = true;
  std::uniform_int_distribution<int64_t> spread(0, kMaxKeyReadJitter.count());
  loop().After(base::Millis(spread(m_random)), [this] { ReadKeys(); });
}

void AgentConfigTask::Handle(const RefreshBalancers& /*m*/) {
  if (m_listing_balancers) {
    return;
  }
  m_listing_balancers = true;
  std::uniform_int_distribution<int64_t> jitter(0, kMinListDelay.count());
  loop().After(kMinListDelay + base::Millis(jitter(m_random)),
               [this] { ListBalancers(); });
}

void AgentConfigTask::Handle(const admin::ReportQuery& m) {
  nlohmann::json status{{"key_epoch", m_keys.newest_epoch()},
                        {"signing_epoch", m_keys.signing_epoch()}};
  m.reply_to->Post({m.query_id, name(), m_metrics.Report(), status.dump()});
}

void AgentConfigTask::ReadKeys() {
  m_reading_keys = true;
  m_metrics.Add("platform_reads");
  m_store->Read(platform::kKeysObject, [this](const auto& object) {
    auto keys =
        object ? ParseKeyRing(object->value.value_or(""), base::WallMillis())
               : base::Result<flow::KeyRing>(object.error());
    if (!keys) {
      m_metrics.Add("platform_failures");
      loop().After(m_backoff.Next(), [this] { ReadKeys(); });
      return;
    }
    m_reading_keys = false;
    m_backoff.Reset();
    if (CompareObjects(*object, m_keys_object) != ContentOrder::kOlder) {
      m_keys_object = *object;
      m_keys = *keys;
      PublishKeys();
    }
  });
}

void AgentConfigTask::PublishKeys() {
  m_listeners.on_keys(m_keys);
  m_activation.Arm(m_keys);
}

void AgentConfigTask::ListBalancers() {
  m_listing_balancers = true;
  m_metrics.Add("platform_reads");
  m_store->Watch(
      {platform::kBootstrapPrefix, 0, base::Millis(0)},
      [this](const auto& answer) {
        std::vector<base::Address> balancers;
        if (answer) {
          for (const auto& entry : ParseBootstrapList(answer->objects)) {
            balancers.push_back(entry.control);
          }
        }
        if (balancers.empty()) {
          loop().After(m_backoff.Next(), [this] { ListBalancers(); });
          return;
        }
        m_listing_balancers = false;
        m_backoff.Reset();
        m_listeners.on_balancers(balancers);
      });
}

}  // namespace filberthollow::config
