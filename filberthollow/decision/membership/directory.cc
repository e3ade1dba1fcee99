#include "filberthollow/decision/membership/directory.h"

#include <algorithm>

namespace filberthollow::decision::membership {
namespace {

BucketIndex BucketOf(MemberId id) {
  return static_cast<BucketIndex>(base::Value(id) % kBuckets);
}

// Leaves out the load, which changes constantly and is carried by other
// messages.
uint64_t DigestOf(const MemberRecord& record) {
  return base::HashWords({base::Value(record.id),
                          base::Value(record.incarnation), record.sequence,
                          static_cast<uint64_t>(record.state)});
}

}  // namespace

bool Directory::Merge(const MemberRecord& record) {
  auto [held, added] = m_records.try_emplace(record.id, record);
  if (added) {
    m_bucket_members[BucketOf(record.id)].push_back(record.id);
    AddDigest(record, 1);
    return true;
  }
  if (!Supersedes(record, held->second)) {
    return false;
  }
  if (record.incarnation != held->second.incarnation) {
    NoteReplaced(held->second.incarnation);
  }
  AddDigest(held->second, UINT64_MAX);  // UINT64_MAX is -1 modulo 2^64
  held->second = record;
  AddDigest(record, 1);
  return true;
}

void Directory::NoteReplaced(base::Incarnation incarnation) {
  m_replaced.insert(incarnation);
  m_replaced_order.push_back(incarnation);
  if (m_replaced_order.size() > kMaxReplaced) {
    m_replaced.erase(m_replaced_order.front());
    m_replaced_order.pop_front();
  }
}

void Directory::AddDigest(const MemberRecord& record, uint64_t multiplier) {
  BucketIndex bucket = BucketOf(record.id);
  uint64_t digest = DigestOf(record) * multiplier;
  m_bucket_digests.at(bucket) += digest;
  m_group_digests.at(bucket / kBucketsPerGroup) += digest;
}

const MemberRecord* Directory::Find(MemberId id) const {
  auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : &found->second;
}

BucketDigests Directory::BucketDigestsOf(uint32_t group) const {
  BucketDigests digests{};
  std::copy_n(m_bucket_digests.begin() + size_t{group} * kBucketsPerGroup,
              kBucketsPerGroup, digests.begin());
  return digests;
}

std::vector<MemberRecord> Directory::RecordsInBucket(BucketIndex bucket) const {
  std::vector<MemberRecord> records;
  for (MemberId id : m_bucket_members.at(bucket)) {
    records.push_back(m_records.at(id));
  }
  return records;
}

uint32_t Directory::FirstDifferingGroup(const GroupDigests& theirs,
                                        uint32_t start) const {
  for (uint32_t i = 0; i < kGroups; ++i) {
    uint32_t group = (start + i) % kGroups;
    if (m_group_digests.at(group) != theirs.at(group)) {
      return group;
    }
  }
  return kGroups;
}

}  // namespace filberthollow::decision::membership
