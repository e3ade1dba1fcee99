#include "filberthollow/platform/adapter.h"

#include <fmt/format.h>

#include "filberthollow/platform/announcement.h"
#include "filberthollow/platform/node_settings.h"
#include "filberthollow/platform/operator_config.h"
#include "filberthollow/platform/packet_format.h"

namespace filberthollow::platform {

config::Adapter MakeAdapter(const settings::NodeSettings& settings) {
  static const PlatformPacketFormat packets;
  return {.packet_format = &packets,
          .read_heartbeat = &ReadHeartbeat,
          .is_readiness_check = &IsReadinessCheck,
          .read_settings = &ReadNodeSettings,
          .store =
              [server = settings.platform](net::HttpClient& client) {
                return std::make_unique<OperatorConfigStore>(client, server);
              },
          .read_snapshot = &ParseOperatorConfig};
}

int RunOnPlatform(const daemon::DaemonOptions& options,
                  const char* name,
                  int (*run)(const settings::NodeSettings&,
                             const config::Adapter&)) {
  auto settings = ReadNodeSettings();
  if (!settings) {
    // Printed to stderr because the log is not set up yet.
    fmt::print(stderr, "{}: {}\n", name, settings.error().Text());
    return daemon::kExitInvalidConfiguration;
  }
  if (options.check_only) {
    return daemon::kExitSuccess;
  }
  daemon::ConfigureLog(settings->name);
  return run(*settings, MakeAdapter(*settings));
}

}  // namespace filberthollow::platform
