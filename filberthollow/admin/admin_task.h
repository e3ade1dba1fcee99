// The admin service of a process: /metrics, /status, /healthz and
// /explain?flow=HEX over HTTP.
//
// /healthz answers 200 once every service is ready for work, and 503 before:
// the fabric sends nothing new to a process that is not, and a rolling restart
// waits for it.
//
// It holds no state of the others. For each query it asks every service named
// in its list for a report and answers when all have come, or after
// kReportTimeout with those that have.
//
//   kernel.Add(std::make_unique<AdminTask>(clock, registry, address,
//   services));
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

// ReportSource posts a query to one service; false if it can't be reached.
using ReportSource = std::function<bool(const ReportQuery&)>;

// SourceFor returns the source for the service `name`, whose messages are of
// type `Message` and include ReportQuery.
template <class Message>
ReportSource SourceFor(kernel::Registry& registry, std::string name) {
  return [&registry, name = std::move(name)](const ReportQuery& query) {
    auto inbox = registry.Find<Message>(name);
    return inbox != nullptr && inbox->Post(Message(query));
  };
}

class AdminTask final : public net::LoopTask<Report> {
 public:
  static constexpr base::Millis kReportTimeout{1000};

  AdminTask(const base::Clock& clock,
            kernel::Registry& registry,
            base::Address address,
            std::vector<ReportSource> sources);

  // Listen opens the port; call it before the kernel starts.
  base::Result<base::Address> Listen();

 protected:
  void OnStart() override {}
  void OnMessage(const Report& report) override;

 private:
  using Render = net::HttpResponse (*)(const std::vector<Report>&);

  struct Pending {
    std::shared_ptr<net::Responder> responder;
    Render render = nullptr;
    std::vector<Report> reports;
    size_t expected = 0;
  };

  void OnRequest(const net::HttpServerRequest& request,
                 std::shared_ptr<net::Responder> responder);
  // Asks every source; `explain` as in ReportQuery.
  void Ask(std::shared_ptr<net::Responder> responder,
           base::FlowId explain,
           Render render);
  void Finish(uint64_t query);

  const base::Address m_address;
  const std::vector<ReportSource> m_sources;
  net::HttpServer m_server;
  std::shared_ptr<ReportInbox> m_reply_to;
  uint64_t m_last_query = 0;
  std::map<uint64_t, Pending> m_pending;
};

}  // namespace filberthollow::admin

#endif  // FILBERTHOLLOW_ADMIN_ADMIN_TASK_H_
