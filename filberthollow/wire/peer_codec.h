// Encoding of state snapshots that balancers transfer to each other in bulk.
//
//   std::string request = EncodeSnapshotRequest({nonce, false}, keys);
//   Decoded<Snapshot> snapshot = DecodeSnapshot(bytes, keys);
#ifndef FILBERTHOLLOW_WIRE_PEER_CODEC_H_
#define FILBERTHOLLOW_WIRE_PEER_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/decision/membership/member_record.h"
#include "filberthollow/platform/object_store.h"
#include "filberthollow/wire/codec.h"

namespace filberthollow::wire {

// kMaxSnapshotBytes is the maximum size of a response. It holds 10,000 member
// records and a large settings tree.
inline constexpr size_t kMaxSnapshotBytes = size_t{16} << 20;

// SnapshotRequest asks a peer for its complete state. The response carries the
// same nonce to prevent replay of an old one.
struct SnapshotRequest {
  uint64_t nonce = 0;
  bool want_keys = false;
  friend bool operator==(const SnapshotRequest&,
                         const SnapshotRequest&) = default;
};

// Snapshot is the complete state of a balancer.
struct Snapshot {
  uint64_t nonce = 0;
  std::vector<platform::StoredObject> objects;  // configuration without keys
  std::vector<decision::membership::MemberRecord> records;
  // Keys encrypted with the join key; empty if not requested.
  std::string encrypted_keys;
  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

std::string EncodeSnapshotRequest(const SnapshotRequest& request,
                                  const flow::KeyRing& keys);
Decoded<SnapshotRequest> DecodeSnapshotRequest(std::string_view bytes,
                                               const flow::KeyRing& keys);
std::string EncodeSnapshot(const Snapshot& snapshot, const flow::KeyRing& keys);
Decoded<Snapshot> DecodeSnapshot(std::string_view bytes,
                                 const flow::KeyRing& keys);

}  // namespace filberthollow::wire

#endif  // FILBERTHOLLOW_WIRE_PEER_CODEC_H_
