#include "filberthollow/testing/fake_links.h"

#include "filberthollow/wire/control_codec.h"

namespace filberthollow::testing {
namespace {

const flow::KeyRing kKeys({flow::Key{1, {1}}});

base::Address AddressOf(size_t index) {
  return {0x0a000000 + static_cast<uint32_t>(index), 1};
}

size_t IndexOf(base::Address address) {
  return address.ip - 0x0a000000;
}

}  // namespace

FakeLinks::FakeLinks(size_t nodes, uint32_t loss_percent, uint64_t seed)
    : m_loss_percent(loss_percent), m_random(seed) {
  std::vector<decision::membership::MemberRecord> records;
  for (size_t i = 0; i < nodes; ++i) {
    records.push_back(
        {.id = decision::membership::MemberId{base::HashWords({i})},
         .kind = decision::membership::MemberKind::kBalancer,
         .state = decision::membership::MemberState::kReady,
         .incarnation = base::Incarnation{1},
         .sequence = 1,
         .address = AddressOf(i)});
  }
  for (size_t i = 0; i < nodes; ++i) {
    m_nodes.push_back(
        std::make_unique<decision::membership::Gossip>(records[i], seed + i));
    for (const decision::membership::MemberRecord& record : records) {
      m_nodes.back()->LearnWithoutSpreading(record);
    }
  }
}

void FakeLinks::Run(uint32_t rounds) {
  for (uint32_t round = 0; round < rounds; ++round) {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      Deliver(i, m_nodes[i]->OnRound());
    }
  }
}

void FakeLinks::Deliver(
    size_t from,
    const std::vector<decision::membership::GossipSend>& sends) {
  for (const decision::membership::GossipSend& send : sends) {
    ++m_traffic.messages;
    m_traffic.bytes += wire::EncodeControl(send.message, kKeys).size();
    size_t to = IndexOf(send.to);
    bool partitioned =
        m_partition != 0 && (from < m_partition) != (to < m_partition);
    if (partitioned || m_random() % 100 < m_loss_percent) {
      continue;
    }
    Deliver(to, m_nodes[to]->OnMessage(send.message, AddressOf(from)));
  }
}

uint32_t FakeLinks::RunUntilAllKnow(
    const decision::membership::MemberRecord& record,
    uint32_t limit) {
  for (uint32_t round = 0; round < limit; ++round) {
    bool all = true;
    for (const auto& node : m_nodes) {
      const decision::membership::MemberRecord* held =
          node->directory().Find(record.id);
      all = all && held != nullptr && *held == record;
    }
    if (all) {
      return round;
    }
    Run(1);
  }
  return limit;
}

}  // namespace filberthollow::testing
