#include "filberthollow/passthrough/settings_watch.h"

#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/passthrough/messages.h"

namespace filberthollow::passthrough {

using base::Level;

SettingsWatch::SettingsWatch(kernel::Registry& registry,
                             const config::Adapter& adapter,
                             settings::NodeSettings settings)
    : m_registry(registry),
      m_adapter(adapter),
      m_settings(std::move(settings)) {}

void SettingsWatch::Check() {
  auto settings = m_adapter.read_settings();
  std::string error = settings ? "" : settings.error().Text();
  if (error != m_last_error && !error.empty()) {
    base::Log(Level::kError, "settings_refused", {{"error", error}});
  }
  m_last_error = std::move(error);
  if (!settings || *settings == m_settings) {
    return;
  }
  settings::NodeSettings applied = m_settings;
  applied.seeds = settings->seeds;
  applied.stop_grace = settings->stop_grace;
  base::Log(Level::kInfo, "settings_changed",
            {{"seeds", settings->seeds.size()},
             {"needs_restart", applied == *settings ? "no" : "yes"}});
  m_settings = std::move(*settings);
  m_registry.Post(kPacketsService,
                  PacketsMessage(BalancersFound{m_settings.seeds}));
}

}  // namespace filberthollow::passthrough
