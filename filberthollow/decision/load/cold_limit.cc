#include "filberthollow/decision/load/cold_limit.h"

#include <algorithm>
#include <cmath>

#include "filberthollow/decision/load/upstream_load.h"

namespace filberthollow::decision::load {
namespace {

constexpr uint16_t kMaxLimit = kUnlimitedOpenings - 1;

}  // namespace

void ColdLimiter::RecordOpening(base::Millis now) {
  while (!m_openings.empty() && now - m_openings.front() > kWindow) {
    m_openings.pop_front();
  }
  m_openings.push_back(now);
}

uint16_t ColdLimiter::LimitFor(double rate) const {
  double total = rate * m_bounds.overshoot;
  bool slack_allows_one = total + m_bounds.slack >= 1;
  double whole = std::max(std::floor(total), slack_allows_one ? 1.0 : 0.0);
  return static_cast<uint16_t>(std::clamp<double>(whole, 0, kMaxLimit));
}

uint16_t ColdLimiter::OpeningsLeft(std::optional<double> rate,
                                   base::Millis now) const {
  if (!rate) {
    // Without a configuration, only stated bounds show that there are limits.
    return m_bounds == ColdBounds{} ? kUnlimitedOpenings : 0;
  }
  if (*rate <= 0) {
    return kUnlimitedOpenings;
  }
  if (now - m_started <= kWindow) {
    return 0;
  }
  auto recent =
      std::lower_bound(m_openings.begin(), m_openings.end(), now - kWindow);
  int64_t left = int64_t{LimitFor(*rate)} - (m_openings.end() - recent);
  return static_cast<uint16_t>(std::max<int64_t>(left, 0));
}

}  // namespace filberthollow::decision::load
