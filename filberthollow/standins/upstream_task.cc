#include "filberthollow/standins/upstream_task.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace filberthollow::standins {
namespace {

using nlohmann::json;

constexpr uint16_t kHttpGatewayTimeout = 504;
constexpr int64_t kMaxWorkMs = 60'000;
constexpr int64_t kMaxBodyBytes = 32 << 20;

int64_t ParseNumber(const std::string& text, int64_t max) {
  int64_t number = text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
  return std::clamp<int64_t>(number, 0, max);
}

}  // namespace

std::string MakeAnswerBody(const std::string& service,
                           const std::string& path,
                           const std::string& query,
                           size_t bytes) {
  std::string body = service + " " + path + "?" + query + "\n";
  std::string line = body;
  while (body.size() < bytes) {
    body += line;
  }
  if (bytes > line.size()) {
    body.resize(bytes);
  }
  return body;
}

UpstreamTask::UpstreamTask(const base::Clock& clock,
                           kernel::Registry& registry,
                           UpstreamOptions options)
    : LoopTask(clock, registry, "upstream"),
      m_options(std::move(options)),
      m_server(loop(), [this](const auto& request, auto responder) {
        OnRequest(request, std::move(responder));
      }) {}

void UpstreamTask::OnStart() {
  m_warm_up_end = Now() + m_options.warm_up;
}

void UpstreamTask::OnRequest(const net::HttpServerRequest& request,
                             const ResponderPtr& responder) {
  if (request.path == "/health") {
    bool healthy =
        m_control.healthy && !m_control.draining && Now() >= m_warm_up_end;
    responder->Respond(
        {.status = healthy ? net::kHttpOk : net::kHttpUnavailable,
         .body = "{}"});
  } else if (request.path == "/load") {
    uint64_t load =
        m_control.reported_load != 0 ? m_control.reported_load : m_running;
    responder->Respond({.body = json{{"running", load}}.dump()});
  } else if (request.path == "/log") {
    responder->Respond({.body = LogJson()});
  } else if (request.path == "/control") {
    OnControl(request, responder);
  } else {
    OnWork(request, responder);
  }
}

void UpstreamTask::OnControl(const net::HttpServerRequest& request,
                             const ResponderPtr& responder) {
  json control = json::parse(request.body, nullptr, false);
  if (!control.is_object()) {
    responder->Respond({.status = net::kHttpBadRequest});
    return;
  }
  m_control.healthy = control.value("healthy", true);
  m_control.draining = control.value("draining", false);
  m_control.shed = control.value("shed", false);
  m_control.extra_work_time =
      base::Millis(control.value("extra_ms", int64_t{0}));
  m_control.reported_load = control.value("reported_load", uint64_t{0});
  responder->Respond({.body = "{}"});
}

void UpstreamTask::OnWork(const net::HttpServerRequest& request,
                          const ResponderPtr& responder) {
  if (m_control.shed) {
    ++m_log.shed;
    responder->Respond({.status = net::kHttpUnavailable, .body = "shed"});
    return;
  }
  std::string tag = request.Parameter("tag");
  ++m_log.runs[tag.empty() ? request.request_id : tag];
  ++m_running;
  m_log.most_running = std::max(m_log.most_running, m_running);
  auto work_time =
      base::Millis(ParseNumber(request.Parameter("ms"), kMaxWorkMs));
  work_time = work_time + m_control.extra_work_time;
  base::Millis deadline(ParseNumber(request.deadline, kMaxWorkMs));
  bool late = !request.deadline.empty() && work_time > deadline;
  auto timer = loop().After(
      late ? deadline : work_time, [this, request, responder, late] {
        late ? TimeOutWork(responder) : FinishWork(request, responder);
      });
  responder->SetOnClosed([this, timer] {
    loop().Cancel(timer);
    --m_running;
    ++m_log.cancelled;
  });
}

void UpstreamTask::TimeOutWork(const ResponderPtr& responder) {
  --m_running;
  ++m_log.late;
  responder->Respond({.status = kHttpGatewayTimeout, .body = "late"});
}

void UpstreamTask::FinishWork(const net::HttpServerRequest& request,
                              const ResponderPtr& responder) {
  --m_running;
  ++m_log.finished;
  auto bytes = static_cast<size_t>(
      ParseNumber(request.Parameter("bytes"), kMaxBodyBytes));
  responder->Respond({.content_type = "text/plain",
                      .body = MakeAnswerBody(m_options.service, request.path,
                                             request.query, bytes)});
}

std::string UpstreamTask::LogJson() const {
  uint64_t repeated = 0;
  for (const auto& [id, count] : m_log.runs) {
    repeated += count > 1 ? 1 : 0;
  }
  return json{{"service", m_options.service},
              {"runs", m_log.runs},
              {"started", m_log.runs.size()},
              {"repeated", repeated},
              {"finished", m_log.finished},
              {"cancelled", m_log.cancelled},
              {"shed", m_log.shed},
              {"late", m_log.late},
              {"most_running", m_log.most_running}}
      .dump();
}

}  // namespace filberthollow::standins
