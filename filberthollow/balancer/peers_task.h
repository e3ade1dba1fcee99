// The peers service of a balancer: exchanges snapshots with other balancers by
// Cap'n Proto RPC over TCP. It owns the TCP listener and a KJ event loop.
//
// A balancer that has just started, or whose configuration is older than a
// peer's, fetches a snapshot of all member records and configuration objects
// from one peer. Gossip alone would take a hundred rounds, and the platform is
// not needed. A balancer without keys also receives the fleet's keys, encrypted
// with the join key, if both balancers have the same join key.
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

// PeersTask runs the peers service.
class PeersTask final : public kernel::Task {
 public:
  // `listener` is a listening TCP socket, which belongs to the task from then
  // on. `join_key` is the shared secret with which a balancer without keys may
  // request them.
  PeersTask(kernel::Registry& registry,
            int listener,
            std::optional<flow::Key> join_key);
  ~PeersTask() override;

  void Run() override;
  void Stop() override;

 private:
  // The KJ event loop with the RPC server and the calls in progress.
  struct Rpc;

  // Wakes Run(); may be called from any thread.
  void Wake();
  void HandleInbox();
  void Handle(const config::KeysChanged& m);
  void Handle(const FetchSnapshot& m);
  void Handle(const RecordsReply& m);
  void Handle(const ObjectsChanged& m);
  void Handle(const admin::ReportQuery& m);

  // Decodes a peer's answer and posts its content to the config and members
  // services. `nonce` is that of the request.
  void OnSnapshot(std::string_view bytes, uint64_t nonce);
  // Returns the sealed answer to a snapshot request.
  std::string EncodeAnswer(
      const wire::SnapshotRequest& request,
      std::vector<decision::membership::MemberRecord> records) const;
  // Returns the keys that seal this balancer's snapshot requests and the
  // answers to them: the fleet's keys, or the join key while there are none.
  // Empty if there is neither.
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
