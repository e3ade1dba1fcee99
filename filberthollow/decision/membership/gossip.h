// Gossip protocol that replicates member records among balancers.
//
// In every round a balancer sends its updates, the records that changed
// recently, to a few random peers. Each update is sent a bounded number of
// times. In every kRoundsPerDigest-th round the balancer also sends the group
// digests of its directory to one peer, and the two exchange the records that
// differ (anti-entropy), so that a balancer that missed an update still gets
// it. Every message fits into one datagram.
//
//   for (const GossipSend& send : gossip.OnRound()) Transmit(send);
//   for (const GossipSend& send : gossip.OnMessage(message, from)) {
//     Transmit(send);
//   }
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_GOSSIP_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "filberthollow/decision/membership/directory.h"
#include "filberthollow/decision/membership/observer.h"

namespace filberthollow::decision::membership {

// The content of one gossip datagram.
struct GossipMessage {
  // The record of the balancer that sends the message.
  MemberRecord sender;
  // Revision of the newest configuration that the sender holds.
  uint64_t revision = 0;
  std::vector<MemberRecord> records;
  std::vector<Suspicion> suspicions;
  // Set in the first message of an anti-entropy exchange.
  std::optional<GroupDigests> group_digests;
  // The group that `bucket_digests` describes. Set in the answer to group
  // digests that differ from the sender's own.
  std::optional<uint32_t> bucket_group;
  // Meaningful only if `bucket_group` is set.
  BucketDigests bucket_digests{};
  // Buckets whose records the receiver is to send back.
  std::vector<BucketIndex> requested_buckets;
  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

// A message and the control address of the peer to send it to.
struct GossipSend {
  base::Address to;
  GossipMessage message;
  friend bool operator==(const GossipSend&, const GossipSend&) = default;
};

// The gossip state of one balancer, which owns its directory of members. Not
// thread-safe: use it from a single task. It does no I/O; the caller sends the
// messages that it returns.
class Gossip {
 public:
  // Time between calls of OnRound().
  static constexpr base::Millis kRoundInterval{500};
  // Number of rounds after which group digests are sent again.
  static constexpr uint32_t kRoundsPerDigest = 4;
  // Number of peers that updates are sent to per round.
  static constexpr size_t kFanOut = 2;
  // Maximum number of records per datagram.
  static constexpr size_t kMaxRecords = 5;
  // Maximum number of answers with digests or records per kRoundsPerDigest
  // rounds. After that, group digests are answered with an empty message, as a
  // sign of life, and other requests not at all. Together with kFanOut and
  // kMaxRecords this bounds the bytes sent per second, even when a whole data
  // centre changes at once.
  static constexpr uint32_t kMaxAnswers = 2;
  // Number by which the remaining sends of a record are reduced when a peer
  // turns out to hold the record already.
  static constexpr uint32_t kKnownPenalty = 3;
  // Maximum number of suspicions per datagram.
  static constexpr size_t kMaxSuspicions = 8;
  // Maximum number of requested buckets per datagram.
  static constexpr size_t kMaxBuckets = 4;
  // A peer that has been silent for more rounds than this counts as silent and
  // receives messages only occasionally. Each digest that the peer does not
  // answer counts as kRoundsPerDigest rounds.
  static constexpr uint32_t kMaxSilentRounds = 24;

  // `self` is the balancer's own record. The same `seed` gives the same random
  // choices.
  Gossip(MemberRecord self, uint64_t seed);

  // Adds the control address of another balancer.
  void AddPeer(base::Address peer);
  // Sets the revision of the configuration that this balancer holds.
  void SetRevision(uint64_t revision) { m_revision = revision; }
  // Changes this balancer's own state and spreads the change.
  void SetOwnState(MemberState state);

  // Merges a record that came from the member itself or from an observer, and
  // spreads it if it is new. Returns whether it is new.
  bool Learn(const MemberRecord& record);
  // Merges a record that other balancers already hold, without spreading it.
  void LearnWithoutSpreading(const MemberRecord& record);
  // Sends a suspicion to other balancers in the next rounds.
  void SpreadSuspicion(const Suspicion& suspicion);

  // Returns the messages of one round; call it every kRoundInterval.
  std::vector<GossipSend> OnRound();
  // Handles a message from the peer at `from` and returns the answers.
  std::vector<GossipSend> OnMessage(const GossipMessage& message,
                                    base::Address from);
  // Returns the suspicions received from peers since the last call.
  std::vector<Suspicion> TakeSuspicions();
  // Returns whether the directory has changed since the last call.
  bool TakeChanged();

  const Directory& directory() const { return m_directory; }
  const MemberRecord& self() const { return m_self; }
  // Returns the number of known balancers, including this one.
  size_t balancer_count() const { return m_peers.size() + 1; }
  // Returns the control addresses of the other known balancers.
  std::vector<base::Address> peers() const;

 private:
  struct Peer {
    // Reset by each message from the peer.
    uint32_t silent_rounds = 0;
  };

  // Handles a record received from a peer: spreads it if it is new, and
  // reduces the remaining sends of a record that both already hold.
  void HandleRecord(const MemberRecord& record);
  // Returns whether another answer may be sent (see kMaxAnswers), and if so
  // counts it.
  bool ConsumeAnswerBudget();
  // Merges a record without spreading it; returns whether it is new.
  bool MergeRecord(const MemberRecord& record);
  // Returns a message with only the sender's record and revision.
  GossipMessage NewMessage() const;
  // Adds pending updates and suspicions and counts each as sent once.
  void AddUpdates(GossipMessage& message);
  // Returns up to `count` random peers that are not silent, and sometimes one
  // silent peer.
  std::vector<base::Address> ChoosePeers(size_t count);
  // Returns how often a new update is sent.
  uint32_t SendsPerUpdate() const;
  // Returns the bucket digests of a random group whose digest differs from that
  // in `theirs`, or nullopt if all are equal.
  std::optional<GossipMessage> AnswerGroups(const GroupDigests& theirs);
  // Returns own records of buckets whose digest differs from that in `theirs`,
  // and requests the peer's records of these buckets.
  GossipMessage AnswerBuckets(uint32_t group, const BucketDigests& theirs);
  // Adds the records in a bucket, up to kMaxRecords in the message.
  void AddBucket(BucketIndex bucket, GossipMessage& message) const;

  MemberRecord m_self;
  Directory m_directory;
  std::mt19937_64 m_random;
  uint64_t m_revision = 0;
  uint32_t m_round = 0;
  // Answers counted against kMaxAnswers in the current kRoundsPerDigest rounds.
  uint32_t m_answers = 0;
  bool m_changed = false;
  std::map<base::Address, Peer> m_peers;
  // Remaining sends of each updated record.
  std::map<MemberId, uint32_t> m_updates;
  // Remaining sends of each suspicion.
  std::map<Suspicion, uint32_t> m_suspicions;
  std::vector<Suspicion> m_received_suspicions;
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_GOSSIP_H_
