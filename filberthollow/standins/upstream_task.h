// A stand-in for an upstream: an HTTP server that does pretended work and keeps
// a log of what it really ran.
//
//   GET  /health, /load        as an upstream reports them, true or not
//   any other path             work; ?ms=N takes N ms, &bytes=N answers N
//   bytes,
//                              &tag=T is the name under which it is logged
//   POST /control {"healthy": true, "draining": false, "shed": false,
//                  "extra_ms": 0, "reported_load": 0}
//   GET  /log                  -> {"runs": {tag or request id: count}, ...}
#ifndef FILBERTHOLLOW_STANDINS_UPSTREAM_TASK_H_
#define FILBERTHOLLOW_STANDINS_UPSTREAM_TASK_H_

#include <map>
#include <memory>
#include <string>

#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/standins/platform_task.h"

namespace filberthollow::standins {

// UpstreamOptions describes the pretended upstream.
struct UpstreamOptions {
  base::Address address;
  std::string service;   // echoed in every answer, to show who answered
  base::Millis warm_up;  // unhealthy for this long after the start
  friend bool operator==(const UpstreamOptions&,
                         const UpstreamOptions&) = default;
};

class UpstreamTask final : public net::LoopTask<NoMessage> {
 public:
  UpstreamTask(const base::Clock& clock,
               kernel::Registry& registry,
               UpstreamOptions options);
  base::Result<base::Address> Listen() {
    return m_server.Listen(m_options.address);
  }

 protected:
  void OnStart() override;
  void OnMessage(const NoMessage& /*message*/) override {}

 private:
  using ResponderPtr = std::shared_ptr<net::Responder>;

  struct Control {
    bool healthy = true;
    bool draining = false;  // unhealthy, but works on
    bool shed = false;
    base::Millis extra_work_time;
    uint64_t reported_load = 0;  // reported instead of the truth, if not 0
  };
  struct Log {
    std::map<std::string, uint64_t> runs;  // by tag, or by request id
    uint64_t finished = 0;
    uint64_t cancelled = 0;
    uint64_t shed = 0;
    uint64_t late = 0;  // given up at their deadline
    uint64_t most_running = 0;
  };

  void OnRequest(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  void OnControl(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  void OnWork(const net::HttpServerRequest& request,
              const ResponderPtr& responder);
  // Ends work that can't be finished before its deadline.
  void TimeOutWork(const ResponderPtr& responder);
  void FinishWork(const net::HttpServerRequest& request,
                  const ResponderPtr& responder);
  std::string LogJson() const;

  const UpstreamOptions m_options;
  net::HttpServer m_server;
  base::Millis m_warm_up_end;
  Control m_control;
  Log m_log;
  uint64_t m_running = 0;
};

// MakeAnswerBody is the body of an answer: a line that names service, path and
// query, filled up to `bytes`.
std::string MakeAnswerBody(const std::string& service,
                           const std::string& path,
                           const std::string& query,
                           size_t bytes);

}  // namespace filberthollow::standins

#endif  // FILBERTHOLLOW_STANDINS_UPSTREAM_TASK_H_
