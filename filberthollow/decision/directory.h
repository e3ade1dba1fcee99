// The directory of members: every record that a balancer holds, with digests
// by which two balancers find out cheaply where they differ.
//
// Records hang in kGroups x kBucketsPerGroup buckets by their identifier. A
// digest is a sum of hashes, so a change updates it in constant time. Peers
// compare the group digests, then the bucket digests of one group, then send
// the records of the buckets that differ.
//
//   if (directory.Merge(record)) { ... news ... }
//   GroupDigests mine = directory.Groups();
#ifndef FILBERTHOLLOW_DECISION_DIRECTORY_H_
#define FILBERTHOLLOW_DECISION_DIRECTORY_H_

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/member_record.h"

namespace filberthollow::decision {

inline constexpr uint32_t kGroups = 32;
inline constexpr uint32_t kBucketsPerGroup = 32;
inline constexpr uint32_t kBuckets = kGroups * kBucketsPerGroup;
using GroupDigests = std::array<uint64_t, kGroups>;
using BucketDigests = std::array<uint64_t, kBucketsPerGroup>;

// BucketIndex names a bucket among all kBuckets.
using BucketIndex = uint32_t;

// Directory belongs to one task.
class Directory {
 public:
  // Merge takes a record if it is news; returns whether it was.
  bool Merge(const MemberRecord& record);
  // Find returns the record of a member, or null; valid until the next change.
  const MemberRecord* Find(MemberId id) const;
  // Returns all records.
  const std::unordered_map<MemberId, MemberRecord>& records() const {
    return m_records;
  }
  // Returns the latest kMaxReplaced incarnations that a newer one of the same
  // member replaced. Older ones are refused by the agents themselves.
  static constexpr size_t kMaxReplaced = 4096;
  const std::unordered_set<base::Incarnation>& replaced_incarnations() const {
    return m_replaced;
  }

  // Groups returns the digest of each group.
  const GroupDigests& group_digests() const { return m_group_digests; }
  // Buckets returns the digests of the buckets of one group.
  BucketDigests BucketDigestsOf(uint32_t group) const;
  // RecordsInBucket returns the records of one bucket.
  std::vector<MemberRecord> RecordsInBucket(BucketIndex bucket) const;
  // FirstDifferingGroup returns a group whose digest differs from `theirs`,
  // looking from `start` on; kGroups if there is none.
  uint32_t FirstDifferingGroup(const GroupDigests& theirs,
                               uint32_t start) const;

 private:
  void AddDigest(const MemberRecord& record, uint64_t multiplier);
  void NoteReplaced(base::Incarnation incarnation);

  std::unordered_map<MemberId, MemberRecord> m_records;
  std::unordered_set<base::Incarnation> m_replaced;
  std::deque<base::Incarnation> m_replaced_order;
  std::vector<std::vector<MemberId>> m_bucket_members =
      std::vector<std::vector<MemberId>>(kBuckets);
  std::array<uint64_t, kBuckets> m_bucket_digests{};
  GroupDigests m_group_digests{};
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_DIRECTORY_H_
