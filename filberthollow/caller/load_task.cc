#include "filberthollow/caller/load_task.h"

#include <fmt/format.h>

#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/wire/codec.h"

namespace filberthollow::caller {
namespace {

constexpr base::Address kAnyLoopbackPort{0x7f000001, 0};
constexpr uint64_t kPercent = 100;
constexpr uint16_t kFirstHttpError = 400;

}  // namespace

LoadTask::LoadTask(const base::Clock& clock,
                   kernel::Registry& registry,
                   LoadPlan plan)
    : LoopTask(clock, registry, "load"),
      m_plan(std::move(plan)),
      m_random(m_plan.seed) {}

void LoadTask::OnStart() {
  m_start_time = Now();
  for (uint32_t i = 0; i < m_plan.flows; ++i) {
    AddFlow();
  }
  for (auto& flow : m_flows) {
    for (uint32_t i = 0; i < m_plan.in_flight; ++i) {
      StartNextRequest(*flow);
    }
  }
}

void LoadTask::OnStopped() {
  m_result.took = Now() - m_start_time;
  for (auto& flow : m_flows) {
    Perform(*flow, flow->client->Close(Now()));
    m_result.flows_lost += flow->client->flows_lost();
    m_result.flows_moved += flow->client->flows_moved();
    for (size_t i = 0; i < flow::kReasonCount; ++i) {
      m_result.retries.at(i) += flow->client->retries().at(i);
    }
  }
}

void LoadTask::AddFlow() {
  auto socket = net::UdpSocket::Bind(kAnyLoopbackPort);
  if (!socket) {
    base::Log(base::Level::kError, "socket_failed",
              {{"error", socket.error().Text()}});
    return;
  }
  auto flow = std::make_unique<Flow>();
  flow->socket = *socket;
  flow->client = std::make_unique<FlowClient>(
      base::ServiceIdOf(m_plan.service), ClientOptions{.seed = m_random()});
  auto watched = flow->socket->Watch(
      loop(),
      [this, raw = flow.get()](auto bytes, auto) { OnDatagram(*raw, bytes); });
  if (watched) {
    m_flows.push_back(std::move(flow));
  }
}

void LoadTask::OnDatagram(Flow& flow, std::string_view bytes) {
  wire::Decoded<flow::Down> message = wire::DecodeDown(bytes);
  if (message) {
    Perform(flow, flow.client->OnDown(*message, Now()));
  }
}

CallerRequest LoadTask::MakeRequest(uint64_t id, SentRequest& sent) {
  CallerRequest request{.timeout = m_plan.timeout};
  sent.tag = fmt::format("{}-{}", m_plan.seed, id);
  uint64_t random_percent = m_random() % kPercent;
  if (!m_plan.path.empty()) {
    request.path = m_plan.path;
  } else if (random_percent < m_plan.update_percent) {
    request.method = flow::Method::kPost;
    request.idempotent = false;
    request.body = fmt::format("{{\"measurement\": {}}}", id);
    request.path =
        fmt::format("/update?ms={}&tag={}", m_plan.work_ms, sent.tag);
  } else if (random_percent < m_plan.update_percent + m_plan.drawing_percent) {
    request.path = fmt::format("/drawing?ms={}&bytes={}&tag={}", m_plan.work_ms,
                               m_plan.drawing_bytes, sent.tag);
  } else {
    request.path = fmt::format("/sheet?ms={}&tag={}", m_plan.work_ms, sent.tag);
  }
  sent.path = request.path;
  sent.idempotent = request.idempotent;
  return request;
}

void LoadTask::StartNextRequest(Flow& flow) {
  if (m_started_count == m_plan.requests) {
    return;
  }
  uint64_t id = ++m_started_count;
  ++flow.in_flight;
  CallerRequest request = MakeRequest(id, m_sent[id]);
  Perform(flow, flow.client->Submit(id, request, Now()));
}

void LoadTask::Perform(Flow& flow, const ClientOutput& output) {
  for (const flow::Up& message : output.sends) {
    flow.socket->Send(wire::EncodeUp(message), PickBalancer());
  }
  for (const Outcome& outcome : output.outcomes) {
    --flow.in_flight;
    OnOutcome(outcome);
    if (m_plan.pause > base::Millis(0)) {
      loop().After(m_plan.pause, [this, &flow] { StartNextRequest(flow); });
    } else {
      loop().After(base::Millis(0), [this, &flow] { StartNextRequest(flow); });
    }
  }
  ArmTimer(flow);
}

bool LoadTask::IsExpectedAnswer(const SentRequest& sent,
                                const Outcome& outcome) const {
  std::string expected = m_plan.service + " " + sent.path;
  return outcome.status >= kFirstHttpError ||
         outcome.body.starts_with(expected);
}

void LoadTask::OnOutcome(const Outcome& outcome) {
  ++m_finished_count;
  ++m_result.outcomes.at(static_cast<size_t>(outcome.kind));
  SentRequest sent = m_sent.extract(outcome.request_id).mapped();
  if (outcome.kind == OutcomeKind::kAnswered) {
    m_result.bytes += outcome.body.size();
    m_result.wrong_answers += IsExpectedAnswer(sent, outcome) ? 0 : 1;
    m_result.http_errors += outcome.status >= kFirstHttpError ? 1 : 0;
    m_result.latency.Record(outcome.took);
    m_result.last_body = outcome.body;
  } else {
    std::string why = outcome.timed_out
                          ? "timed_out"
                          : std::string(flow::ReasonName(outcome.reason));
    ++m_result.refusals[why];
  }
  m_result.last_flow = outcome.flow;
  m_result.tagged.push_back({sent.tag, sent.idempotent, outcome.kind});
  if (m_finished_count == m_plan.requests) {
    kernel::NotifyDrained();
  }
}

void LoadTask::ArmTimer(Flow& flow) {
  base::Millis next = flow.client->NextTimer();
  if (next == flow.timer_at) {
    return;
  }
  loop().Cancel(flow.timer);
  flow.timer_at = next;
  if (next >= base::kNever) {
    return;
  }
  flow.timer = loop().After(next - Now(), [this, &flow] {
    flow.timer_at = base::kNever;
    Perform(flow, flow.client->OnTimer(Now()));
  });
}

base::Address LoadTask::PickBalancer() {
  return m_plan.balancers[m_random() % m_plan.balancers.size()];
}

}  // namespace filberthollow::caller
