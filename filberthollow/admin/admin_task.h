// The admin service of a process, over HTTP: /metrics, /status, /healthz and
// /explain?flow=HEX.
//
// /healthz answers 200 if every service that reported is ready for work, and
// 503 otherwise. The fabric sends nothing new to a process that is not ready,
// and a rolling restart waits until it is.
//
// The task keeps no copy of other tasks' state. For each request it queries
// every configured service for a report, and answers when all reports have
// arrived, or after kReportTimeout with those that have.
//
//   auto admin =
//       std::make_unique<AdminTask>(clock, registry, address, sources);
//   Result<Address> bound = admin->Listen();
//   kernel.Add(std::move(admin));
#ifndef FILBERTHOLLOW_ADMIN_ADMIN_TASK_H_
#define FILBERTHOLLOW_ADMIN_ADMIN_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filberthollow/admin/report.h"
#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"

namespace filberthollow::admin {

// ReportSource posts a query to one service; returns false if there is no such
// service or its inbox is full.
using ReportSource = std::function<bool(const ReportQuery&)>;

// SourceFor returns the source for the service `name`, whose inbox takes
// messages of type `Message`, a variant that includes ReportQuery. The registry
// must outlive the source.
template <class Message>
ReportSource SourceFor(kernel::Registry& registry, std::string name) {
  return [&registry, name = std::move(name)](const ReportQuery& query) {
    auto inbox = registry.Find<Message>(name);
    return inbox != nullptr && inbox->Post(Message(query));
  };
}

// AdminTask serves the admin pages; it is registered as "admin".
class AdminTask final : public net::LoopTask<Report> {
 public:
  static constexpr base::Millis kReportTimeout{1000};

  AdminTask(const base::Clock& clock,
            kernel::Registry& registry,
            base::Address address,
            std::vector<ReportSource> sources);

  // Listen binds the address and returns the bound one; call it before the
  // kernel starts.
  base::Result<base::Address> Listen();

 protected:
  void OnStart() override {}
  void OnMessage(const Report& report) override;

 private:
  // Builds the HTTP answer from the reports that arrived.
  using Renderer = net::HttpResponse (*)(const std::vector<Report>&);

  // An HTTP request that waits for reports.
  struct PendingQuery {
    std::shared_ptr<net::Responder> responder;
    Renderer render = nullptr;
    std::vector<Report> reports;
    size_t expected = 0;  // number of reports
  };

  void OnRequest(const net::HttpServerRequest& request,
                 std::shared_ptr<net::Responder> responder);
  // Queries every source; `explain` as in ReportQuery.
  void StartQuery(std::shared_ptr<net::Responder> responder,
                  base::FlowId explain,
                  Renderer render);
  // Answers a request with the reports received so far; does nothing if it has
  // been answered.
  void Finish(uint64_t query_id);

  const base::Address m_address;
  const std::vector<ReportSource> m_sources;
  net::HttpServer m_server;
  std::shared_ptr<ReportInbox> m_reply_to;
  uint64_t m_last_query = 0;
  std::map<uint64_t, PendingQuery> m_pending;
};

}  // namespace filberthollow::admin

#endif  // FILBERTHOLLOW_ADMIN_ADMIN_TASK_H_
