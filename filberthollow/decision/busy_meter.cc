#include "filberthollow/decision/busy_meter.h"

#include <cmath>

namespace filberthollow::decision {

double BusyMeter::Mean(base::Millis now) const {
  double span = static_cast<double>((now - m_rate_at).count());
  double keep = std::exp(-span / static_cast<double>(kRateSpan.count()));
  return m_mean * keep + m_count * (1 - keep);
}

void BusyMeter::Advance(base::Millis now) {
  m_mean = Mean(now);
  m_rate_at = now;
}

void BusyMeter::Begin(const flow::FlowEnds& flow, base::Millis now) {
  Advance(now);
  ++m_count;
  m_begun.push_back({flow, now});
}

void BusyMeter::End(base::Millis now) {
  Advance(now);
  --m_count;
}

void BusyMeter::Clear(base::Millis now) {
  *this = BusyMeter(now);
}

std::optional<BegunRequest> BusyMeter::TakeOverdue(base::Millis now) {
  if (m_begun.empty() || now - m_begun.front().at <= kMaxBusy) {
    return std::nullopt;
  }
  BegunRequest oldest = m_begun.front();
  m_begun.pop_front();
  return oldest;
}

}  // namespace filberthollow::decision
