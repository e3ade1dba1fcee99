// The spread of member records among balancers.
//
// Every round a balancer sends its news to a few random peers: records that
// changed lately, each a bounded number of times. In every kRoundsPerDigest-th
// round it also sends the group digests of its directory to one peer, and the
// two send each other what differs (anti-entropy), so that whoever missed the
// news catches up. All messages are bounded to one datagram.
//
//   for (const GossipSend& send : gossip.OnRound(now)) transmit(send);
//   for (const GossipSend& send : gossip.OnMessage(message, from, now)) ...
#ifndef FILBERTHOLLOW_DECISION_GOSSIP_H_
#define FILBERTHOLLOW_DECISION_GOSSIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "filberthollow/decision/directory.h"
#include "filberthollow/decision/observer.h"

namespace filberthollow::decision {

// GossipMessage is one datagram between balancers.
struct GossipMessage {
  MemberRecord sender;
  uint64_t revision = 0;  // newest configuration that the sender holds
  std::vector<MemberRecord> records;
  std::vector<Suspicion> suspicions;
  std::optional<GroupDigests> group_digests;
  // The bucket digests of one group, in answer to differing group digests.
  std::optional<uint32_t> bucket_group;
  BucketDigests bucket_digests{};
  // Buckets whose records the sender wants in return.
  std::vector<BucketIndex> requested_buckets;
  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

// GossipSend is a message for one peer.
struct GossipSend {
  base::Address to;
  GossipMessage message;
  friend bool operator==(const GossipSend&, const GossipSend&) = default;
};

// Gossip belongs to one balancer and owns its directory.
class Gossip {
 public:
  static constexpr base::Millis kRoundInterval{500};
  static constexpr uint32_t kRoundsPerDigest = 4;  // rounds
  static constexpr size_t kFanOut = 2;             // peers a round
  static constexpr size_t kMaxRecords = 5;         // records a datagram
  // Answers with digests or records in kRoundsPerDigest rounds; beyond them
  // only signs of life are sent. With kFanOut and kMaxRecords this bounds the
  // bytes a second, also when a whole data centre changes at once.
  static constexpr uint32_t kMaxAnswers = 2;
  // Sends that a record loses when a peer turns out to know it already.
  static constexpr uint32_t kKnownPenalty = 3;
  static constexpr size_t kMaxSuspicions = 8;       // suspicions a datagram
  static constexpr size_t kMaxBuckets = 4;          // buckets a datagram
  static constexpr uint32_t kMaxSilentRounds = 24;  // before a peer is skipped

  // `self` is the balancer's own record; `seed` makes choices repeatable.
  Gossip(MemberRecord self, uint64_t seed);

  // AddPeer adds the control address of another balancer.
  void AddPeer(base::Address peer);
  // SetRevision tells which configuration this balancer holds.
  void SetRevision(uint64_t revision) { m_revision = revision; }
  // SetOwnState announces a change of the balancer's own state.
  void SetOwnState(MemberState state);

  // Learn takes a record from its author or an observer; returns whether it
  // was news, which then spreads.
  bool Learn(const MemberRecord& record);
  // LearnWithoutSpreading takes a record that others know already and does not
  // spread it further.
  void LearnWithoutSpreading(const MemberRecord& record);
  // SpreadSuspicion passes on a suspicion.
  void SpreadSuspicion(const Suspicion& suspicion);

  // OnRound returns the messages of one round.
  std::vector<GossipSend> OnRound();
  // OnMessage handles a peer's message and returns the answers.
  std::vector<GossipSend> OnMessage(const GossipMessage& message,
                                    base::Address from);
  // TakeSuspicions returns suspicions that arrived since the last call.
  std::vector<Suspicion> TakeSuspicions();
  // TakeChanged returns whether the directory changed since the last call.
  bool TakeChanged();

  const Directory& directory() const { return m_directory; }
  const MemberRecord& self() const { return m_self; }
  // Returns the balancers that have been heard of, itself included.
  size_t balancer_count() const { return m_peers.size() + 1; }
  // Returns the control addresses of the other balancers.
  std::vector<base::Address> peers() const;

 private:
  struct Peer {
    uint32_t silent_rounds = 0;
  };

  // Hears a record from a peer: news spreads on, and what the peer knows
  // already needs fewer sends.
  void HandleRecord(const MemberRecord& record);
  // Returns whether one more answer may be sent, and counts it.
  bool ConsumeAnswerBudget();
  // Merges a record without spreading it; returns whether it was news.
  bool MergeRecord(const MemberRecord& record);
  GossipMessage NewMessage() const;
  void AddUpdates(GossipMessage& message);
  std::vector<base::Address> ChoosePeers(size_t count);
  uint32_t SendsPerUpdate() const;
  std::optional<GossipMessage> AnswerGroups(const GroupDigests& theirs);
  GossipMessage AnswerBuckets(uint32_t group, const BucketDigests& theirs);
  void AddBucket(BucketIndex bucket, GossipMessage& message) const;

  MemberRecord m_self;
  Directory m_directory;
  std::mt19937_64 m_random;
  uint64_t m_revision = 0;
  uint32_t m_round = 0;
  uint32_t m_answers = 0;  // in the present kRoundsPerDigest rounds
  bool m_changed = false;
  std::map<base::Address, Peer> m_peers;
  std::map<MemberId, uint32_t> m_updates;      // sends left for each record
  std::map<Suspicion, uint32_t> m_suspicions;  // sends left for each
  std::vector<Suspicion> m_received_suspicions;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_GOSSIP_H_
