// Follows the settings file of a passed-through process while it runs.
//
//   SettingsWatch settings(registry, adapter, file);
//   while (...) {
//     WaitForWakeup(SettingsWatch::kInterval.count());
//     settings.Check();
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
  // kInterval is how often the file is to be read: it may change without a
  // signal, and a process whose seeds are gone is alone until it sees new ones.
  static constexpr base::Millis kInterval{1000};

  // `file` is what the process has started with.
  SettingsWatch(kernel::Registry& registry,
                const Adapter& adapter,
                NodeFile file);

  // Check reads the file. New seeds are posted to the packets service, and a
  // new stop grace is in file(); other changes need a restart, which is logged.
  // A file that is wrong changes nothing; the reason is logged once.
  void Check();

  // Returns the newest settings that could be read.
  const NodeFile& file() const { return m_file; }

 private:
  kernel::Registry& m_registry;
  const Adapter& m_adapter;
  NodeFile m_file;
  std::string m_refused;  // why the last file was refused, if it was
};

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_SETTINGS_WATCH_H_
