// Modelled callers: they offer requests on long flows or on a flow each, resend
// what is not answered, retry what may be repeated, and give up at a deadline.
//
//   CallerModel callers(engine, pattern, seed, send);
//   callers.Start();
//   callers.Receive(packet);       // an upstream's packet
//   callers.ReceiveReset(flow);    // a reset of the fleet
//   callers.outcomes();
#ifndef FILBERTHOLLOW_LAB_CALLER_MODEL_H_
#define FILBERTHOLLOW_LAB_CALLER_MODEL_H_

#include <array>
#include <functional>
#include <unordered_map>
#include <vector>

#include "filberthollow/lab/engine.h"
#include "filberthollow/lab/packet.h"
#include "filberthollow/lab/pattern.h"

namespace filberthollow::lab {

// Outcome is what became of one request. Its index is the request's number
// minus 1.
struct Outcome {
  uint32_t kind = 0;  // index in Pattern::kinds
  base::Millis born;
  uint32_t work_ms = 0;
  bool answered = false;
  base::Millis took;  // from `born` to the answer
  uint32_t tries = 0;
  uint32_t refusals = 0;  // answers that said that it did not run
  uint32_t resets = 0;
  friend bool operator==(const Outcome&, const Outcome&) = default;
};

class CallerModel {
 public:
  // Copies of an opening packet are sent after these times; the attempt ends
  // with the last.
  static constexpr std::array<base::Millis, 3> kOpenRetries{
      base::Millis(200), base::Millis(600), base::Millis(1400)};
  // First time after which a packet with data is sent again; it doubles.
  static constexpr base::Millis kResendDelay{200};
  // Pause before another attempt.
  static constexpr base::Millis kRetryPause{10};

  // `send` gets the packets of callers and the data centre that they are in.
  using Send = std::function<void(const LabPacket&, uint32_t data_centre)>;

  CallerModel(Engine& engine, const Pattern& pattern, uint64_t seed, Send send);

  // Schedules the arrivals.
  void Start();
  // Sets the traffic of a kind in percent of the usual.
  void SetTrafficPercent(size_t kind, uint32_t percent) {
    m_sources[kind].percent = percent;
  }
  void Receive(const LabPacket& packet);
  void ReceiveReset(const flow::FlowEnds& ends);

  const std::vector<Outcome>& outcomes() const { return m_outcomes; }

 private:
  // Source generates the requests of one kind.
  struct Source {
    RandomStream arrivals;
    RandomStream work;
    RandomStream choice;
    uint32_t percent = 100;
    // The idle flow of each session; empty if it has none.
    std::vector<base::Address> idle_flows;
  };
  enum class Stage : uint8_t { kOpening, kOpen };
  struct Flow {
    flow::FlowEnds ends;
    uint32_t data_centre = 0;
    uint32_t kind = 0;
    size_t session = 0;
    Stage stage = Stage::kOpening;
    uint32_t next_sequence = 101;
    uint32_t acknowledged = 0;
    uint64_t request = 0;  // in progress; 0: none
    uint32_t answers = 0;
    uint32_t copies = 0;  // of the packet that waits for an answer
    uint64_t epoch = 0;   // invalidates timers
  };

  void ScheduleArrival(size_t kind);
  void Offer(size_t kind);
  // Sends the request on the long flow of a random session, if that is idle, or
  // on a new flow.
  void Attempt(uint64_t request);
  void OpenFlow(uint64_t request, size_t session);
  void SendOpening(Flow& flow);
  void SendRequest(Flow& flow);
  void ArmOpenTimer(const Flow& flow);
  void ArmResendTimer(const Flow& flow);
  // The attempt on the flow has failed. `may_have_run` tells whether the
  // request may have run.
  void FailAttempt(Flow& flow, bool may_have_run);
  void OnDeadline(uint64_t request);
  void CloseFlow(const Flow& flow);
  Outcome& OutcomeOf(uint64_t request) { return m_outcomes[request - 1]; }
  const RequestKind& KindOf(uint64_t request) {
    return m_pattern.kinds[OutcomeOf(request).kind];
  }

  Engine& m_engine;
  const Pattern& m_pattern;
  Send m_send;
  std::vector<Source> m_sources;
  std::vector<Outcome> m_outcomes;
  std::unordered_map<uint64_t, base::Address> m_flow_of_request;
  std::unordered_map<base::Address, Flow, base::AddressHash> m_flows;
  uint32_t m_next_caller = 0;
  uint64_t m_next_epoch = 1;
};

// Returns the address that the callers of a kind send to.
base::Address RouteOf(uint32_t kind);

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_CALLER_MODEL_H_
