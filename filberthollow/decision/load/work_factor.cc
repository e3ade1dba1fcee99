#include "filberthollow/decision/load/work_factor.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace filberthollow::decision::load {
namespace {

bool IsWorkKnown(const UpstreamCandidate& candidate) {
  base::Millis age =
      base::Millis(candidate.load.work_age_ms) + candidate.load_age;
  return candidate.load.work_us > 0 && age <= kMaxWorkAge;
}

bool IsWithinNoise(double work_us, double usual_us) {
  return work_us <= usual_us * kNoiseRatio && usual_us <= work_us * kNoiseRatio;
}

}  // namespace

double UsualWorkUs(std::span<const UpstreamCandidate> candidates) {
  std::vector<uint32_t> known;
  known.reserve(candidates.size());
  for (const UpstreamCandidate& candidate : candidates) {
    if (IsWorkKnown(candidate)) {
      known.push_back(candidate.load.work_us);
    }
  }
  if (known.empty()) {
    return 0;
  }
  auto middle = known.begin() + static_cast<ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

double MeasuredWorkFactor::Of(const UpstreamCandidate& candidate,
                              double usual_work_us) const {
  double work_us = candidate.load.work_us;
  if (usual_work_us <= 0 || !IsWorkKnown(candidate) ||
      IsWithinNoise(work_us, usual_work_us)) {
    return 1;
  }
  return std::clamp(work_us / usual_work_us, kMin, kMax);
}

const WorkFactor& DefaultWorkFactor() {
  static const MeasuredWorkFactor factor;
  return factor;
}

}  // namespace filberthollow::decision::load
