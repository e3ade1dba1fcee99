// filberthollow-passthrough: balancer or agent of flows whose ends do not speak
// our protocol, on the users' platform.
#include <fmt/format.h>

#include <array>
#include <string_view>

#include "filberthollow/daemon/daemon.h"
#include "filberthollow/passthrough/node_process.h"
#include "filberthollow/platform/adapter.h"
#include "filberthollow/platform/node_settings.h"

namespace {

namespace daemon = filberthollow::daemon;
namespace passthrough = filberthollow::passthrough;
namespace platform = filberthollow::platform;

struct Role {
  std::string_view name;
  int (*run)(const passthrough::NodeFile&, const passthrough::Adapter&);
};

constexpr std::array<Role, 2> kRoles{{
    {"balancer", &passthrough::RunBalancer},
    {"agent", &passthrough::RunAgent},
}};

const Role* FindRole(std::string_view name) {
  for (const Role& role : kRoles) {
    if (role.name == name) {
      return &role;
    }
  }
  return nullptr;
}

}  // namespace

int main(int argc, char** argv) {
  const Role* role = argc == 2 ? FindRole(argv[1]) : nullptr;
  if (role == nullptr) {
    fmt::print(stderr, "usage: filberthollow-passthrough balancer|agent\n");
    return daemon::kExitBadFile;
  }
  filberthollow::kernel::BlockSignals();
  auto file = platform::ReadNodeSettings();
  if (!file) {
    fmt::print(stderr, "filberthollow-passthrough: {}\n", file.error().Text());
    return daemon::kExitBadFile;
  }
  daemon::StartLog(file->name);
  return role->run(*file, platform::MakeAdapter(*file));
}
