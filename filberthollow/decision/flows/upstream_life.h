// Tracks the state and liveness of the upstream that an agent serves.
// Heartbeats tell which run of the upstream this is and what state it is in;
// any packet, heartbeat or answered health check shows that it is alive.
//
// A run is one execution of the upstream process, from its start to its end.
//
//   switch (liveness.OnHeartbeat(beat, now)) { ... }
//   liveness.RecordActivity(now);  // for each packet that the upstream sends
//   LivenessChange change = liveness.OnTick(requests_pending, now);
//   if (change.start_health_check) { ... }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_LIFE_H_
#define FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_LIFE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/decision/flows/upstream_runs.h"

namespace filberthollow::decision::flows {

// HeartbeatOutcome is the effect of a heartbeat on the recorded state.
enum class HeartbeatOutcome : uint8_t {
  kUnchanged,          // the same run in the same state
  kChanged,            // new state, or no longer silent or refusing flows
  kFirstRun,           // the first run that this agent has seen
  kNewRun,             // another run has started, so the previous one has ended
  kShutdownAnnounced,  // the last heartbeat before a planned shutdown
  // The following ones have no effect.
  kRepeated,       // late or repeated, and says what is in effect anyway
  kOtherUpstream,  // names an upstream that this agent does not serve
  kStale,          // a newer heartbeat of the same run has been processed
  kEarlierRun,     // see RunVerdict::kEarlier
};

// Returns whether the heartbeat had no effect.
constexpr bool IsIgnored(HeartbeatOutcome outcome) {
  return outcome >= HeartbeatOutcome::kRepeated;
}

// Returns the name of an outcome in logs and metrics.
std::string_view HeartbeatOutcomeName(HeartbeatOutcome outcome);

// LivenessChange is the outcome of a tick.
struct LivenessChange {
  bool became_silent = false;
  bool start_health_check = false;
  // The upstream has been silent for kDeadTimeout and a health check has failed
  // during that time, so its flows are lost. Set on every tick while this
  // holds.
  bool dead = false;
  // kShutdownGrace has passed since the upstream announced its shutdown. Set
  // once per announcement.
  bool shutdown_completed = false;
  friend bool operator==(const LivenessChange&,
                         const LivenessChange&) = default;
};

// UpstreamLiveness tracks one upstream. It does no I/O and is not thread-safe;
// it is owned by one UpstreamGate. All times are monotonic unless stated
// otherwise.
class UpstreamLiveness {
 public:
  // How long the upstream may take to accept or refuse a new flow. It does not
  // need a free request slot for this. A caller retransmits its opening packet
  // only after 200 ms, so there is still time to try another upstream before
  // the caller notices.
  static constexpr base::Millis kOpenTimeout{50};
  // How long an upstream with an unanswered opening packet or request may send
  // nothing before it may be considered silent. With a shorter timeout, a host
  // that stalls for the 100 ms of a CPU quota period or during a burst of work
  // would be mistaken for a dead one.
  static constexpr base::Millis kSilenceTimeout{250};
  // How long an upstream must be silent, with a failed health check, before its
  // flows are considered lost. A process that is merely slow sends something
  // within this time.
  static constexpr base::Millis kDeadTimeout{600};
  // Time between the end of one health check and the start of the next, while
  // the upstream is silent or has not answered in time.
  static constexpr base::Millis kHealthCheckInterval{300};
  // How long an upstream may take to exit after it has announced its shutdown.
  // Until then, packets that it sent may still be in transit. An upstream that
  // has sent a packet within this time has not exited.
  static constexpr base::Millis kShutdownGrace{500};
  // How long the upstream is offered no new flow after it has bounced an
  // opening packet, unless a heartbeat arrives first. A host whose upstream is
  // down bounces every packet, and each attempt delays a caller.
  static constexpr base::Millis kRefusalBackoff{500};
  // The upstream is considered absent if no heartbeat has ever arrived, and no
  // packet of a flow for kAbsentHeartbeats heartbeat intervals plus
  // kAbsentSlack.
  static constexpr int64_t kAbsentHeartbeats = 2;
  static constexpr base::Millis kAbsentSlack{500};

  // Heartbeats that name another service than `service`, or another host than
  // that of `upstream`, are ignored.
  UpstreamLiveness(base::ServiceId service,
                   base::Address upstream,
                   base::Millis heartbeat_interval,
                   base::Millis now);

