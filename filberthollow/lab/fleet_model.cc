#include "filberthollow/lab/fleet_model.h"

#include <algorithm>
#include <utility>

#include "filberthollow/lab/caller_model.h"
#include "filberthollow/lab/fleet_nodes.h"

namespace filberthollow::lab {
namespace {

namespace flows = decision::flows;
namespace load = decision::load;
using base::Millis;

constexpr const char* kService = "service";
constexpr uint32_t kBalancerIp = 0x0b000000;
constexpr uint32_t kAgentIp = 0x0c000000;
constexpr uint16_t kPort = 7000;
constexpr Millis kReportInterval{200};
// What a node may spend on reports, and the size of one; the report interval
// grows with the number of balancers accordingly.
constexpr int64_t kControlBytesPerSecond = 3000;
constexpr int64_t kReportBytes = 150;
constexpr Millis kHeartbeatInterval{770};
constexpr Millis kReadinessInterval{500};
constexpr uint32_t kMissesUntilOut = 2;
constexpr Millis kHealthCheckTime{2};
constexpr uint32_t kConnections = 100'000;

std::shared_ptr<const flows::RouteTable> MakeRoutes(const Pattern& pattern) {
  settings::Tree tree;
  tree.services[kService].overrides.connections = kConnections;
  std::vector<settings::Route> routes;
  for (uint32_t i = 0; i < pattern.kinds.size(); ++i) {
    const RequestKind& kind = pattern.kinds[i];
    routes.push_back({.name = kind.name,
                      .address = RouteOf(i),
                      .idempotent = kind.idempotent,
                      .priority = kind.priority,
                      .latency_goal_ms = kind.goal_ms,
                      .timeout_ms = kind.timeout_ms,
                      .shares = {{kService, 1}}});
  }
  return std::make_shared<const flows::RouteTable>(1, tree, routes);
}

}  // namespace

class FleetModel::LiveChoice final : public load::UpstreamChoice {
 public:
  LiveChoice(const FleetModel& fleet, const load::UpstreamChoice& choice)
      : m_fleet(fleet), m_choice(choice) {}

  std::optional<size_t> Choose(
      std::span<const load::UpstreamCandidate> candidates,
      const load::ChoiceContext& context) const override {
    std::vector<load::UpstreamCandidate> live(candidates.begin(),
                                              candidates.end());
    for (load::UpstreamCandidate& candidate : live) {
      const Agent& agent =
          *m_fleet.m_agents[m_fleet.m_agent_at.at(candidate.agent)];
      if (agent.gate != nullptr) {
        candidate.load = agent.gate->Report(m_fleet.m_engine.Now()).load;
        candidate.placed_since_load = 0;
      }
    }
    return m_choice.Choose(live, context);
  }

 private:
  const FleetModel& m_fleet;
  const load::UpstreamChoice& m_choice;
};

FleetModel::FleetModel(Engine& engine,
                       const Pattern& pattern,
                       const Policy& policy,
                       uint64_t seed,
                       ToCaller to_caller,
                       ResetCaller reset_caller)
    : m_engine(engine),
      m_pattern(pattern),
      m_policy(policy),
      m_to_caller(std::move(to_caller)),
      m_reset_caller(std::move(reset_caller)),
      m_losses(seed, "losses"),
      m_routes(MakeRoutes(pattern)),
      m_report_interval(std::max(kReportInterval,
                                 Millis(pattern.balancers * kReportBytes *
                                        1000 / kControlBytesPerSecond))) {
  if (policy.perfect_knowledge) {
    m_live_choice = std::make_unique<LiveChoice>(*this, *policy.choice);
  }
  for (uint32_t i = 0; i < pattern.balancers; ++i) {
    auto balancer = std::make_unique<Balancer>();
    balancer->address = {kBalancerIp + i, kPort};
    balancer->data_centre = i % pattern.data_centres;
    m_balancers.push_back(std::move(balancer));
  }
  for (uint32_t i = 0; i < pattern.upstreams; ++i) {
    auto agent = std::make_unique<Agent>();
    agent->address = {kAgentIp + i, kPort};
    agent->data_centre = i % pattern.data_centres;
    agent->upstream = std::make_unique<UpstreamModel>(
        engine, m_pattern, seed + i, [this, i](const LabPacket& packet) {
          // The upstream's packets pass through its agent after this call.
          m_engine.After(Millis(0),
                         [this, i, packet] { FromUpstream(i, packet); });
        });
    if (!pattern.speeds.empty()) {
      agent->upstream->SetSpeedPercent(
          pattern.speeds[i % pattern.speeds.size()].percent);
    }
    m_agent_at[agent->address] = i;
    m_agents.push_back(std::move(agent));
  }
}

FleetModel::~FleetModel() = default;

void FleetModel::Start() {
  for (size_t i = 0; i < m_agents.size(); ++i) {
    m_agents[i]->upstream->Start(false);
    StartAgent(i);
  }
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    StartBalancer(i);
  }
  CheckReadiness();
  for (const PatternEvent& event : m_pattern.events) {
    Schedule(event);
  }
}

