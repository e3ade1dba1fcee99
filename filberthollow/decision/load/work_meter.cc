#include "filberthollow/decision/load/work_meter.h"

#include <algorithm>
#include <cmath>

namespace filberthollow::decision::load {
namespace {

constexpr double kMicrosPerMilli = 1000;

}  // namespace

double WorkMeter::WorkMs() const {
  // An upstream that has stopped answering has hardly any answers left.
  return m_slot_ms / std::max(m_answers, 1.0);
}

void WorkMeter::Advance(uint32_t in_flight, uint32_t slots, base::Millis now) {
  constexpr auto kTimeConstantMs = static_cast<double>(kTimeConstant.count());
  double elapsed_ms = static_cast<double>((now - m_advanced_at).count());
  double decay = std::exp(-elapsed_ms / kTimeConstantMs);
  double in_use = std::min(in_flight, slots);
  m_slot_ms = m_slot_ms * decay + in_use * kTimeConstantMs * (1 - decay);
  m_answers *= decay;
  m_advanced_at = now;
  m_used_at = in_flight > 0 ? now : m_used_at;
}

void WorkMeter::CountAnswer(uint32_t in_flight,
                            uint32_t slots,
                            base::Millis now) {
  Advance(in_flight, slots, now);
  m_answers += 1;
  m_answers_ever = std::min(m_answers_ever + 1, kMinAnswers);
  if (m_first_work_ms == 0 && m_answers_ever == kMinAnswers &&
      m_answers >= kMinDecayedAnswers) {
    m_first_work_ms = WorkMs();
  }
}

MeasuredWork WorkMeter::Measure(uint32_t in_flight,
                                uint32_t slots,
                                base::Millis now) const {
  WorkMeter current = *this;
  current.Advance(in_flight, slots, now);
  MeasuredWork work{.age = now - current.m_used_at};
  if (m_first_work_ms == 0) {
    return work;
  }
  // The slot time counts as well, since few answers of an upstream that has
  // become slow do not make it unknown.
  double evidence =
      std::max(current.m_answers, current.m_slot_ms / m_first_work_ms);
  if (evidence >= kMinDecayedAnswers) {
    work.work_us = static_cast<uint32_t>(
        std::max(current.WorkMs() * kMicrosPerMilli, 1.0));
  }
  return work;
}

}  // namespace filberthollow::decision::load
