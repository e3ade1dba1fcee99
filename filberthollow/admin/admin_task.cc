#include "filberthollow/admin/admin_task.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace filberthollow::admin {
namespace {

constexpr base::FlowId kNoFlow{};

net::HttpResponse RenderMetrics(const std::vector<Report>& reports) {
  std::vector<metrics::MetricsReport> all;
  all.reserve(reports.size());
  for (const Report& report : reports) {
    all.push_back(report.metrics);
  }
  return {.content_type = "text/plain; version=0.0.4",
          .body = metrics::PrometheusText(all)};
}

net::HttpResponse RenderHealth(const std::vector<Report>& reports) {
  for (const Report& report : reports) {
    if (!report.ready) {
      return {.status = net::kHttpUnavailable,
              .content_type = "text/plain",
              .body = report.service + " is not ready\n"};
    }
  }
  return {.content_type = "text/plain", .body = "ok\n"};
}

net::HttpResponse RenderStatus(const std::vector<Report>& reports) {
  nlohmann::json status = nlohmann::json::object();
  for (const Report& report : reports) {
    status[report.service] = nlohmann::json::parse(report.status_json);
  }
  return {.body = status.dump() + "\n"};
}

}  // namespace

AdminTask::AdminTask(const base::Clock& clock,
                     kernel::Registry& registry,
                     base::Address address,
                     std::vector<ReportSource> sources)
    : LoopTask(clock, registry, "admin"),
      m_address(address),
      m_sources(std::move(sources)),
      m_server(loop(),
               [this](const auto& request, auto responder) {
                 OnRequest(request, std::move(responder));
               }),
      m_reply_to(registry.Find<Report>("admin")) {}

base::Result<base::Address> AdminTask::Listen() {
  return m_server.Listen(m_address);
}

void AdminTask::OnRequest(const net::HttpServerRequest& request,
                          std::shared_ptr<net::Responder> responder) {
  if (request.path == "/healthz") {
    StartQuery(std::move(responder), kNoFlow, &RenderHealth);
  } else if (request.path == "/metrics") {
    StartQuery(std::move(responder), kNoFlow, &RenderMetrics);
  } else if (request.path == "/status") {
    StartQuery(std::move(responder), kNoFlow, &RenderStatus);
  } else if (request.path == "/explain") {
    base::FlowId flow{
        std::strtoull(request.Parameter("flow").c_str(), nullptr, 16)};
    StartQuery(std::move(responder), flow, &RenderStatus);
  } else {
    responder->Respond({.status = net::kHttpNotFound,
                        .body = R"({"error": "no such page"})"
                                "\n"});
  }
}

void AdminTask::StartQuery(std::shared_ptr<net::Responder> responder,
                           base::FlowId explain,
                           Renderer render) {
  uint64_t query_id = ++m_last_query;
  PendingQuery pending{.responder = std::move(responder), .render = render};
  for (const ReportSource& source : m_sources) {
    pending.expected += source({query_id, explain, m_reply_to}) ? 1 : 0;
  }
  m_pending.emplace(query_id, std::move(pending));
  loop().After(kReportTimeout, [this, query_id] { Finish(query_id); });
}

void AdminTask::OnMessage(const Report& report) {
  auto pending = m_pending.find(report.query_id);
  if (pending == m_pending.end()) {
    return;
  }
  pending->second.reports.push_back(report);
  if (pending->second.reports.size() == pending->second.expected) {
    Finish(report.query_id);
  }
}

void AdminTask::Finish(uint64_t query_id) {
  auto found = m_pending.extract(query_id);
  if (found.empty()) {
    return;
  }
  PendingQuery& pending = found.mapped();
  pending.responder->Respond(pending.render(pending.reports));
}

}  // namespace filberthollow::admin
