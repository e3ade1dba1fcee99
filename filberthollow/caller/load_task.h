// A load generator: drives a number of flows, each through a FlowClient and a
// UDP socket of its own, with a bounded number of requests in progress.
//
// Each datagram goes to a balancer chosen at random, as if the network spread
// the datagrams of a caller over all balancers.
#ifndef FILBERTHOLLOW_CALLER_LOAD_TASK_H_
#define FILBERTHOLLOW_CALLER_LOAD_TASK_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "filberthollow/caller/flow_client.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/net/udp_socket.h"

namespace filberthollow::caller {

// LoadPlan describes the load to generate.
struct LoadPlan {
  std::vector<base::Address> balancers;  // at least one
  std::string service;
  uint32_t flows = 1;
  // Maximum number of requests in progress per flow.
  uint32_t in_flight = 1;
  // Total number of requests, over all flows.
  uint64_t requests = 1;
  // Share of non-idempotent POST requests.
  uint32_t update_percent = 0;
  // Share of requests with a large answer, and the size of those answers.
  uint32_t drawing_percent = 0;
  uint64_t drawing_bytes = 1 << 20;
  // How long the upstream is asked to simulate work.
  uint32_t work_ms = 0;
  // The deadline of each request, counted from its submission.
  base::Millis timeout{5000};
  // The delay between the end of a request and the next one on its flow.
  base::Millis pause;
  // If not empty, every request is a GET of this path instead of the mix above.
  std::string path;
  // Seeds the mix, the choice of balancers and the tags.
  uint64_t seed = 1;
  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

// TaggedOutcome is the outcome of one request. The tag is part of the request's
// path, so that it can be looked up in the upstreams' logs; not so where
// LoadPlan::path replaces the path.
struct TaggedOutcome {
  std::string tag;
  bool idempotent = true;
  OutcomeKind kind = OutcomeKind::kUnknown;
  friend bool operator==(const TaggedOutcome&, const TaggedOutcome&) = default;
};

// LoadResult aggregates the outcomes of all requests.
struct LoadResult {
  // Number of requests by OutcomeKind.
  std::array<uint64_t, kOutcomeKinds> outcomes{};
  // Intact answers that belong to a different request.
  uint64_t wrong_answers = 0;
  // Answers with a status of 400 or more.
  uint64_t http_errors = 0;
  // Sums over all flows; see FlowClient.
  uint64_t flows_lost = 0;
  uint64_t flows_moved = 0;
  // Total size of all answers.
  uint64_t bytes = 0;
  // Requests without an intact answer, by reason name or "timed_out".
  std::map<std::string, uint64_t> refusals;
  // Retries and resends, indexed by Reason.
  std::array<uint64_t, flow::kReasonCount> retries{};
  // Time from submission to complete answer, of answered requests.
  metrics::LatencyHistogram latency;
  std::vector<TaggedOutcome> tagged;
  // The body of the last answer.
  std::string last_body;
  // The flow of the request that ended last.
  base::FlowId last_flow{};
  base::Millis took;
};

// NoMessage is the message type of LoadTask, which takes none: its plan is
// fixed at construction.
struct NoMessage {
  friend bool operator==(NoMessage, NoMessage) = default;
};

// LoadTask generates the load of a plan, registered as service "load". It calls
// kernel::NotifyDrained() when every request has ended.
class LoadTask final : public net::LoopTask<NoMessage> {
 public:
  LoadTask(const base::Clock& clock, kernel::Registry& registry, LoadPlan plan);

  // Returns the result. Not synchronized: call it after the kernel has stopped.
  const LoadResult& result() const { return m_result; }

 protected:
  void OnStart() override;
  void OnMessage(const NoMessage& /*message*/) override {}
  void OnStopped() override;

 private:
  struct Flow {
    std::shared_ptr<net::UdpSocket> socket;
    std::unique_ptr<FlowClient> client;
    base::Millis timer_at = base::kNever;
    net::Loop::TimerId timer;
    uint32_t in_flight = 0;
  };
  struct SentRequest {
    std::string tag;
    std::string path;
    bool idempotent = true;
  };

  void AddFlow();
  void OnDatagram(Flow& flow, std::string_view bytes);
  void StartNextRequest(Flow& flow);
  // Builds the next request at random from the plan and records it in `sent`.
  CallerRequest MakeRequest(uint64_t id, SentRequest& sent);
  // Sends the messages and handles the outcomes in `output`.
  void Perform(Flow& flow, const ClientOutput& output);
  void OnOutcome(const Outcome& outcome);
  // Returns whether the body echoes service and path of the request. Error
  // statuses are always expected, since their body is not an echo.
  bool IsExpectedAnswer(const SentRequest& sent, const Outcome& outcome) const;
  void ArmTimer(Flow& flow);
  base::Address PickBalancer();

  const LoadPlan m_plan;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<Flow>> m_flows;
  std::map<uint64_t, SentRequest> m_sent;  // in progress, by request id
  uint64_t m_started_count = 0;
  uint64_t m_finished_count = 0;
  base::Millis m_start_time;
  LoadResult m_result;
};

}  // namespace filberthollow::caller

#endif  // FILBERTHOLLOW_CALLER_LOAD_TASK_H_
