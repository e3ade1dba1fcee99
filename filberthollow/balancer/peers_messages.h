// The messages that the peers service of a balancer receives.
#ifndef FILBERTHOLLOW_BALANCER_PEERS_MESSAGES_H_
#define FILBERTHOLLOW_BALANCER_PEERS_MESSAGES_H_

#include <memory>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/membership/member_record.h"

namespace filberthollow::balancer {

inline constexpr const char* kPeersService = "peers";

// FetchSnapshot asks to fetch a peer's snapshot, that is all its member records
// and configuration objects.
struct FetchSnapshot {
  // The peer's control address.
  base::Address peer;
  friend bool operator==(const FetchSnapshot&, const FetchSnapshot&) = default;
};

// RecordsReply answers a RecordsQuery of members_task.h.
struct RecordsReply {
  // Copied from the query.
  uint64_t query = 0;
  std::vector<decision::membership::MemberRecord> records;
  friend bool operator==(const RecordsReply&, const RecordsReply&) = default;
};

// ObjectsChanged delivers all configuration objects that are held, whenever any
// of them changed.
struct ObjectsChanged {
  std::vector<platform::StoredObject> objects;
  friend bool operator==(const ObjectsChanged&,
                         const ObjectsChanged&) = default;
};

using PeersMessage = std::variant<config::KeysChanged,
                                  FetchSnapshot,
                                  RecordsReply,
                                  ObjectsChanged,
                                  admin::ReportQuery>;

}  // namespace filberthollow::balancer

#endif  // FILBERTHOLLOW_BALANCER_PEERS_MESSAGES_H_
