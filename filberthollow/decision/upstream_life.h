// What an agent believes of the upstream beside it: its run and state, by its
// heartbeats, and whether it is alive, by all that it sends.
//
//   switch (life.OnHeartbeat(beat, now)) { ... }
//   life.RecordActivity(now);                       // for each packet of the
//   upstream LivenessChange check = life.OnTick(requests_pending, now); if
//   (check.start_health_check) { ... }
#ifndef FILBERTHOLLOW_DECISION_UPSTREAM_LIFE_H_
#define FILBERTHOLLOW_DECISION_UPSTREAM_LIFE_H_

#include <cstdint>
#include <string>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/decision/packet_messages.h"

namespace filberthollow::decision {

// HeartbeatOutcome is what a heartbeat has changed.
enum class HeartbeatOutcome : uint8_t {
  kIgnored,  // stale, or of another upstream
  kUnchanged,
  kChanged,            // another state, or heard again
  kFirstRun,           // the first run that this agent hears of
  kNewRun,             // the former run has shutdown_completed
  kShutdownAnnounced,  // the last word before a planned end
};

// LivenessChange is the outcome of a tick.
struct LivenessChange {
  bool became_silent = false;
  bool start_health_check = false;
  bool dead = false;  // silent for so long that its flows are lost
  bool shutdown_completed =
      false;  // as planned, after its last word; told once
  friend bool operator==(const LivenessChange&,
                         const LivenessChange&) = default;
};

// UpstreamLiveness belongs to one gate.
class UpstreamLiveness {
 public:
  // kOpenTimeout is how long the upstream may take to accept or refuse a new
  // flow, which it does without waiting for a slot. A caller repeats its own
  // request only after 200 ms, so another upstream can still be tried unseen.
  static constexpr base::Millis kOpenTimeout{50};
  // kSilenceTimeout: an upstream that owes an answer and has sent nothing for
  // so long is silent. Shorter, a host that stalls for a quota's 100 ms or a
  // burst of work would be taken for a dead one.
  static constexpr base::Millis kSilenceTimeout{250};
  // kDeadTimeout: an upstream that has been silent for so long, its health
  // check included, has lost its flows. A process that is only slow sends
  // something within it.
  static constexpr base::Millis kDeadTimeout{600};
  // kHealthCheckInterval is the pause between health checks of a silent
  // upstream.
  static constexpr base::Millis kHealthCheckInterval{300};
  // kShutdownGrace is how long an upstream may take to end after its last word;
  // until then its own packets may still be on their way.
  static constexpr base::Millis kShutdownGrace{500};
  // kRefusalBackoff is how long no new flow is offered after the upstream has
  // handed one back, unless it gives a sign of life first. A host whose
  // upstream is down hands back everything, and each try costs a caller time.
  static constexpr base::Millis kRefusalBackoff{500};
  // An upstream that was not heard of for kAbsentHeartbeats heartbeats and
  // kAbsentSlack after the agent's start is not there.
  static constexpr int64_t kAbsentHeartbeats = 2;
  static constexpr base::Millis kAbsentSlack{500};

  UpstreamLiveness(base::ServiceId service,
                   base::Millis heartbeat_interval,
                   base::Millis now);

  // OnHeartbeat takes a heartbeat, which is a sign of life unless it is
  // ignored.
  HeartbeatOutcome OnHeartbeat(const UpstreamBeat& beat, base::Millis now);
  // RecordActivity notes a sign of life; returns whether the upstream had been
  // silent.
  bool RecordActivity(base::Millis now);
  // RecordOpeningDelivered notes that the upstream was given a packet that it
  // must answer at once.
  void RecordOpeningDelivered(base::Millis now);
  // RecordRefusal notes that the upstream has handed back a new flow; returns
  // whether that is newly_refusing.
  bool RecordRefusal(base::Millis now);
  // OnHealthCheck takes the outcome of a health check; returns whether the
  // upstream had been silent and was heard.
  bool OnHealthCheck(bool answered, base::Millis now);
  // OnTick judges; `requests_pending` tells whether requests are without an
  // answer.
  LivenessChange OnTick(bool requests_pending, base::Millis now);
  // OnProcessPaused is called after this process was paused: what it did not
  // hear meanwhile proves nothing.
  void OnProcessPaused(base::Millis now);

  UpstreamState state() const { return m_state; }
  // Returns a name for the present run.
  uint64_t run() const;
  uint32_t slots() const { return m_slots; }
  // Returns how much longer the upstream is slow after its start.
  base::Millis ColdTimeLeft(base::Millis now) const {
    return m_cold_until - now;
  }
  // Returns whether nothing of the present run can have passed unseen.
  bool observed_from_start() const { return m_observed_from_start; }
  bool silent() const { return m_silent; }
  // Returns whether it has handed back a new flow just now.
  bool IsRefusing(base::Millis now) const { return now < m_refusing_until; }
  // Returns whether it has said its last word and may not have
  // shutdown_completed yet.
  bool IsShuttingDown() const {
    return m_shutdown_announced_at != base::kNever;
  }
  // Returns whether there seems to be no upstream at all.
  bool IsAbsent(base::Millis now) const;
  base::Millis TimeSinceActivity(base::Millis now) const {
    return now - m_last_activity;
  }
  // Returns whether it has not answered an opening packet in time.
  bool IsOpeningOverdue(base::Millis now) const {
    return now - m_opening_delivered_at >= kOpenTimeout;
  }

 private:
  const base::ServiceId m_service;
  const base::Millis m_absent_after;
  const base::Millis m_created;

  UpstreamState m_state = UpstreamState::kUnknown;
  std::string m_id;
  base::Millis m_run_started{-1};  // calendar time
  uint64_t m_last_sequence = 0;
  bool m_observed_from_start = false;
  uint32_t m_slots = 1;
  base::Millis m_cold_until{0};
  base::Millis m_shutdown_announced_at{base::kNever};

  base::Millis m_last_activity;
  base::Millis m_opening_delivered_at{
      base::kNever};  // first unanswered opening packet
  base::Millis m_refusing_until{INT64_MIN / 4};
  bool m_silent = false;
  base::Millis m_silent_since{base::kNever};
  bool m_check_in_progress = false;  // a health check is under way
  bool m_check_failed = false;       // the last one since it fell silent
  base::Millis m_next_check{0};
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_UPSTREAM_LIFE_H_