bool FleetModel::IsPacketLost() {
  return m_pattern.loss_per_mille > 0 &&
         m_losses.Chance(m_pattern.loss_per_mille / 1000.0);
}

void FleetModel::Deliver(Engine::Action action) {
  if (!IsPacketLost()) {
    m_engine.After(Millis(m_pattern.delay_ms), std::move(action));
  }
}

void FleetModel::FromCaller(const LabPacket& packet, uint32_t data_centre) {
  std::vector<size_t> local;
  std::vector<size_t> all;
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    if (m_balancers[i]->misses < kMissesUntilOut) {
      all.push_back(i);
      if (m_balancers[i]->data_centre == data_centre) {
        local.push_back(i);
      }
    }
  }
  const std::vector<size_t>& usable = local.empty() ? all : local;
  if (usable.empty()) {
    return;
  }
  size_t hash = flow::FlowEndsHash{}(packet.header.FromCaller()) >> 8;
  size_t index = usable[hash % usable.size()];
  Deliver([this, index, packet] {
    Balancer& balancer = *m_balancers[index];
    if (balancer.router != nullptr) {
      balancer.router->OnCallerPacket(PackBytes(packet), packet.header,
                                      m_engine.Now(), balancer.actions);
      ApplyRouter(index);
    }
  });
}

void FleetModel::StartBalancer(size_t index) {
  Balancer& balancer = *m_balancers[index];
  ++balancer.run;
  const load::UpstreamChoice& choice =
      m_live_choice ? *m_live_choice : *m_policy.choice;
  balancer.router = std::make_unique<flows::FlowRouter>(balancer.data_centre,
                                                        m_engine.Now(), choice);
  balancer.next_tick = base::kNever;
  Millis wait = std::max(m_routes_available_at - m_engine.Now(), Millis(0));
  m_engine.After(wait, [this, index, run = balancer.run] {
    if (m_balancers[index]->run == run) {
      GiveRoutes(index);
    }
  });
  ApplyRouter(index);
}

void FleetModel::GiveRoutes(size_t balancer) {
  if (m_balancers[balancer]->router != nullptr) {
    m_balancers[balancer]->router->SetRoutes(m_routes);
  }
}

void FleetModel::StopBalancer(size_t index) {
  ++m_balancers[index]->run;
  m_balancers[index]->router.reset();
  m_balancers[index]->actions.clear();
}

void FleetModel::StartAgent(size_t index) {
  Agent& agent = *m_agents[index];
  ++agent.run;
  agent.gate = std::make_unique<flows::UpstreamGate>(
      flows::GateOptions{.service = base::ServiceIdOf(kService),
                         .data_centre = agent.data_centre,
                         .first_start = m_engine.Now() == Millis(0),
                         .heartbeat_interval = kHeartbeatInterval,
                         .queue_order = m_policy.order},
      m_engine.Now());
  agent.next_tick = base::kNever;
  if (m_engine.Now() >= m_routes_available_at) {
    agent.gate->SetRoutes(m_routes);
  }
  // Heartbeats of an upstream are not in step with the start of its agent.
  Heartbeat(index, agent.run);
  Report(index, agent.run);
  ApplyGate(index);
}

