// The messages of a balancer's peers service.
#ifndef FILBERTHOLLOW_BALANCER_PEERS_MESSAGES_H_
#define FILBERTHOLLOW_BALANCER_PEERS_MESSAGES_H_

#include <memory>
#include <variant>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/config/config.h"
#include "filberthollow/decision/member_record.h"

namespace filberthollow::balancer {

inline constexpr const char* kPeersService = "peers";

// FetchSnapshot asks to fetch all that a peer knows.
struct FetchSnapshot {
  base::Address peer;
  friend bool operator==(const FetchSnapshot&, const FetchSnapshot&) = default;
};

// RecordsReply answers RecordsQuery (members_task.h).
struct RecordsReply {
  uint64_t query = 0;
  std::vector<decision::MemberRecord> records;
  friend bool operator==(const RecordsReply&, const RecordsReply&) = default;
};

// ObjectsChanged brings the configuration objects held now.
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
