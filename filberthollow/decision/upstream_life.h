// What an agent believes of the upstream beside it: its run and state, by its
// heartbeats, and whether it is alive, by all that it sends.
//
//   switch (life.OnBeat(beat, now)) { ... }
//   life.Hear(now);                       // for each packet of the upstream
//   LifeCheck check = life.OnTick(working, now);
//   if (check.ask_health) { ... }
#ifndef FILBERTHOLLOW_DECISION_UPSTREAM_LIFE_H_
#define FILBERTHOLLOW_DECISION_UPSTREAM_LIFE_H_

#include <cstdint>
#include <string>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/decision/packet_messages.h"

namespace filberthollow::decision {

// BeatOutcome is what a heartbeat has changed.
enum class BeatOutcome : uint8_t {
  kIgnored,  // stale, or of another upstream
  kSame,
  kChanged,   // another state, or heard again
  kFirstRun,  // the first run that this agent hears of
  kNewRun,    // the former run has ended
  kGone,      // the last word before a planned end
};

// LifeCheck is the outcome of a tick.
struct LifeCheck {
  bool fell_silent = false;
  bool ask_health = false;
  bool dead = false;   // silent for so long that its flows are lost
  bool ended = false;  // as planned, after its last word; told once
  friend bool operator==(const LifeCheck&, const LifeCheck&) = default;
};

// UpstreamLife belongs to one gate.
class UpstreamLife {
 public:
  // kOpenPatience is how long the upstream may take to accept or refuse a new
  // flow, which it does without waiting for a slot. A caller repeats its own
  // request only after 200 ms, so another upstream can still be tried unseen.
  static constexpr base::Millis kOpenPatience{50};
  // kSilencePatience: an upstream that owes an answer and has sent nothing for
  // so long is silent. Shorter, a host that stalls for a quota's 100 ms or a
  // burst of work would be taken for a dead one.
  static constexpr base::Millis kSilencePatience{250};
  // kDeadPatience: an upstream that has been silent for so long, its health
  // check included, has lost its flows. A process that is only slow sends
  // something within it.
  static constexpr base::Millis kDeadPatience{600};
  // kCheckInterval is the pause between health checks of a silent upstream.
  static constexpr base::Millis kCheckInterval{300};
  // kGoneLinger is how long an upstream may take to end after its last word;
  // until then its own packets may still be on their way.
  static constexpr base::Millis kGoneLinger{500};
  // kRefusingSpan is how long no new flow is offered after the upstream has
  // handed one back, unless it gives a sign of life first. A host whose
  // upstream is down hands back everything, and each try costs a caller time.
  static constexpr base::Millis kRefusingSpan{500};
  // An upstream that was not heard of for kAbsentBeats heartbeats and
  // kAbsentSlack after the agent's start is not there.
  static constexpr int64_t kAbsentBeats = 2;
  static constexpr base::Millis kAbsentSlack{500};

  UpstreamLife(base::ServiceId service,
               base::Millis beat_interval,
               base::Millis now);

  // OnBeat takes a heartbeat, which is a sign of life unless it is ignored.
  BeatOutcome OnBeat(const UpstreamHeartbeat& beat, base::Millis now);
  // Hear notes a sign of life; returns whether the upstream had been silent.
  bool Hear(base::Millis now);
  // Owe notes that the upstream was given a packet that it must answer at once.
  void Owe(base::Millis now);
  // Refuse notes that the upstream has handed back a new flow; returns whether
  // that is news.
  bool Refuse(base::Millis now);
  // OnHealth takes the outcome of a health check; returns whether the upstream
  // had been silent and was heard.
  bool OnHealth(bool answered, base::Millis now);
  // OnTick judges; `working` tells whether requests are without an answer.
  LifeCheck OnTick(bool working, base::Millis now);
  // OnPause is called after this process was paused: what it did not hear
  // meanwhile proves nothing.
  void OnPause(base::Millis now);

  UpstreamState state() const { return m_state; }
  // Returns a name for the present run.
  uint64_t run() const;
  uint32_t slots() const { return m_slots; }
  // Returns how much longer the upstream is slow after its start.
  base::Millis ColdFor(base::Millis now) const { return m_cold_until - now; }
  // Returns whether nothing of the present run can have passed unseen.
  bool saw_whole_run() const { return m_saw_whole_run; }
  bool silent() const { return m_silent; }
  // Returns whether it has handed back a new flow just now.
  bool IsRefusing(base::Millis now) const { return now < m_refusing_until; }
  // Returns whether it has said its last word and may not have ended yet.
  bool IsEnding() const { return m_gone_at != base::kNever; }
  // Returns whether there seems to be no upstream at all.
  bool IsAbsent(base::Millis now) const;
  base::Millis HeardAgo(base::Millis now) const { return now - m_heard_at; }
  // Returns whether it has not answered an opening packet in time.
  bool OwesOpening(base::Millis now) const {
    return now - m_owed_since >= kOpenPatience;
  }

 private:
  const base::ServiceId m_service;
  const base::Millis m_absent_after;
  const base::Millis m_created;

  UpstreamState m_state = UpstreamState::kUnknown;
  std::string m_id;
  base::Millis m_run_started{-1};  // calendar time
  uint64_t m_last_sequence = 0;
  bool m_saw_whole_run = false;
  uint32_t m_slots = 1;
  base::Millis m_cold_until{0};
  base::Millis m_gone_at{base::kNever};

  base::Millis m_heard_at;
  base::Millis m_owed_since{base::kNever};  // first unanswered opening packet
  base::Millis m_refusing_until{INT64_MIN / 4};
  bool m_silent = false;
  base::Millis m_silent_since{base::kNever};
  bool m_checking = false;      // a health check is under way
  bool m_check_failed = false;  // the last one since it fell silent
  base::Millis m_next_check{0};
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_UPSTREAM_LIFE_H_
