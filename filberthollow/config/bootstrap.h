// Bootstrap entries tell processes at which addresses they can reach the
// balancers. Each balancer stores its own entry at the platform, as JSON.
//
//   std::string text = BootstrapText(entry);
//   Result<BootstrapEntry> entry = ParseBootstrap(text, "bootstrap/b1");
#ifndef FILBERTHOLLOW_CONFIG_BOOTSTRAP_H_
#define FILBERTHOLLOW_CONFIG_BOOTSTRAP_H_

#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// The bootstrap entry of one balancer.
struct BootstrapEntry {
  std::string name;
  std::string data_centre;
  base::Address control;  // of control traffic: heartbeats and gossip
  base::Address admin;    // of the HTTP admin interface
  base::Address callers;  // to which callers send
  friend bool operator==(const BootstrapEntry&,
                         const BootstrapEntry&) = default;
};

// Returns the JSON text of an entry.
std::string BootstrapText(const BootstrapEntry& entry);
// Parses the JSON text of an entry. `source` is the object or file that the
// text came from and is named in errors.
base::Result<BootstrapEntry> ParseBootstrap(std::string_view text,
                                            std::string_view source);
// Parses the entries of several objects. Deleted and invalid objects are
// skipped.
std::vector<BootstrapEntry> ParseBootstrapList(
    const std::vector<platform::StoredObject>& objects);

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_BOOTSTRAP_H_
