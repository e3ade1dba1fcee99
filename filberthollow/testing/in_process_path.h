// A simulation of the whole path from callers through balancers to targets, in
// one process and one thread. The decision objects are those of production;
// links, upstreams and the clock are fakes.
//
// Messages are sent as JSON text over links that can delay, lose, duplicate and
// reorder them. Random choices depend on the seed alone, so that a run can be
// repeated. The simulated time advances only in Run(). The fake upstream of
// each target logs the requests that it ran.
//
//   InProcessPath path({.loss_percent = 10}, /*seed=*/7);
//   path.AddTarget("desk", {.admission = {.slots = 4}});
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
#include "filberthollow/decision/flows/router.h"
#include "filberthollow/decision/flows/target_flows.h"

namespace filberthollow::testing {

// LinkFaults are the faults of the links between caller and router and between
// router and agent. A reply that a router itself sends to a caller arrives at
// once and is never lost.
struct LinkFaults {
  uint32_t loss_percent = 0;
  uint32_t repeat_percent = 0;  // of messages sent twice
  base::Millis min_delay{1};
  base::Millis max_delay{1};
};

class InProcessPath {
 public:
  // A target: the flows of an agent, and the upstream beside it.
  struct Target {
    std::string service;
    std::unique_ptr<decision::flows::TargetFlows> flows;
    base::Millis work_time{5};  // duration of each request at the upstream
    size_t answer_bytes = 0;    // padding added to each answer
    bool crashed = false;       // neither handles messages nor sends any
    std::map<std::string, uint32_t> runs;  // started requests by path
    uint64_t retry_runs = 0;  // started requests that were not first attempts
    std::vector<decision::load::RequestId> cancelled;
  };
  // A caller with one flow client.
  struct Client {
    base::Address address;
    std::unique_ptr<caller::FlowClient> flow;
    base::Millis timer = base::kNever;  // next scheduled OnTimer() call
    std::vector<caller::Outcome> outcomes;
    std::map<uint64_t, caller::CallerRequest>
        jobs;  // submitted jobs by identifier
  };

  InProcessPath(LinkFaults faults, uint64_t seed);

  // The references that the Add functions return stay valid as long as this
  // object. A router knows a target only after PublishView().
  Target& AddTarget(const std::string& service,
                    decision::flows::TargetLimits limits);
  // Adds a router that knows the targets added so far. Each message of a caller
  // goes to a router drawn at random.
  decision::flows::Router& AddRouter();
  Client& AddClient(const std::string& service,
                    caller::ClientOptions options = {});
  // Gives router `index` a view of the targets that are ready and not crashed.
  void PublishView(size_t index);
  // Restarts a target: it loses all flows and gets a new incarnation and
  // default limits. Routers learn of it by PublishView().
  void Restart(Target& target);

  // Submits a job at the current simulated time. Its outcome is appended to
  // `client.outcomes`, at once or in a later Run().
  void Submit(Client& client, const caller::CallerRequest& job);
  // Advances the simulated time by `span` and handles all events in between.
  void Run(base::Millis span);

  base::Millis now() const { return m_now; }
  std::vector<std::unique_ptr<Target>>& targets() { return m_targets; }
  std::vector<std::unique_ptr<Client>>& clients() { return m_clients; }
  const flow::KeyRing& keys() const { return m_keys; }
  // Returns how often requests for `path` were started, over all targets.
  uint32_t RunsOf(const std::string& path) const;

 private:
  using Event = std::function<void()>;

  void Schedule(base::Millis when, Event event);
  // Schedules `deliver` after a random delay, twice for a duplicated message
  // and not at all for a lost one.
  void SendOverLink(const Event& deliver);
  void Perform(Client& client, const caller::ClientOutput& output);
  void Perform(Target& target, const decision::flows::AgentActions& actions);
  void DeliverToRouter(base::Address caller, const std::string& text);
  void DeliverToClient(base::Address caller, const std::string& text);
  void DeliverToAgent(base::Address agent, const flow::RelayedUp& message);
  // Reports the answer of an upstream to its agent, unless the target has
  // crashed or has been restarted since `incarnation`.
  void FinishRequest(Target& target,
                     base::Incarnation incarnation,
                     const decision::flows::UpstreamRequest& request);

  const LinkFaults m_faults;
  std::mt19937_64 m_random;
  flow::KeyRing m_keys;
  base::Millis m_now{1000};
  std::multimap<base::Millis, Event> m_events;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::vector<std::unique_ptr<decision::flows::Router>> m_routers;
  std::vector<std::unique_ptr<Client>> m_clients;
  uint64_t m_next_incarnation = 1;
  uint64_t m_next_job = 1;
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_IN_PROCESS_PATH_H_
