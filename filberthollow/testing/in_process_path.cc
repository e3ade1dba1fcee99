#include "filberthollow/testing/in_process_path.h"

#include "filberthollow/testing/json_front_end.h"

namespace filberthollow::testing {
namespace {

using base::Millis;

constexpr uint32_t kAgentIp = 0x0a000001;
constexpr uint32_t kCallerIp = 0x0a010001;
constexpr base::Address kRouterAddress{0x0a020001, 1};
constexpr Millis kTickInterval{50};

}  // namespace

InProcessPath::InProcessPath(LinkFaults faults, uint64_t seed)
    : m_faults(faults), m_random(seed), m_keys({flow::Key{1, {1, 2, 3, 4}}}) {}

InProcessPath::Target& InProcessPath::AddTarget(
    const std::string& service,
    decision::flows::TargetLimits limits) {
  auto index = static_cast<uint16_t>(m_targets.size() + 1);
  auto target = std::make_unique<Target>();
  target->service = service;
  target->flows = std::make_unique<decision::flows::TargetFlows>(
      decision::flows::TargetIdentity{base::ServiceIdOf(service),
                                      base::TargetId{index},
                                      base::Incarnation{m_next_incarnation++},
                                      {kAgentIp, index}},
      limits, m_keys);
  target->flows->SetReadiness(decision::flows::Readiness::kReady);
  m_targets.push_back(std::move(target));
  return *m_targets.back();
}

void InProcessPath::Restart(Target& target) {
  decision::flows::TargetIdentity identity = target.flows->identity();
  identity.incarnation = base::Incarnation{m_next_incarnation++};
  target.flows = std::make_unique<decision::flows::TargetFlows>(
      identity, decision::flows::TargetLimits{}, m_keys);
  target.flows->SetReadiness(decision::flows::Readiness::kReady);
  target.crashed = false;
}

decision::flows::Router& InProcessPath::AddRouter() {
  m_routers.push_back(std::make_unique<decision::flows::Router>(m_keys));
  PublishView(m_routers.size() - 1);
  return *m_routers.back();
}

void InProcessPath::PublishView(size_t index) {
  decision::flows::TargetView view;
  for (const auto& target : m_targets) {
    decision::flows::ServiceView& service =
        view.services[base::ServiceIdOf(target->service)];
    const decision::flows::TargetIdentity& identity = target->flows->identity();
    bool takes_flows =
        !target->crashed &&
        target->flows->readiness() == decision::flows::Readiness::kReady;
    if (takes_flows) {
      service.candidates.push_back(
          {identity.target, identity.incarnation, identity.agent, 100, 0});
    }
  }
  m_routers[index]->SetView(view);
}

InProcessPath::Client& InProcessPath::AddClient(const std::string& service,
                                                caller::ClientOptions options) {
  auto client = std::make_unique<Client>();
  auto port = static_cast<uint16_t>(m_clients.size() + 1);
  client->address = {kCallerIp, port};
  options.seed = port;
  client->flow =
      std::make_unique<caller::FlowClient>(base::ServiceIdOf(service), options);
  m_clients.push_back(std::move(client));
  return *m_clients.back();
}

void InProcessPath::Submit(Client& client, const caller::CallerRequest& job) {
  uint64_t id = m_next_job++;
  client.jobs[id] = job;
  Perform(client, client.flow->Submit(id, job, m_now));
}

void InProcessPath::Schedule(Millis when, Event event) {
  m_events.emplace(when, std::move(event));
}

void InProcessPath::SendOverLink(const Event& deliver) {
  uint32_t copies = m_random() % 100 < m_faults.repeat_percent ? 2 : 1;
  for (uint32_t i = 0; i < copies; ++i) {
    if (m_random() % 100 < m_faults.loss_percent) {
      continue;
    }
    std::uniform_int_distribution<int64_t> delay(m_faults.min_delay.count(),
                                                 m_faults.max_delay.count());
    Schedule(m_now + Millis(delay(m_random)), deliver);
  }
}

void InProcessPath::Run(Millis span) {
  Millis end = m_now + span;
  for (Millis tick = m_now; tick < end; tick = tick + kTickInterval) {
    Schedule(tick, [this] {
      for (auto& target : m_targets) {
        if (!target->crashed) {
          Perform(*target, target->flows->OnTick(m_now));
        }
      }
    });
  }
  while (!m_events.empty() && m_events.begin()->first <= end) {
    auto event = m_events.extract(m_events.begin());
    m_now = std::max(m_now, event.key());
    event.mapped()();
  }
  m_now = end;
}

void InProcessPath::Perform(Client& client,
                            const caller::ClientOutput& output) {
  for (const flow::Up& message : output.sends) {
    SendOverLink([this, caller = client.address, text = EncodeJson(message)] {
      DeliverToRouter(caller, text);
    });
  }
  for (const caller::Outcome& outcome : output.outcomes) {
    client.outcomes.push_back(outcome);
  }
  Millis next = client.flow->NextTimer();
  if (next < client.timer || client.timer < m_now) {
    client.timer = next;
    Schedule(next, [this, &client] {
      client.timer = base::kNever;
      Perform(client, client.flow->OnTimer(m_now));
    });
  }
}

void InProcessPath::DeliverToRouter(base::Address caller,
                                    const std::string& text) {
  flow::Up message = DecodeUpJson(text);
  decision::flows::Router& router = *m_routers[m_random() % m_routers.size()];
  decision::flows::Route route = router.RouteMessage(message, caller, m_now);
  if (auto* forward = std::get_if<decision::flows::ForwardToAgent>(&route)) {
    SendOverLink([this, agent = forward->agent,
                  relayed = flow::RelayedUp{caller, forward->flow, message}] {
      DeliverToAgent(agent, relayed);
    });
  } else if (auto* reply =
                 std::get_if<decision::flows::ReplyToCaller>(&route)) {
    DeliverToClient(caller, EncodeJson(reply->message));
  }
}

void InProcessPath::DeliverToAgent(base::Address agent,
                                   const flow::RelayedUp& message) {
  for (auto& target : m_targets) {
    if (target->flows->identity().agent == agent && !target->crashed) {
      Perform(*target, target->flows->OnMessage(
                           message, {message.caller, kRouterAddress}, m_now));
    }
  }
}

void InProcessPath::Perform(Target& target,
                            const decision::flows::AgentActions& actions) {
  for (const decision::flows::OutgoingMessage& send : actions.sends) {
    SendOverLink([this, caller = send.message.caller,
                  text = EncodeJson(send.message.message)] {
      DeliverToClient(caller, text);
    });
  }
  for (const decision::flows::UpstreamRequest& request : actions.starts) {
    ++target.runs[request.path];
    target.retry_runs += request.attempt > 1 ? 1 : 0;
    Schedule(m_now + target.work_time,
             [this, &target, request,
              incarnation = target.flows->identity().incarnation] {
               FinishRequest(target, incarnation, request);
             });
  }
  target.cancelled.insert(target.cancelled.end(), actions.cancels.begin(),
                          actions.cancels.end());
}

void InProcessPath::FinishRequest(
    Target& target,
    base::Incarnation incarnation,
    const decision::flows::UpstreamRequest& request) {
  if (target.crashed || target.flows->identity().incarnation != incarnation) {
    return;
  }
  std::string body = target.service + " " + request.path +
                     std::string(target.answer_bytes, '.');
  Perform(target, target.flows->OnResult(
                      {request.request_id,
                       decision::flows::UpstreamResult::kAnswered, 200, body},
                      m_now));
}

void InProcessPath::DeliverToClient(base::Address caller,
                                    const std::string& text) {
  for (auto& client : m_clients) {
    if (client->address == caller) {
      Perform(*client, client->flow->OnDown(DecodeDownJson(text), m_now));
    }
  }
}

uint32_t InProcessPath::RunsOf(const std::string& path) const {
  uint32_t runs = 0;
  for (const auto& target : m_targets) {
    auto found = target->runs.find(path);
    runs += found == target->runs.end() ? 0 : found->second;
  }
  return runs;
}

}  // namespace filberthollow::testing
