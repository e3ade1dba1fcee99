#include "filberthollow/decision/membership/gossip.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace filberthollow::decision::membership {

Gossip::Gossip(MemberRecord self, uint64_t seed)
    : m_self(self), m_random(seed) {
  m_directory.Merge(m_self);
  m_updates[m_self.id] = 1;
}

void Gossip::AddPeer(base::Address peer) {
  if (peer != m_self.address && peer != base::Address{}) {
    m_peers.try_emplace(peer);
  }
}

void Gossip::SetOwnState(MemberState state) {
  m_self.state = state;
  ++m_self.sequence;
  Learn(m_self);
}

bool Gossip::Learn(const MemberRecord& record) {
  if (!MergeRecord(record)) {
    return false;
  }
  m_updates[record.id] = SendsPerUpdate();
  return true;
}

bool Gossip::MergeRecord(const MemberRecord& record) {
  if (record.id == m_self.id && record != m_self &&
      record.incarnation == m_self.incarnation) {
    // Only this balancer itself changes the record of its own incarnation.
    return false;
  }
  if (!m_directory.Merge(record)) {
    return false;
  }
  m_changed = true;
  if (record.kind == MemberKind::kBalancer) {
    if (IsAlive(record)) {
      AddPeer(record.address);
    } else {
      m_peers.erase(record.address);
    }
  }
  return true;
}

void Gossip::HandleRecord(const MemberRecord& record) {
  if (Learn(record)) {
    return;
  }
  auto update = m_updates.find(record.id);
  const MemberRecord* held = m_directory.Find(record.id);
  if (update == m_updates.end() || held == nullptr ||
      Supersedes(*held, record)) {
    return;
  }
  if (update->second <= kKnownPenalty) {
    m_updates.erase(update);
  } else {
    update->second -= kKnownPenalty;
  }
}

bool Gossip::ConsumeAnswerBudget() {
  if (m_answers >= kMaxAnswers) {
    return false;
  }
  ++m_answers;
  return true;
}

void Gossip::LearnWithoutSpreading(const MemberRecord& record) {
  MergeRecord(record);
}

void Gossip::SpreadSuspicion(const Suspicion& suspicion) {
  m_suspicions[suspicion] = SendsPerUpdate();
}

// If every balancer sends an update this often, all of them receive it with
// high probability. The number grows with the logarithm of the fleet size
// (Demers et al., "Epidemic algorithms for replicated database maintenance",
// 1987).
uint32_t Gossip::SendsPerUpdate() const {
  constexpr uint32_t kSendFactor = 2;
  auto log2 = static_cast<uint32_t>(std::bit_width(m_peers.size() + 1));
  return static_cast<uint32_t>(kFanOut) + kSendFactor * log2;
}

GossipMessage Gossip::NewMessage() const {
  return GossipMessage{.sender = m_self, .revision = m_revision};
}

void Gossip::AddUpdates(GossipMessage& message) {
  // Send the updates with the most sends left first: they are the newest.
  std::vector<std::pair<uint32_t, MemberId>> order;
  for (const auto& [id, left] : m_updates) {
    order.emplace_back(left, id);
  }
  std::sort(order.rbegin(), order.rend());
  for (const auto& [left, id] : order) {
    if (message.records.size() >= kMaxRecords) {
      break;
    }
    message.records.push_back(*m_directory.Find(id));
    if (--m_updates[id] == 0) {
      m_updates.erase(id);
    }
  }
  for (auto it = m_suspicions.begin();
       it != m_suspicions.end() &&
       message.suspicions.size() < kMaxSuspicions;) {
    message.suspicions.push_back(it->first);
    it = --it->second == 0 ? m_suspicions.erase(it) : std::next(it);
  }
}

std::vector<base::Address> Gossip::ChoosePeers(size_t count) {
  std::vector<base::Address> responsive;
  std::vector<base::Address> silent;
  for (auto& [address, peer] : m_peers) {
    (peer.silent_rounds > kMaxSilentRounds ? silent : responsive)
        .push_back(address);
  }
  std::shuffle(responsive.begin(), responsive.end(), m_random);
  responsive.resize(std::min(responsive.size(), count));
  // Try a silent peer from time to time, since it may be reachable again.
  if (!silent.empty() &&
      (responsive.empty() || m_round % kRoundsPerDigest == 0)) {
    responsive.push_back(silent[m_random() % silent.size()]);
  }
  return responsive;
}

