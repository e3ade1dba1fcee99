// A stand-in (test double) for an upstream: an HTTP server that simulates work
// with timers and logs every request that it runs.
//
//   GET  /health, /load  health and load; both can be overridden by /control
//   POST /control {"healthy": true, "draining": false, "shed": false,
//                  "extra_ms": 0, "reported_load": 0}
//   GET  /log            -> {"runs": {tag or request id: count}, ...}
//   any other path       runs a request
//
// Query parameters of a request: ms=N runs for N ms (at most 60 s), bytes=N
// answers with at least one line and up to N bytes (at most 32 MiB), and tag=T
// names the request in the log. A request that can't finish before its deadline
// (in the x-deadline-ms header) is answered with status 504 at the deadline.
// Each POST to /control replaces all its values.
#ifndef FILBERTHOLLOW_STANDINS_UPSTREAM_TASK_H_
#define FILBERTHOLLOW_STANDINS_UPSTREAM_TASK_H_

#include <map>
#include <memory>
#include <string>

#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/standins/platform_task.h"

namespace filberthollow::standins {

// UpstreamOptions configures the simulated upstream.
struct UpstreamOptions {
  base::Address address;
  std::string service;   // echoed in every answer, to show which one answered
  base::Millis warm_up;  // reports unhealthy for this long after the start
  friend bool operator==(const UpstreamOptions&,
                         const UpstreamOptions&) = default;
};

// UpstreamTask serves HTTP on one address, handling all requests in its own
// loop.
class UpstreamTask final : public net::LoopTask<NoMessage> {
 public:
  UpstreamTask(const base::Clock& clock,
               kernel::Registry& registry,
               UpstreamOptions options);
  // Opens the port and returns its address. Call it before the kernel starts.
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
    bool draining = false;  // reports unhealthy but still runs requests
    bool shed = false;      // answers requests with 503 instead of running them
    base::Millis extra_work_time;
    uint64_t reported_load = 0;  // overrides the true load unless 0
  };
  // Counts of requests.
  struct Log {
    // Starts by tag, or by request id if the request has no tag.
    std::map<std::string, uint64_t> runs;
    uint64_t finished = 0;
    uint64_t cancelled = 0;  // connection closed before the answer
    uint64_t shed = 0;
    uint64_t late = 0;          // timed out at their deadline
    uint64_t most_running = 0;  // at the same time
  };

  void OnRequest(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  void OnControl(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  void OnWork(const net::HttpServerRequest& request,
              const ResponderPtr& responder);
  // Answers 504 at the deadline of a request that can't finish before it.
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

// Returns the body of an answer: a line of service, path and query, repeated
// and cut off at `bytes`. The first line is always complete.
std::string MakeAnswerBody(const std::string& service,
                           const std::string& path,
                           const std::string& query,
                           size_t bytes);

}  // namespace filberthollow::standins

#endif  // FILBERTHOLLOW_STANDINS_UPSTREAM_TASK_H_
