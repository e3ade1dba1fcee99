// Simulates the network between the gossip protocols of many balancers, round
// by round, with random message loss and network partitions.
//
//   FakeLinks links(64, /*loss_percent=*/10, /*seed=*/3);
//   links.node(0).Learn(record);
//   uint32_t rounds = links.RunUntilAllKnow(record, 40);
#ifndef FILBERTHOLLOW_TESTING_FAKE_LINKS_H_
#define FILBERTHOLLOW_TESTING_FAKE_LINKS_H_

#include <memory>
#include <random>
#include <vector>

#include "filberthollow/decision/membership/gossip.h"

namespace filberthollow::testing {

// The traffic that all nodes sent, including lost messages.
struct LinkTraffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;  // size of the encoded and sealed datagrams
  friend bool operator==(const LinkTraffic&, const LinkTraffic&) = default;
};

// Not thread-safe. The same seed gives the same losses and choices of peers.
class FakeLinks {
 public:
  // Creates `nodes` balancers that know each other's addresses.
  FakeLinks(size_t nodes, uint32_t loss_percent, uint64_t seed);

  // Runs gossip rounds. Messages and their answers are delivered at once,
  // within the round.
  void Run(uint32_t rounds);
  // Runs rounds until every node holds exactly this record, but no more than
  // `limit` rounds. Returns the number of rounds run.
  uint32_t RunUntilAllKnow(const decision::membership::MemberRecord& record,
                           uint32_t limit);
  // Partitions the network into the nodes below index `first` and the others. 0
  // removes the partition.
  void SetPartition(size_t first) { m_partition = first; }

  decision::membership::Gossip& node(size_t index) { return *m_nodes[index]; }
  size_t size() const { return m_nodes.size(); }
  // Returns the traffic since the last call.
  LinkTraffic TakeTraffic() { return std::exchange(m_traffic, {}); }

 private:
  // Delivers messages of node `from` and, recursively, the answers to them.
  void Deliver(size_t from,
               const std::vector<decision::membership::GossipSend>& sends);

  const uint32_t m_loss_percent;
  std::mt19937_64 m_random;
  size_t m_partition = 0;
  std::vector<std::unique_ptr<decision::membership::Gossip>> m_nodes;
  LinkTraffic m_traffic;
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_FAKE_LINKS_H_