std::vector<GossipSend> Gossip::OnRound() {
  ++m_round;
  std::vector<GossipSend> sends;
  bool digest_round = m_round % kRoundsPerDigest == 0;
  m_answers = digest_round ? 0 : m_answers;
  bool has_updates = !m_updates.empty() || !m_suspicions.empty();
  if (!digest_round && !has_updates) {
    return sends;
  }
  for (base::Address peer : ChoosePeers(has_updates ? kFanOut : 1)) {
    GossipMessage message = NewMessage();
    if (digest_round && sends.empty()) {
      message.group_digests = m_directory.group_digests();
      m_peers.at(peer).silent_rounds += kRoundsPerDigest;
    }
    AddUpdates(message);
    sends.push_back({peer, std::move(message)});
  }
  return sends;
}

std::vector<GossipSend> Gossip::OnMessage(const GossipMessage& message,
                                          base::Address from) {
  AddPeer(from);
  if (auto peer = m_peers.find(from); peer != m_peers.end()) {
    peer->second.silent_rounds = 0;
  }
  Learn(message.sender);
  for (const MemberRecord& record : message.records) {
    HandleRecord(record);
  }
  m_received_suspicions.insert(m_received_suspicions.end(),
                               message.suspicions.begin(),
                               message.suspicions.end());
  std::vector<GossipSend> sends;
  if (message.group_digests) {
    // Always answer, to show the peer that this balancer is alive.
    auto answer = AnswerGroups(*message.group_digests);
    sends.push_back(
        {from, answer && ConsumeAnswerBudget() ? *answer : NewMessage()});
  }
  if (message.bucket_group && *message.bucket_group < kGroups &&
      ConsumeAnswerBudget()) {
    sends.push_back(
        {from, AnswerBuckets(*message.bucket_group, message.bucket_digests)});
  }
  GossipMessage records = NewMessage();
  for (BucketIndex bucket : message.requested_buckets) {
    if (bucket < kBuckets) {
      AddBucket(bucket, records);
    }
  }
  if (!records.records.empty() && ConsumeAnswerBudget()) {
    sends.push_back({from, std::move(records)});
  }
  return sends;
}

std::optional<GossipMessage> Gossip::AnswerGroups(const GroupDigests& theirs) {
  uint32_t start = static_cast<uint32_t>(m_random() % kGroups);
  uint32_t group = m_directory.FirstDifferingGroup(theirs, start);
  if (group == kGroups) {
    return std::nullopt;
  }
  GossipMessage answer = NewMessage();
  answer.bucket_group = group;
  answer.bucket_digests = m_directory.BucketDigestsOf(group);
  return answer;
}

GossipMessage Gossip::AnswerBuckets(uint32_t group,
                                    const BucketDigests& theirs) {
  GossipMessage answer = NewMessage();
  BucketDigests mine = m_directory.BucketDigestsOf(group);
  for (uint32_t i = 0; i < kBucketsPerGroup; ++i) {
    if (mine.at(i) != theirs.at(i) &&
        answer.requested_buckets.size() < kMaxBuckets) {
      BucketIndex bucket = group * kBucketsPerGroup + i;
      answer.requested_buckets.push_back(bucket);
      AddBucket(bucket, answer);
    }
  }
  return answer;
}

void Gossip::AddBucket(BucketIndex bucket, GossipMessage& message) const {
  for (const MemberRecord& record : m_directory.RecordsInBucket(bucket)) {
    if (message.records.size() < kMaxRecords) {
      message.records.push_back(record);
    }
  }
}

std::vector<Suspicion> Gossip::TakeSuspicions() {
  return std::exchange(m_received_suspicions, {});
}

bool Gossip::TakeChanged() {
  return std::exchange(m_changed, false);
}

std::vector<base::Address> Gossip::peers() const {
  std::vector<base::Address> peers;
  for (const auto& [address, peer] : m_peers) {
    peers.push_back(address);
  }
  return peers;
}

}  // namespace filberthollow::decision::membership
