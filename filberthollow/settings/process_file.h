// The settings file of one process: its name, its data centre and the addresses
// that it uses. Settings that operators change at run time are in the settings
// tree instead (see tree.h).
//
//   Result<std::string> text = ReadFile("balancer.json");
//   Result<BalancerFile> file = ParseBalancerFile(*text, "balancer.json");
#ifndef FILBERTHOLLOW_SETTINGS_PROCESS_FILE_H_
#define FILBERTHOLLOW_SETTINGS_PROCESS_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"
#include "filberthollow/base/log.h"
#include "filberthollow/flow/token.h"

namespace filberthollow::settings {

// The settings of a balancer process.
struct BalancerFile {
  std::string name;
  std::string data_centre;
  base::Address caller_address;   // datagrams from and to callers
  base::Address relay_address;    // datagrams from and to agents
  base::Address control_address;  // heartbeats and gossip
  // HTTP admin interface. By default a free port of the loopback address.
  base::Address admin_address;
  base::Address platform;  // the platform's object API
  // Control addresses of other balancers, used to start while the platform is
  // unreachable.
  std::vector<base::Address> peers;
  // Key shared by the balancers. A balancer that starts without the fleet's
  // keys uses it to get them from a peer.
  std::optional<flow::Key> join_key;
  base::Level log_level = base::Level::kInfo;
  friend bool operator==(const BalancerFile&, const BalancerFile&) = default;
};

// The settings of an agent process.
struct AgentFile {
  std::string name;  // name of the agent's target in the settings tree
  std::string data_centre;
  std::string service;            // service of the target
  base::Address relay_address;    // datagrams from and to balancers
  base::Address control_address;  // heartbeats
  // HTTP admin interface. By default a free port of the loopback address.
  base::Address admin_address;
  base::Address upstream;  // the upstream that the agent serves
  base::Address platform;  // the platform's object API
  base::Level log_level = base::Level::kInfo;
  friend bool operator==(const AgentFile&, const AgentFile&) = default;
};

// Parses the settings of a balancer. Fails if any part of the text is invalid.
// `source` is the file that the text came from and is named in errors.
base::Result<BalancerFile> ParseBalancerFile(std::string_view text,
                                             std::string_view source);
// Parses the settings of an agent, likewise.
base::Result<AgentFile> ParseAgentFile(std::string_view text,
                                       std::string_view source);
// Maximum size of a file that ReadFile() accepts.
inline constexpr size_t kMaxFileBytes = size_t{4} << 20;
// Returns the content of a file. Fails if the file does not exist, cannot be
// opened or is larger than kMaxFileBytes.
base::Result<std::string> ReadFile(const std::string& path);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_PROCESS_FILE_H_
