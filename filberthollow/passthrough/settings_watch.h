// SettingsWatch polls the settings of a pass-through process and applies
// changes while the process runs.
//
//   SettingsWatch watch(registry, adapter, settings);
//   while (...) {
//     WaitForWakeup(SettingsWatch::kInterval.count());
//     watch.Check();
//   }
#ifndef FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_
#define FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_

#include <string>

#include "filberthollow/config/adapter.h"
#include "filberthollow/kernel/registry.h"
#include "filberthollow/settings/node_settings.h"

namespace filberthollow::passthrough {

// For use on the main thread only.
class SettingsWatch {
 public:
  // How often Check() is to be called. The settings may change without a
  // signal, and a process whose seeds are all gone stays isolated until it
  // reads new ones.
  static constexpr base::Millis kInterval{1000};

  // `settings` are those that the process was started with. `registry` and
  // `adapter` must outlive this object.
  SettingsWatch(kernel::Registry& registry,
                const config::Adapter& adapter,
                settings::NodeSettings settings);

  // Reads the settings. If they have changed, posts the seeds to the packets
  // service and updates settings(). Changes other than to the seeds and the
  // stop grace period take effect only after a restart, which is logged. If
  // reading fails, nothing changes; a repeated error is logged only once.
  void Check();

  // Returns the last settings that were read successfully.
  const settings::NodeSettings& settings() const { return m_settings; }

 private:
  kernel::Registry& m_registry;
  const config::Adapter& m_adapter;
  settings::NodeSettings m_settings;
  // Error of the last read; empty if it succeeded.
  std::string m_last_error;
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_
