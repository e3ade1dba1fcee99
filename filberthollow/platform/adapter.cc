#include "filberthollow/platform/adapter.h"

#include "filberthollow/platform/announcement.h"
#include "filberthollow/platform/node_settings.h"
#include "filberthollow/platform/operator_config.h"
#include "filberthollow/platform/packet_format.h"

namespace filberthollow::platform {

passthrough::Adapter MakeAdapter(const passthrough::NodeFile& file) {
  static const PlatformPacketFormat packets;
  return {.packets = &packets,
          .read_beat = &ReadAnnouncement,
          .is_readiness_check = &IsReadinessCheck,
          .read_settings = &ReadNodeSettings,
          .store =
              [server = file.platform](net::HttpClient& client) {
                return std::make_unique<OperatorConfigStore>(client, server);
              },
          .read_snapshot = &ParseOperatorConfig};
}

}  // namespace filberthollow::platform
