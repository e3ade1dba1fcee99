// Follows the watch settings of a passed-through process while it runs.
//
//   SettingsWatch watch(registry, adapter, settings);
//   while (...) {
//     WaitForWakeup(SettingsWatch::kInterval.count());
//     watch.Check();
//   }
#ifndef FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_
#define FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_

#include <string>

#include "filberthollow/kernel/registry.h"
#include "filberthollow/passthrough/adapter.h"
#include "filberthollow/passthrough/node_file.h"

namespace filberthollow::passthrough {

// SettingsWatch belongs to the main thread.
class SettingsWatch {
 public:
  // kInterval is how often the settings is to be read: it may change without a
  // signal, and a process whose seeds are gone is alone until it sees new ones.
  static constexpr base::Millis kInterval{1000};

  // `settings` is what the process has started with.
  SettingsWatch(kernel::Registry& registry,
                const Adapter& adapter,
                NodeSettings settings);

  // Check reads the settings. New seeds are posted to the packets service, and
  // a new stop grace is in settings(); other changes need a restart, which is
  // logged. A settings that is wrong changes nothing; the reason is logged
  // once.
  void Check();

  // Returns the newest watch that could be read.
  const NodeSettings& settings() const { return m_settings; }

 private:
  kernel::Registry& m_registry;
  const Adapter& m_adapter;
  NodeSettings m_settings;
  std::string m_last_error;  // why the last settings was error, if it was
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_
