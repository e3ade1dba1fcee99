// Limits the new flows that a cold upstream receives in any second. An upstream
// is cold for some time after its start, or after it was idle: it works slowly,
// and a burst of new flows would keep it from warming up.
//
// Only the agent of an upstream sees all of its opening packets, so it decides.
// The load patterns are an upstream that restarts under load, an agent that
// restarts beside a cold upstream, and the end of the evacuation of a data
// centre whose upstreams have cooled down.
//
//   if (is_cold && limiter.OpeningsLeft(rate, now) == 0) {
//     return Reason::kColdLimit;
//   }
//   limiter.RecordOpening(now);
#ifndef FILBERTHOLLOW_DECISION_LOAD_COLD_LIMIT_H_
#define FILBERTHOLLOW_DECISION_LOAD_COLD_LIMIT_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "filberthollow/base/clock.h"

namespace filberthollow::decision::load {

// ColdBounds states by how much the openings that a cold upstream receives in a
// second may exceed the configured rate: `rate` * `overshoot` + `slack`.
struct ColdBounds {
  double overshoot = 1;
  double slack = 0;
  friend bool operator==(const ColdBounds&, const ColdBounds&) = default;
};

// ColdLimiter counts the opening packets delivered to one upstream in a sliding
// window. It is not thread-safe; it is owned by one UpstreamGate. All times are
// monotonic and must not decrease.
class ColdLimiter {
 public:
  // An opening counts until it is older than this. Times are truncated to
  // milliseconds, so openings whose times differ by exactly this may be less
  // than a second apart.
  static constexpr base::Millis kWindow{1000};

  // `now` is the time when the agent started.
  ColdLimiter(ColdBounds bounds, base::Millis now)
      : m_bounds(bounds), m_started(now) {}

  // Records the delivery of an opening packet, also of a copy, and also while
  // the upstream is not cold: it may be cold within the next second.
  void RecordOpening(base::Millis now);

  // Returns how many new flows the upstream may take now if it is cold, or
  // kUnlimitedOpenings. `rate` is the configured number of new flows per
  // second; 0 means no limit. It is empty while the agent has no configuration.
  // There is no room within kWindow after the start of the agent: an earlier
  // agent may have delivered any number of openings just before, also to a run
  // of the upstream whose first heartbeat this agent receives.
  uint16_t OpeningsLeft(std::optional<double> rate, base::Millis now) const;

 private:
  // Returns how many openings are allowed in kWindow before new flows are
  // refused. This leaves the slack for copies of opening packets of flows that
  // are already known, which are never refused.
  uint16_t LimitFor(double rate) const;

  const ColdBounds m_bounds;
  const base::Millis m_started;
  std::deque<base::Millis> m_openings;  // within kWindow, oldest first
};

// ColdDoubt tells whether an upstream may be cold although its last heartbeat
// has not said so. It must be treated as cold until the next heartbeat. This
// holds from the start of the agent, since no heartbeat has arrived yet. It is
// not thread-safe; it is owned by one UpstreamGate. All times are monotonic.
class ColdDoubt {
 public:
  // Call this when the upstream may have become cold since its last heartbeat.
  void Raise(base::Millis now) {
    m_holds = true;
    m_raised_at = now;
  }
  // Call this for each heartbeat of the current run. A heartbeat that arrives
  // in the same millisecond as the doubt arises may be older than the doubt.
  void OnHeartbeat(base::Millis now) {
    m_holds = m_holds && now <= m_raised_at;
  }
  bool holds() const { return m_holds; }

 private:
  bool m_holds = true;
  base::Millis m_raised_at{0};
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_COLD_LIMIT_H_
