#include "filberthollow/decision/load/busy_meter.h"

#include <cmath>

namespace filberthollow::decision::load {

double InFlightMeter::Mean(base::Millis now) const {
  double elapsed = static_cast<double>((now - m_mean_at).count());
  double decay = std::exp(-elapsed / static_cast<double>(kMeanWindow.count()));
  return m_mean * decay + m_count * (1 - decay);
}

void InFlightMeter::Advance(base::Millis now) {
  m_mean = Mean(now);
  m_mean_at = now;
}

void InFlightMeter::Begin(const flow::FlowEnds& flow, base::Millis now) {
  Advance(now);
  ++m_count;
  m_started.push_back({flow, now});
}

void InFlightMeter::End(base::Millis now) {
  Advance(now);
  --m_count;
}

void InFlightMeter::Clear(base::Millis now) {
  *this = InFlightMeter(now);
}

std::optional<StartedRequest> InFlightMeter::TakeOverdue(base::Millis now) {
  if (m_started.empty() ||
      now - m_started.front().started_at <= kMaxRequestTime) {
    return std::nullopt;
  }
  StartedRequest oldest = m_started.front();
  m_started.pop_front();
  return oldest;
}

}  // namespace filberthollow::decision::load
