// The messages that the config service of a process and the evacuations service
// of a balancer accept.
#ifndef FILBERTHOLLOW_CONFIG_CONFIG_MESSAGES_H_
#define FILBERTHOLLOW_CONFIG_CONFIG_MESSAGES_H_

#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/base/address.h"
#include "filberthollow/decision/membership/watch_schedule.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// Name under which the config service is registered.
inline constexpr const char* kConfigService = "config";
// Name under which the evacuations service is registered.
inline constexpr const char* kEvacuationService = "evacuations";

// Reports that `peer` has configuration revision `revision`, which is newer
// than that of this process.
struct NewerRevision {
  uint64_t revision = 0;
  base::Address peer;
  friend bool operator==(const NewerRevision&, const NewerRevision&) = default;
};

// Reports that the fleet uses key epoch `epoch`, for which this process has no
// key.
struct NewerKeys {
  uint32_t epoch = 0;
  friend bool operator==(const NewerKeys&, const NewerKeys&) = default;
};

// Requests a new list of balancers. Sent when too few of the known balancers
// answer.
struct RefreshBalancers {
  friend bool operator==(RefreshBalancers, RefreshBalancers) = default;
};

// Delivers configuration objects that were fetched from a peer.
struct PeerObjects {
  std::vector<platform::StoredObject> objects;
  friend bool operator==(const PeerObjects&, const PeerObjects&) = default;
};

// Reports the number of balancers, including this process if it is one, and its
// place among those that take turns at the store.
struct FleetSizeChanged {
  size_t balancers = 1;
  decision::membership::StoreTurn turn;
  friend bool operator==(const FleetSizeChanged&,
                         const FleetSizeChanged&) = default;
};

using ConfigMessage = std::variant<NewerRevision,
                                   NewerKeys,
                                   RefreshBalancers,
                                   PeerObjects,
                                   FleetSizeChanged,
                                   admin::ReportQuery>;

// A message to the evacuations service.
using EvacuationMessage = std::variant<FleetSizeChanged, admin::ReportQuery>;

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_CONFIG_MESSAGES_H_
