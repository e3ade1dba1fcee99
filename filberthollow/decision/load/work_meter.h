// Measures the mean time that a slot of an upstream works on a request.
//
// This answers the load pattern of upstreams of uneven speed. The measure is
// the slot time in use, that is, the integral of min(requests in flight,
// slots), divided by the number of answers. It needs neither an idle upstream
// nor a bound on the time of a request, and requests that wait for a slot do
// not raise it. If answers stay away while requests are in flight, it grows.
//
//   meter.Advance(in_flight, slots, now);      // before either number changes
//   meter.CountAnswer(in_flight, slots, now);  // an answer has begun
//   MeasuredWork work = meter.Measure(in_flight, slots, now);
#ifndef FILBERTHOLLOW_DECISION_LOAD_WORK_METER_H_
#define FILBERTHOLLOW_DECISION_LOAD_WORK_METER_H_

#include <cstdint>

#include "filberthollow/base/clock.h"

namespace filberthollow::decision::load {

// MeasuredWork is the mean time that a slot works on a request.
struct MeasuredWork {
  uint32_t work_us = 0;  // 0: unknown
  base::Millis age{0};   // time since a slot was last in use
  friend bool operator==(const MeasuredWork&, const MeasuredWork&) = default;
};

// WorkMeter is not thread-safe; it is owned by one UpstreamGate.
class WorkMeter {
 public:
  // Time constant of the decay of slot time and answers. Requests of routes
  // with means of 34 and 44 ms, 3% of which take 7 times as long, deviate from
  // their mean by 1.1 of it. Two slots at 75% of their capacity give 166
  // answers within this time, and their mean deviates by 6% (calculated; 10%
  // with 2 s). With 10 s, an upstream that is slow by 5 for 6 s would pass
  // kNoiseRatio only after 5 s.
  static constexpr base::Millis kTimeConstant{5000};
  // Answers needed before a value is given. The mean of 100 such requests
  // deviates by 11%. With 50 answers, 2 of 24 runs of the lab with a fleet of
  // even speed placed some flows differently than without work times; with 100,
  // none did.
  static constexpr uint32_t kMinAnswers = 100;
  // Answers that must be left after the decay, or as much slot time as they
  // took when the upstream was first measured. At an even rate, a decayed sum
  // of N is as accurate as 2 N answers.
  static constexpr double kMinDecayedAnswers = 40;

  explicit WorkMeter(base::Millis now) : m_advanced_at(now), m_used_at(now) {}

  // Accounts for the time since the last call, in which `in_flight` requests
  // were in progress. Call it before that number or that of the slots changes.
  void Advance(uint32_t in_flight, uint32_t slots, base::Millis now);
  // Advances, and counts an answer. Call it while the answered request still
  // counts as in flight.
  void CountAnswer(uint32_t in_flight, uint32_t slots, base::Millis now);
  // Forgets everything, for another run of the upstream.
  void Clear(base::Millis now) { *this = WorkMeter(now); }

  // Returns the mean time that a slot works on a request.
  MeasuredWork Measure(uint32_t in_flight,
                       uint32_t slots,
                       base::Millis now) const;

 private:
  double WorkMs() const;

  base::Millis m_advanced_at;
  base::Millis m_used_at;
  double m_slot_ms = 0;  // slot time in use, decayed
  double m_answers = 0;  // decayed
  uint32_t m_answers_ever = 0;
  double m_first_work_ms = 0;  // the first value; 0: none yet
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_WORK_METER_H_
