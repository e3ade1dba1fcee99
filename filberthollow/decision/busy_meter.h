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

// BegunRequest is a request that has begun; it may have ended since.
struct BegunRequest {
  flow::FlowEnds flow;
  base::Millis at;
  friend bool operator==(const BegunRequest&, const BegunRequest&) = default;
};

// BusyMeter belongs to one gate.
class BusyMeter {
 public:
  // kMaxBusy is how long a request without an answer counts as work. Its caller
  // may have left before it had sent the whole of it; counted for ever, a few
  // such would keep all others waiting.
  static constexpr base::Millis kMaxBusy{1000};
  // kRateSpan is the time over which Mean() is taken.
  static constexpr base::Millis kRateSpan{1000};

  explicit BusyMeter(base::Millis now) : m_rate_at(now) {}

  void Begin(const flow::FlowEnds& flow, base::Millis now);
  void End(base::Millis now);
  // Clear forgets everything; the upstream has lost its work.
  void Clear(base::Millis now);
  // TakeOverdue returns the next request that began more than kMaxBusy ago; the
  // caller calls End() if it has not ended.
  std::optional<BegunRequest> TakeOverdue(base::Millis now);

  uint32_t count() const { return m_count; }
  // Returns the exponentially weighted mean of count() over kRateSpan.
  double Mean(base::Millis now) const;

 private:
  void Advance(base::Millis now);

  uint32_t m_count = 0;
  double m_mean = 0;
  base::Millis m_rate_at;
  std::deque<BegunRequest> m_begun;  // oldest first
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_BUSY_METER_H_
