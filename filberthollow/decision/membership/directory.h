// The directory of members: every record that a balancer holds, with digests
// that let two balancers find the differences between their directories
// cheaply.
//
// Records are assigned to kGroups x kBucketsPerGroup buckets by member
// identifier. A digest is a sum of hashes, so a change updates it in constant
// time. Two peers compare the group digests, then the bucket digests of one
// group, and then send each other the records of the buckets that differ.
//
//   if (directory.Merge(record)) { /* the record is new */ }
//   const GroupDigests& mine = directory.group_digests();
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_DIRECTORY_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_DIRECTORY_H_

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/decision/membership/member_record.h"

namespace filberthollow::decision::membership {

inline constexpr uint32_t kGroups = 32;
inline constexpr uint32_t kBucketsPerGroup = 32;
inline constexpr uint32_t kBuckets = kGroups * kBucketsPerGroup;
using GroupDigests = std::array<uint64_t, kGroups>;
using BucketDigests = std::array<uint64_t, kBucketsPerGroup>;

// Index of a bucket, in [0, kBuckets). The group of a bucket is
// index / kBucketsPerGroup.
using BucketIndex = uint32_t;

// Not thread-safe: a directory is owned and used by a single task.
class Directory {
 public:
  // Stores the record if no record of the member is held or if it supersedes
  // the one held. Returns whether it was stored.
  bool Merge(const MemberRecord& record);
  // Returns the record of a member, or null if there is none. The pointer is
  // valid until the next change of the directory.
  const MemberRecord* Find(MemberId id) const;
  // Returns all records.
  const std::unordered_map<MemberId, MemberRecord>& records() const {
    return m_records;
  }
  // Maximum size of replaced_incarnations().
  static constexpr size_t kMaxReplaced = 4096;
  // Returns the most recent incarnations that were replaced by a newer
  // incarnation of the same member. Only the last kMaxReplaced are kept: the
  // agents themselves refuse older incarnations.
  const std::unordered_set<base::Incarnation>& replaced_incarnations() const {
    return m_replaced;
  }

  // Returns the digest of each group.
  const GroupDigests& group_digests() const { return m_group_digests; }
  // Returns the digests of the buckets in a group.
  BucketDigests BucketDigestsOf(uint32_t group) const;
  // Returns the records in a bucket.
  std::vector<MemberRecord> RecordsInBucket(BucketIndex bucket) const;
  // Returns the first group, counted cyclically from `start`, whose digest
  // differs from that in `theirs`, or kGroups if all are equal.
  uint32_t FirstDifferingGroup(const GroupDigests& theirs,
                               uint32_t start) const;

 private:
  // Adds `multiplier` times the digest of the record, modulo 2^64, to the
  // digests of its bucket and group.
  void AddDigest(const MemberRecord& record, uint64_t multiplier);
  void NoteReplaced(base::Incarnation incarnation);

  std::unordered_map<MemberId, MemberRecord> m_records;
  std::unordered_set<base::Incarnation> m_replaced;
  // The content of m_replaced, oldest first.
  std::deque<base::Incarnation> m_replaced_order;
  // The members in each bucket.
  std::vector<std::vector<MemberId>> m_bucket_members =
      std::vector<std::vector<MemberId>>(kBuckets);
  std::array<uint64_t, kBuckets> m_bucket_digests{};
  GroupDigests m_group_digests{};
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_DIRECTORY_H_
