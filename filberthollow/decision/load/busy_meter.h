// Counts the requests in flight at an upstream, that is, those delivered to it
// whose answer has not begun, and keeps a moving average of that count.
//
//   meter.Begin(flow, now);   // a request was delivered
//   meter.End(now);           // its answer has begun
#ifndef FILBERTHOLLOW_DECISION_LOAD_BUSY_METER_H_
#define FILBERTHOLLOW_DECISION_LOAD_BUSY_METER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision::load {

// StartedRequest is a request that was delivered. It may have been answered
// since.
struct StartedRequest {
  flow::FlowEnds flow;
  base::Millis started_at;
  friend bool operator==(const StartedRequest&,
                         const StartedRequest&) = default;
};

// InFlightMeter is not thread-safe; it is owned by one UpstreamGate.
class InFlightMeter {
 public:
  // How long a request without an answer counts as in flight. A caller may
  // leave before it has sent the whole request, which then is never answered.
  // Without this limit, a few such requests would block all others forever.
  static constexpr base::Millis kMaxRequestTime{1000};
  // Time constant of the moving average that Mean() returns.
  static constexpr base::Millis kMeanWindow{1000};

  explicit InFlightMeter(base::Millis now) : m_mean_at(now) {}

  // Counts a request as in flight.
  void Begin(const flow::FlowEnds& flow, base::Millis now);
  // Stops counting one request. Call it exactly once for each Begin() that was
  // not followed by Clear().
  void End(base::Millis now);
  // Resets the count and the average to zero, for an upstream that has lost its
  // requests.
  void Clear(base::Millis now);
  // Removes and returns the oldest request that was delivered more than
  // kMaxRequestTime ago, or returns nothing. The request may have been answered
  // already; if it was not, the owner must call End().
  std::optional<StartedRequest> TakeOverdue(base::Millis now);

  uint32_t count() const { return m_count; }
  // Returns the exponentially weighted moving average of count() with the time
  // constant kMeanWindow.
  double Mean(base::Millis now) const;

 private:
  void Advance(base::Millis now);

  uint32_t m_count = 0;
  double m_mean = 0;
  base::Millis m_mean_at;
  std::deque<StartedRequest> m_started;  // oldest first
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_BUSY_METER_H_
