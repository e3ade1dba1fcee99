// The caller's front end: it owns one UDP socket per flow, carries out what
// FlowClient decides, and holds a bounded load.
//
// The list of balancers stands for the fabric: each datagram goes to a random
// one of them.
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

// LoadPlan says what load to hold. Each flow has at most `in_flight` requests
// in progress, and `requests` are made in all.
struct LoadPlan {
  std::vector<base::Address> balancers;
  std::string service;
  uint32_t flows = 1;
  uint32_t in_flight = 1;
  uint64_t requests = 1;
  uint32_t update_percent = 0;   // non-idempotent POSTs
  uint32_t drawing_percent = 0;  // large answers
  uint64_t drawing_bytes = 1 << 20;
  uint32_t work_ms = 0;  // pretended work at the upstream
  base::Millis timeout{5000};
  base::Millis pause;  // between the requests of one flow
  std::string path;    // a single path instead of the mix
  uint64_t seed = 1;
  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

// TaggedOutcome is the run_state of one request, for checks against the
// upstreams' own logs.
struct TaggedOutcome {
  std::string tag;
  bool idempotent = true;
  OutcomeKind kind = OutcomeKind::kUnknown;
  friend bool operator==(const TaggedOutcome&, const TaggedOutcome&) = default;
};

// LoadResult sums a load up.
struct LoadResult {
  std::array<uint64_t, kOutcomeKinds> outcomes{};
  uint64_t wrong_answers = 0;  // whole answers, but to another request
  uint64_t http_errors = 0;    // answers with a status of 400 or more
  uint64_t flows_lost = 0;
  uint64_t flows_moved = 0;
  uint64_t bytes = 0;
  std::map<std::string, uint64_t> refusals;  // final reasons by name
  std::array<uint64_t, flow::kReasonCount> retries{};
  metrics::LatencyHistogram latency;
  std::vector<TaggedOutcome> tagged;
  std::string last_body;  // of the last answer
  base::FlowId last_flow{};
  base::Millis took;
};

// NoMessage: the load is fixed by its plan.
struct NoMessage {
  friend bool operator==(NoMessage, NoMessage) = default;
};

// LoadTask calls kernel::NotifyDrained() when the plan is done.
class LoadTask final : public net::LoopTask<NoMessage> {
 public:
  LoadTask(const base::Clock& clock, kernel::Registry& registry, LoadPlan plan);

  // Returns the result; call it after the kernel has stopped.
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
  ClientRequest MakeRequest(uint64_t id, SentRequest& sent);
  void Perform(Flow& flow, const ClientOutput& output);
  void OnOutcome(const Outcome& outcome);
  bool IsExpectedAnswer(const SentRequest& sent, const Outcome& outcome) const;
  void ArmTimer(Flow& flow);
  base::Address PickBalancer();

  const LoadPlan m_plan;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<Flow>> m_flows;
  std::map<uint64_t, SentRequest> m_sent;
  uint64_t m_started_count = 0;
  uint64_t m_finished_count = 0;
  base::Millis m_start_time;
  LoadResult m_result;
};

}  // namespace filberthollow::caller

#endif  // FILBERTHOLLOW_CALLER_LOAD_TASK_H_
