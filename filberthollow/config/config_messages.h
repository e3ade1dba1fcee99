// The messages that the config service of a process takes.
#ifndef FILBERTHOLLOW_CONFIG_CONFIG_MESSAGES_H_
#define FILBERTHOLLOW_CONFIG_CONFIG_MESSAGES_H_

#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/base/address.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

inline constexpr const char* kConfigService = "config";

// NewerRevision tells that a peer holds a newer configuration.
struct NewerRevision {
  uint64_t revision = 0;
  base::Address peer;
  friend bool operator==(const NewerRevision&, const NewerRevision&) = default;
};

// NewerKeys tells that a key epoch is in use that this process lacks.
struct NewerKeys {
  uint32_t epoch = 0;
  friend bool operator==(const NewerKeys&, const NewerKeys&) = default;
};

// RefreshBalancers tells that too few of the known balancers answer.
struct RefreshBalancers {
  friend bool operator==(RefreshBalancers, RefreshBalancers) = default;
};

// PeerObjects brings configuration objects that a peer holds.
struct PeerObjects {
  std::vector<platform::StoredObject> objects;
  friend bool operator==(const PeerObjects&, const PeerObjects&) = default;
};

using ConfigMessage = std::variant<NewerRevision,
                                   NewerKeys,
                                   RefreshBalancers,
                                   PeerObjects,
                                   admin::ReportQuery>;

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_CONFIG_MESSAGES_H_
