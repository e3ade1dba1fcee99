// A fleet of balancers and agents for passed-through flows: the production
// decision code (FlowRouter, UpstreamGate) over modelled paths, upstreams and a
// fabric that may hand any packet to any balancer.
//
//   FleetModel fleet(engine, pattern, policy, seed, to_caller, reset_caller);
//   fleet.Start();
//   fleet.FromCaller(packet, data_centre);
#ifndef FILBERTHOLLOW_LAB_FLEET_MODEL_H_
#define FILBERTHOLLOW_LAB_FLEET_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "filberthollow/decision/flows/flow_router.h"
#include "filberthollow/decision/flows/upstream_gate.h"
#include "filberthollow/lab/engine.h"
#include "filberthollow/lab/packet.h"
#include "filberthollow/lab/pattern.h"
#include "filberthollow/lab/upstream_model.h"

namespace filberthollow::lab {

// Policy names the strategies that a fleet uses.
struct Policy {
  std::string name;
  const decision::load::UpstreamChoice* choice =
      &decision::load::DefaultUpstreamChoice();
  const decision::load::QueueOrder* order =
      &decision::load::DefaultQueueOrder();
  // The choice sees the load of every upstream at the moment of the choice.
  bool perfect_knowledge = false;
  friend bool operator==(const Policy&, const Policy&) = default;
};

class FleetModel {
 public:
  using ToCaller = std::function<void(const LabPacket&)>;
  using ResetCaller = std::function<void(const flow::FlowEnds&)>;

  FleetModel(Engine& engine,
             const Pattern& pattern,
             const Policy& policy,
             uint64_t seed,
             ToCaller to_caller,
             ResetCaller reset_caller);
  ~FleetModel();

  // Starts all upstreams, agents and balancers, and schedules the events.
  void Start();
  // Hands a caller's packet to a balancer of its data centre.
  void FromCaller(const LabPacket& packet, uint32_t data_centre);

  // Returns the work that the upstreams can do in a millisecond, in
  // milliseconds of a warm slot.
  double Capacity() const;
  // Returns the work that each upstream has done.
  std::vector<uint64_t> WorkDone() const;
  // Returns the time that the slots of each upstream have spent on work, in ms.
  std::vector<uint64_t> BusyTimes() const;
  // Returns the highest mean time, over the agents, that a request has waited
  // at an agent for a slot, in ms.
  double WorstMeanWait() const;

 private:
  struct Balancer;
  struct Agent;
  // LiveChoice passes the present loads of the upstreams to another choice.
  class LiveChoice;

  bool IsPacketLost();
  void Deliver(Engine::Action action);
  // Processes.
  void StartBalancer(size_t index);
  void StartAgent(size_t index);
  void StopBalancer(size_t index);
  void StopAgent(size_t index);
  void GiveRoutes(size_t balancer);
  void TickBalancer(size_t index, uint64_t run);
  void TickAgent(size_t index, uint64_t run);
  void Heartbeat(size_t agent, uint64_t run);
  void Report(size_t agent, uint64_t run);
  void SendReport(size_t agent);
  void CheckReadiness();
  // Decisions.
  void ApplyRouter(size_t balancer);
  void ApplyGate(size_t agent);
  void FromUpstream(size_t agent, const LabPacket& packet);
  void ToAgent(base::Address address,
               std::function<void(Agent&, size_t index)> action);
  void ToBalancer(base::Address address,
                  std::function<void(Balancer&, size_t index)> action);
  // Events; see fleet_events.cc.
  void Schedule(const PatternEvent& event);
  void Begin(const PatternEvent& event);
  void End(const PatternEvent& event);
  // Starts what an event does to one upstream.
  void Disturb(const PatternEvent& event, size_t agent);
  // Returns whether an event takes away the hosts of a data centre.
  static bool IsLost(const PatternEvent& event, uint32_t data_centre);
  void Release(size_t agent);

  Engine& m_engine;
  const Pattern m_pattern;
  const Policy m_policy;
  ToCaller m_to_caller;
  ResetCaller m_reset_caller;
  RandomStream m_losses;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::unordered_map<base::Address, size_t, base::AddressHash> m_agent_at;
  std::unique_ptr<LiveChoice> m_live_choice;
  std::shared_ptr<const decision::flows::RouteTable> m_routes;
  base::Millis m_routes_available_at{0};
  base::Millis m_report_interval;
};

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_FLEET_MODEL_H_
