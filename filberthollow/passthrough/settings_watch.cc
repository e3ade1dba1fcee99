#include "filberthollow/passthrough/settings_watch.h"

#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/passthrough/messages.h"

namespace filberthollow::passthrough {

using base::Level;

SettingsWatch::SettingsWatch(kernel::Registry& registry,
                             const Adapter& adapter,
                             NodeFile file)
    : m_registry(registry), m_adapter(adapter), m_file(std::move(file)) {}

void SettingsWatch::Check() {
  auto file = m_adapter.read_settings();
  std::string refused = file ? "" : file.error().Text();
  if (refused != m_refused && !refused.empty()) {
    base::Log(Level::kError, "settings_refused", {{"error", refused}});
  }
  m_refused = std::move(refused);
  if (!file || *file == m_file) {
    return;
  }
  NodeFile usable = m_file;
  usable.seeds = file->seeds;
  usable.stop_grace = file->stop_grace;
  base::Log(Level::kInfo, "settings_changed",
            {{"seeds", file->seeds.size()},
             {"needs_restart", usable == *file ? "no" : "yes"}});
  m_file = std::move(*file);
  m_registry.Post(kPacketsService, PacketsMessage(PeersFound{m_file.seeds}));
}

}  // namespace filberthollow::passthrough