void FleetModel::StopAgent(size_t index) {
  ++m_agents[index]->run;
  m_agents[index]->gate.reset();
  m_agents[index]->actions.clear();
}

void FleetModel::Heartbeat(size_t index, uint64_t run) {
  Agent& agent = *m_agents[index];
  if (agent.run != run) {
    return;
  }
  const UpstreamModel& upstream = *agent.upstream;
  if (upstream.alive()) {
    agent.gate->OnHeartbeat(
        {.id = "upstream-" + std::to_string(upstream.run()),
         .service = kService,
         .started = Millis(static_cast<int64_t>(upstream.run())),
         .sequence = ++agent.sequence,
         .state = upstream.draining() ? flows::UpstreamState::kDraining
                                      : flows::UpstreamState::kReady,
         .slots = m_pattern.slots,
         .cold_remaining = upstream.ColdTimeLeft()},
        m_engine.Now(), agent.actions);
    ApplyGate(index);
  }
  m_engine.After(kHeartbeatInterval,
                 [this, index, run] { Heartbeat(index, run); });
}

void FleetModel::Report(size_t index, uint64_t run) {
  if (m_agents[index]->run != run) {
    return;
  }
  SendReport(index);
  m_engine.After(m_report_interval, [this, index, run] { Report(index, run); });
}

void FleetModel::SendReport(size_t index) {
  Agent& agent = *m_agents[index];
  flows::UpstreamReport report = agent.gate->Report(m_engine.Now());
  report.interval = m_report_interval;
  // Lost reports are not repeated; the lab models load, not discovery.
  report.confirmation = flows::ReportConfirmation::kReceived;
  if (agent.lies) {
    report.load.in_flight = 0;
    report.load.in_flight_mean = 0;
  }
  for (size_t i = 0; i < m_balancers.size(); ++i) {
    Deliver([this, i, report, from = agent.address] {
      if (m_balancers[i]->router != nullptr) {
        m_balancers[i]->router->OnReport(report, from, m_engine.Now());
      }
    });
  }
}

void FleetModel::CheckReadiness() {
  for (const auto& balancer : m_balancers) {
    bool ready = balancer->router != nullptr &&
                 balancer->router->IsReady(m_engine.Now());
    bool starting = m_engine.Now() == Millis(0);
    balancer->misses = ready || starting ? 0 : balancer->misses + 1;
  }
  m_engine.After(kReadinessInterval, [this] { CheckReadiness(); });
}

void FleetModel::TickBalancer(size_t index, uint64_t run) {
  Balancer& balancer = *m_balancers[index];
  if (balancer.run != run || m_engine.Now() < balancer.next_tick) {
    return;
  }
  balancer.next_tick = base::kNever;
  balancer.router->OnTick(m_engine.Now(), balancer.actions);
  ApplyRouter(index);
}

void FleetModel::TickAgent(size_t index, uint64_t run) {
  Agent& agent = *m_agents[index];
  if (agent.run != run || m_engine.Now() < agent.next_tick) {
    return;
  }
  agent.next_tick = base::kNever;
  agent.gate->OnTick(m_engine.Now(), agent.actions);
  ApplyGate(index);
}

void FleetModel::ToAgent(base::Address address,
                         std::function<void(Agent&, size_t)> action) {
  auto found = m_agent_at.find(address);
  if (found == m_agent_at.end()) {
    return;
  }
  Deliver([this, index = found->second, action = std::move(action)] {
    if (m_agents[index]->gate != nullptr) {
      action(*m_agents[index], index);
      ApplyGate(index);
    }
  });
}

void FleetModel::ToBalancer(base::Address address,
                            std::function<void(Balancer&, size_t)> action) {
  size_t index = address.ip - kBalancerIp;
  Deliver([this, index, action = std::move(action)] {
    if (m_balancers[index]->router != nullptr) {
      action(*m_balancers[index], index);
      ApplyRouter(index);
    }
  });
}

