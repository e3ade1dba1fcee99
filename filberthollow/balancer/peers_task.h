// The peers service of a balancer: bulk catch-up with other balancers by Cap'n
// Proto RPC over TCP. It owns the listener and a KJ event loop.
//
// A balancer that has just started, or that finds itself behind, fetches a
// snapshot of all records and configuration objects from one peer, so that it
// needs neither a hundred gossip rounds nor the platform. A balancer with a
// join key can also be given the fleet's keys, encrypted.
#ifndef FILBERTHOLLOW_BALANCER_PEERS_TASK_H_
#define FILBERTHOLLOW_BALANCER_PEERS_TASK_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "filberthollow/balancer/peers_messages.h"
#include "filberthollow/kernel/kernel.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/wire/peer_codec.h"

namespace filberthollow::balancer {

class PeersTask final : public kernel::Task {
 public:
  // `listener` is a listening TCP socket; the task takes it over. `join_key`
  // is the secret by which a balancer without keys may ask for them.
  PeersTask(kernel::Registry& registry,
            int listener,
            std::optional<flow::Key> join_key);
  ~PeersTask() override;

  void Run() override;
  void Stop() override;

 private:
  struct Rpc;  // the KJ loop and what lives on it

  void Wake();
  void HandleInbox();
  void Handle(const config::KeysChanged& m);
  void Handle(const FetchSnapshot& m);
  void Handle(const RecordsReply& m);
  void Handle(const ObjectsChanged& m);
  void Handle(const admin::ReportQuery& m);

  void OnSnapshot(std::string_view bytes, uint64_t nonce);
  // Returns the sealed answer to a snapshot request.
  std::string EncodeAnswer(const wire::SnapshotRequest& request,
                           std::vector<decision::MemberRecord> records) const;
  flow::KeyRing SnapshotKeys() const;

  kernel::Registry& m_registry;
  const int m_listener;
  const std::optional<flow::Key> m_join_key;
  int m_wake_read = -1;
  int m_wake_write = -1;
  std::atomic<bool> m_stop = false;
  std::shared_ptr<kernel::Inbox<PeersMessage>> m_inbox;
  std::unique_ptr<Rpc> m_rpc;

  flow::KeyRing m_keys;
  std::vector<platform::StoredObject> m_objects;
  std::mt19937_64 m_random;
  uint64_t m_last_query = 0;
  metrics::Metrics m_metrics;
};

}  // namespace filberthollow::balancer

#endif  // FILBERTHOLLOW_BALANCER_PEERS_TASK_H_
