// How many requests an upstream works on, now and on average, as its agent
// counts them by the packets that pass.
//
//   meter.Begin(flow, now);   // a request was delivered
//   meter.End(now);           // its answer has begun
#ifndef FILBERTHOLLOW_DECISION_BUSY_METER_H_
#define FILBERTHOLLOW_DECISION_BUSY_METER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision {

// StartedRequest is a request that has begun; it may have ended since.
struct StartedRequest {
  flow::FlowEnds flow;
  base::Millis started_at;
  friend bool operator==(const StartedRequest&,
                         const StartedRequest&) = default;
};

// InFlightMeter belongs to one gate.
class InFlightMeter {
 public:
  // kMaxRequestTime is how long a request without an answer counts as work. Its
  // caller may have left before it had sent the whole of it; counted for ever,
  // a few such would keep all others waiting.
  static constexpr base::Millis kMaxRequestTime{1000};
  // kMeanWindow is the time over which Mean() is taken.
  static constexpr base::Millis kMeanWindow{1000};

  explicit InFlightMeter(base::Millis now) : m_mean_at(now) {}

  void Begin(const flow::FlowEnds& flow, base::Millis now);
  void End(base::Millis now);
  // Clear forgets everything; the upstream has lost its work.
  void Clear(base::Millis now);
  // TakeOverdue returns the next request that began more than kMaxRequestTime
  // ago; the caller calls End() if it has not ended.
  std::optional<StartedRequest> TakeOverdue(base::Millis now);

  uint32_t count() const { return m_count; }
  // Returns the exponentially weighted mean of count() over kMeanWindow.
  double Mean(base::Millis now) const;

 private:
  void Advance(base::Millis now);

  uint32_t m_count = 0;
  double m_mean = 0;
  base::Millis m_mean_at;
  std::deque<StartedRequest> m_started;  // oldest first
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_BUSY_METER_H_