void FleetModel::ApplyRouter(size_t index) {
  Balancer& balancer = *m_balancers[index];
  for (flows::RouterAction& action : std::exchange(balancer.actions, {})) {
    if (auto* forward = std::get_if<flows::SendForward>(&action)) {
      ToAgent(forward->agent, [this, message = std::move(forward->message),
                               from = balancer.address](Agent& agent, size_t) {
        // The agents of the model report to all balancers from the start.
        agent.gate->OnForward(message, UnpackBytes(message.packet).header,
                              {.balancer = from, .has_report = true},
                              m_engine.Now(), agent.actions);
      });
    } else if (auto* locate = std::get_if<flows::SendLocate>(&action)) {
      ToAgent(locate->agent, [this, message = std::move(locate->message),
                              from = balancer.address](Agent& agent, size_t) {
        agent.gate->OnLocate(message, from, m_engine.Now(), agent.actions);
      });
    } else if (auto* reset = std::get_if<flows::ResetCaller>(&action)) {
      Deliver([this, ends = reset->flow] { m_reset_caller(ends); });
    }
  }
  Millis next = m_engine.Now() + balancer.router->TickDelay();
  if (next < balancer.next_tick) {
    balancer.next_tick = next;
    m_engine.At(
        next, [this, index, run = balancer.run] { TickBalancer(index, run); });
  }
}

void FleetModel::ApplyGate(size_t index) {
  Agent& agent = *m_agents[index];
  for (flows::GateAction& action : std::exchange(agent.actions, {})) {
    if (auto* deliver = std::get_if<flows::DeliverToUpstream>(&action)) {
      agent.upstream->Receive(UnpackBytes(deliver->packet));
    } else if (auto* answer = std::get_if<flows::DeliverToCaller>(&action)) {
      Deliver([this, packet = UnpackBytes(answer->packet)] {
        m_to_caller(packet);
      });
    } else if (auto* reset = std::get_if<flows::ResetCaller>(&action)) {
      Deliver([this, ends = reset->flow] { m_reset_caller(ends); });
    } else if (auto* reply = std::get_if<flows::AnswerBalancer>(&action)) {
      ToBalancer(reply->balancer,
                 [this, message = std::move(reply->answer),
                  from = agent.address](Balancer& balancer, size_t) {
                   flow::PacketHeader header;
                   if (!message.packet.empty()) {
                     header = UnpackBytes(message.packet).header;
                   }
                   balancer.router->OnAnswer(message, header, from,
                                             m_engine.Now(), balancer.actions);
                 });
    } else if (auto* located = std::get_if<flows::AnswerLocate>(&action)) {
      ToBalancer(located->balancer,
                 [this, message = std::move(located->answer),
                  from = agent.address](Balancer& balancer, size_t) {
                   balancer.router->OnLocated(message, from, m_engine.Now(),
                                              balancer.actions);
                 });
    } else if (auto* waited = std::get_if<flows::RequestWaited>(&action)) {
      agent.waited = agent.waited + waited->waited;
    } else if (std::holds_alternative<flows::RequestAnswered>(action)) {
      ++agent.answers;
    } else if (std::holds_alternative<flows::CheckUpstream>(action)) {
      m_engine.After(kHealthCheckTime, [this, index, run = agent.run] {
        Agent& checked = *m_agents[index];
        if (checked.run == run) {
          checked.gate->OnHealthCheck(checked.upstream->alive(), m_engine.Now(),
                                      checked.actions);
          ApplyGate(index);
        }
      });
    } else if (std::holds_alternative<flows::ReportNow>(action)) {
      SendReport(index);
    }
  }
  Millis next = m_engine.Now() + agent.gate->TickDelay();
  if (next < agent.next_tick) {
    agent.next_tick = next;
    m_engine.At(next,
                [this, index, run = agent.run] { TickAgent(index, run); });
  }
}

void FleetModel::FromUpstream(size_t index, const LabPacket& packet) {
  Agent& agent = *m_agents[index];
  if (agent.gate != nullptr) {
    agent.gate->OnUpstreamPacket(PackBytes(packet), packet.header,
                                 m_engine.Now(), agent.actions);
    ApplyGate(index);
  }
}

}  // namespace filberthollow::lab
