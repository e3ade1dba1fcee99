// Fake links between the gossip decisions of many balancers, in rounds.
//
//   FakeLinks links(64, /*loss_percent=*/10, /*seed=*/3);
//   links.node(0).Learn(record);
//   uint32_t rounds = links.RunUntilAllKnow(record, 40);
#ifndef FILBERTHOLLOW_TESTING_FAKE_LINKS_H_
#define FILBERTHOLLOW_TESTING_FAKE_LINKS_H_

#include <memory>
#include <random>
#include <vector>

#include "filberthollow/decision/gossip.h"

namespace filberthollow::testing {

// LinkTraffic counts what the nodes sent.
struct LinkTraffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;  // as sealed datagrams
  friend bool operator==(const LinkTraffic&, const LinkTraffic&) = default;
};

class FakeLinks {
 public:
  // Creates balancers that all know each other's addresses.
  FakeLinks(size_t nodes, uint32_t loss_percent, uint64_t seed);

  // Runs gossip rounds; within one, messages and answers take no time.
  void Run(uint32_t rounds);
  // Runs until every node holds exactly this record; returns the rounds taken,
  // or `limit`.
  uint32_t RunUntilAllKnow(const decision::MemberRecord& record,
                           uint32_t limit);
  // SetPartition separates nodes below `first` from the rest; 0 heals.
  void SetPartition(size_t first) { m_partition = first; }

  decision::Gossip& node(size_t index) { return *m_nodes[index]; }
  size_t size() const { return m_nodes.size(); }
  LinkTraffic TakeTraffic() { return std::exchange(m_traffic, {}); }

 private:
  void Deliver(size_t from, const std::vector<decision::GossipSend>& sends);

  const uint32_t m_loss_percent;
  std::mt19937_64 m_random;
  size_t m_partition = 0;
  std::vector<std::unique_ptr<decision::Gossip>> m_nodes;
  LinkTraffic m_traffic;
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_FAKE_LINKS_H_
