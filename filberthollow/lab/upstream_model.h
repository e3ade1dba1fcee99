// A modelled upstream: it accepts flows, processes some requests at a time,
// queues a few more and refuses the rest, which it says did not run.
//
//   UpstreamModel upstream(engine, pattern, seed, send);
//   upstream.Start(/*cold=*/false);
//   upstream.Receive(packet);  // may call send
#ifndef FILBERTHOLLOW_LAB_UPSTREAM_MODEL_H_
#define FILBERTHOLLOW_LAB_UPSTREAM_MODEL_H_

#include <deque>
#include <functional>
#include <unordered_map>

#include "filberthollow/lab/engine.h"
#include "filberthollow/lab/packet.h"
#include "filberthollow/lab/pattern.h"

namespace filberthollow::lab {

class UpstreamModel {
 public:
  using Send = std::function<void(const LabPacket&)>;

  // `send` gets the packets that the upstream sends or bounces.
  UpstreamModel(Engine& engine,
                const Pattern& pattern,
                uint64_t seed,
                Send send);

  // Starts another run, which holds no flows.
  void Start(bool cold);
  // Loses everything.
  void Crash();
  void Receive(const LabPacket& packet);

  void SetSpeedPercent(uint32_t percent) { m_speed_percent = percent; }
  void SetSlowPercent(uint32_t percent) { m_slow_percent = percent; }
  void SetRefusedPercent(uint32_t percent) { m_refused_percent = percent; }
  void SetDraining(bool draining) { m_draining = draining; }

  bool alive() const { return m_alive; }
  bool draining() const { return m_draining; }
  // Identifies the run.
  uint64_t run() const { return m_run; }
  // Returns requests in slots and queued.
  uint32_t load() const {
    return m_busy + static_cast<uint32_t>(m_queue.size());
  }
  base::Millis ColdTimeLeft() const { return m_cold_until - m_engine.Now(); }
  // Returns the time that work takes, in percent of the usual time.
  uint32_t WorkPercent() const;
  // Returns the work done so far, in milliseconds of a warm slot.
  uint64_t work_done_ms() const { return m_work_done_ms; }
  // Returns the time that its slots have spent on work so far.
  base::Millis busy_time() const { return m_busy_time; }

 private:
  struct Flow {
    uint32_t next_sequence = 0;
    uint64_t last_request = 0;
    bool answered = false;
    bool refused = false;
  };
  struct Job {
    LabPacket packet;
  };

  void OnRequest(Flow& flow, const LabPacket& packet);
  void StartJob(const Job& job);
  void FinishJob(const Job& job, base::Millis time, uint64_t run);
  void Answer(Flow& flow, const LabPacket& packet, bool refused);

  Engine& m_engine;
  const Pattern& m_pattern;
  Send m_send;
  RandomStream m_random;
  bool m_alive = false;
  bool m_draining = false;
  uint64_t m_run = 0;
  base::Millis m_cold_until{0};
  uint32_t m_speed_percent = 100;  // of the nominal speed
  uint32_t m_slow_percent = 100;
  uint32_t m_refused_percent = 0;
  uint32_t m_busy = 0;
  uint64_t m_work_done_ms = 0;
  base::Millis m_busy_time{0};
  std::deque<Job> m_queue;
  std::unordered_map<flow::FlowEnds, Flow, flow::FlowEndsHash> m_flows;
};

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_UPSTREAM_MODEL_H_