  // Processes a heartbeat. The owner must also call RecordActivity() unless the
  // heartbeat was ignored or the outcome is kShutdownAnnounced.
  HeartbeatOutcome OnHeartbeat(const UpstreamHeartbeat& beat, base::Millis now);
  // Records that the upstream has sent something. Returns whether it was silent
  // until now.
  bool RecordActivity(base::Millis now);
  // Records that the upstream has sent a packet of a flow that it holds and
  // accepted at `accepted_at`. Bounced packets do not count: the host of an
  // upstream that is down bounces all.
  void RecordFlowPacket(base::Millis accepted_at, base::Millis now);
  // Records that an opening packet was delivered to the upstream, which must
  // answer it within kOpenTimeout.
  void RecordOpeningDelivered(base::Millis now);
  // Records that the upstream has bounced an opening packet, and starts or
  // extends the refusal backoff. Returns whether no backoff was in effect.
  bool RecordRefusal(base::Millis now);
  // Processes the result of a health check. Returns whether it ended a silence.
  bool OnHealthCheck(bool answered, base::Millis now);
  // Applies the timeouts; call at regular intervals. `requests_pending` tells
  // whether the upstream has requests without an answer.
  LivenessChange OnTick(bool requests_pending, base::Millis now);
  // Restarts the silence timeouts. Call this after the agent's own process was
  // paused: it could not receive anything meanwhile, so a lack of packets does
  // not show that the upstream was silent.
  void OnProcessPaused(base::Millis now);

  UpstreamState state() const { return m_state; }
  const UpstreamRun& current_run() const { return m_runs.current(); }
  // Returns when the run before the current one was last known to be alive. All
  // flows that the upstream had accepted by then have ended with that run.
  base::Millis previous_run_alive() const { return m_previous_run_alive; }
  // Returns a hash that identifies the current run.
  uint64_t run() const;
  // Returns how many requests the upstream processes concurrently; at least 1.
  uint32_t slots() const { return m_slots; }
  // Returns for how much longer the upstream is expected to be slow because it
  // has started recently. Negative once that time is over.
  base::Millis ColdTimeLeft(base::Millis now) const {
    return m_cold_until - now;
  }
  // Returns whether this agent has observed the current run from its start, and
  // therefore has seen all of its packets.
  bool observed_from_start() const { return m_observed_from_start; }
  bool silent() const { return m_silent; }
  // Returns whether the refusal backoff is in effect.
  bool IsRefusing(base::Millis now) const { return now < m_refusing_until; }
  // Returns whether the upstream has announced its shutdown and may still be
  // running.
  bool IsShuttingDown() const {
    return m_shutdown_announced_at != base::kNever;
  }
  // Returns whether the agent appears to have no upstream: none has sent a
  // heartbeat or a packet in time.
  bool IsAbsent(base::Millis now) const;
  base::Millis HeardAgo(base::Millis now) const {
    return now - m_last_activity;
  }
  // Returns whether the upstream has sent nothing for kOpenTimeout after an
  // opening packet was delivered to it.
  bool IsOpeningOverdue(base::Millis now) const {
    return now - m_opening_delivered_at >= kOpenTimeout;
  }

 private:
  // Returns whether the heartbeat names the upstream of this agent. The port is
  // not compared: the upstream may be bound to several.
  bool NamesUpstream(const UpstreamHeartbeat& beat) const;

  const base::ServiceId m_service;
  const base::Address m_upstream;
  const base::Millis m_absent_after;

  UpstreamState m_state = UpstreamState::kUnknown;
  UpstreamRuns m_runs;
  bool m_observed_from_start = false;
  uint32_t m_slots = 1;
  base::Millis m_cold_until{0};
  base::Millis m_shutdown_announced_at{base::kNever};

  base::Millis m_last_activity;
  // When RecordFlowPacket() was called last, or the start or the last pause of
  // this process.
  base::Millis m_last_flow_packet;
  // When the current run last sent a heartbeat, or a packet of a flow that was
  // accepted before this time. A flow that was accepted later may be one of a
  // run that has not been heard yet.
  base::Millis m_run_alive;
  base::Millis m_previous_run_alive;
  // Delivery time of the first unanswered opening packet, or kNever.
  base::Millis m_opening_delivered_at{base::kNever};
  base::Millis m_refusing_until{INT64_MIN / 4};
  bool m_silent = false;
  base::Millis m_silent_since{base::kNever};
  bool m_check_in_progress = false;
  // Whether a health check has failed since the upstream last sent something or
  // became silent.
  bool m_check_failed = false;
  base::Millis m_next_check{0};
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_LIFE_H_
