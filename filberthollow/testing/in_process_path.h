// The whole path in one process: real decisions, fake links and upstreams.
//
// Messages travel as JSON text over links that can delay, lose, repeat and
// reorder them by a seeded random choice; time is driven by hand. Each target's
// fake upstream keeps a log of what it ran.
//
//   InProcessPath path({.loss_percent = 10}, /*seed=*/7);
//   path.AddTarget("desk", {.slots = 4});
//   path.AddRouter();
//   auto& client = path.AddClient("desk");
//   path.Submit(client, {.path = "/x"});
//   path.Run(Millis(10'000));
#ifndef FILBERTHOLLOW_TESTING_IN_PROCESS_PATH_H_
#define FILBERTHOLLOW_TESTING_IN_PROCESS_PATH_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "filberthollow/caller/flow_client.h"
#include "filberthollow/decision/router.h"
#include "filberthollow/decision/target_flows.h"

namespace filberthollow::testing {

// LinkFaults applies to every message between caller and agent.
struct LinkFaults {
  uint32_t loss_percent = 0;
  uint32_t repeat_percent = 0;
  base::Millis min_delay{1};
  base::Millis max_delay{1};
};

class InProcessPath {
 public:
  struct Target {
    std::string service;
    std::unique_ptr<decision::TargetFlows> flows;
    base::Millis work_time{5};  // that each request takes
    size_t answer_bytes = 0;    // added to each answer
    bool crashed = false;
    std::map<std::string, uint32_t> runs;  // by path
    uint64_t retry_runs = 0;               // runs of second and later attempts
    std::vector<decision::RequestId> cancelled;
  };
  struct Client {
    base::Address address;
    std::unique_ptr<caller::FlowClient> flow;
    base::Millis timer = base::kNever;
    std::vector<caller::Outcome> outcomes;
    std::map<uint64_t, caller::Job> jobs;
  };

  InProcessPath(LinkFaults faults, uint64_t seed);

  Target& AddTarget(const std::string& service, decision::TargetLimits limits);
  decision::Router& AddRouter();
  Client& AddClient(const std::string& service,
                    caller::ClientOptions options = {});
  // PublishView gives router `index` the present, living targets.
  void PublishView(size_t index);
  // Restart replaces a target's state as a crash and a new start would.
  void Restart(Target& target);

  void Submit(Client& client, const caller::Job& job);
  // Run handles everything that happens within `span`.
  void Run(base::Millis span);

  base::Millis now() const { return m_now; }
  std::vector<std::unique_ptr<Target>>& targets() { return m_targets; }
  std::vector<std::unique_ptr<Client>>& clients() { return m_clients; }
  const flow::KeyRing& keys() const { return m_keys; }
  // Returns how often a path ran, at all targets.
  uint32_t RunsOf(const std::string& path) const;

 private:
  using Event = std::function<void()>;

  void Schedule(base::Millis when, Event event);
  void SendOverLink(const Event& deliver);
  void Perform(Client& client, const caller::ClientOutput& output);
  void Perform(Target& target, const decision::AgentActions& actions);
  void DeliverToRouter(base::Address caller, const std::string& text);
  void DeliverToClient(base::Address caller, const std::string& text);
  void DeliverToAgent(base::Address agent, const flow::RelayedUp& message);
  void FinishRequest(Target& target,
                     base::Incarnation incarnation,
                     const decision::UpstreamRequest& request);

  const LinkFaults m_faults;
  std::mt19937_64 m_random;
  flow::KeyRing m_keys;
  base::Millis m_now{1000};
  std::multimap<base::Millis, Event> m_events;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::vector<std::unique_ptr<decision::Router>> m_routers;
  std::vector<std::unique_ptr<Client>> m_clients;
  uint64_t m_next_incarnation = 1;
  uint64_t m_next_job = 1;
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_IN_PROCESS_PATH_H_
