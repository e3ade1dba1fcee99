#include "filberthollow/config/write_back.h"

#include <utility>

#include "filberthollow/base/log.h"

namespace filberthollow::config {

using platform::WriteAnswer;

WriteBack::WriteBack(platform::ObjectStore& store,
                     Host host,
                     metrics::Metrics& metrics,
                     uint64_t seed)
    : m_store(store),
      m_host(std::move(host)),
      m_metrics(metrics),
      m_seed(seed) {}

void WriteBack::Start(const LostObject& lost, base::Millis delay) {
  const std::string& name = lost.held.name;
  auto pending = m_pending.find(name);
  if (pending != m_pending.end()) {
    pending->second.lost = lost;
    return;
  }
  m_pending.emplace(
      name, Pending{lost, Backoff(kInitialRetryDelay, kMaxRetryDelay, m_seed)});
  m_host.after(delay, [this, name] { Write(name); });
}

void WriteBack::Write(const std::string& name) {
  LostObject lost = m_pending.at(name).lost;
  if (!m_host.still_lost(lost)) {
    m_pending.erase(name);
    return;
  }
  m_metrics.Add("platform_writes");
  m_store.Write(name, lost.store_version, lost.held.value.value_or(""),
                [this, lost](const auto& answer) { OnAnswer(lost, answer); });
}

void WriteBack::OnAnswer(const LostObject& lost,
                         const base::Result<WriteAnswer>& answer) {
  const std::string& name = lost.held.name;
  bool written = answer && answer->kind == WriteAnswer::kWritten;
  if (written) {
    m_metrics.Add("config_written_back");
    base::Log(base::Level::kInfo, "config_written_back", {{"object", name}});
  }
  Pending& pending = m_pending.at(name);
  bool over = written || (answer && answer->kind == WriteAnswer::kConflict);
  bool reported_again = pending.lost != lost;
  if (over && !reported_again) {
    m_pending.erase(name);
    return;
  }
  m_host.after(pending.backoff.Next(), [this, name] { Write(name); });
}

}  // namespace filberthollow::config
