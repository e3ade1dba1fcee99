// Compares the speed of an upstream with that of the others of its service.
//
// This answers the load pattern of upstreams of uneven speed: where one in four
// takes more than twice as long as the others, the same number of requests per
// slot means twice the wait there.
//
//   double usual_work_us = UsualWorkUs(candidates);  // of the whole service
//   double factor = MeasuredWorkFactor().Of(candidates[0], usual_work_us);
#ifndef FILBERTHOLLOW_DECISION_LOAD_WORK_FACTOR_H_
#define FILBERTHOLLOW_DECISION_LOAD_WORK_FACTOR_H_

#include <span>

#include "filberthollow/decision/load/upstream_candidate.h"

namespace filberthollow::decision::load {

// A work time that was measured longer ago than this counts as unknown. An
// upstream that was avoided, or whose reports are lost, may have recovered.
inline constexpr base::Millis kMaxWorkAge{10'000};
// Work times that differ by less than this ratio count as equal. Requests of
// one service differ in size; see WorkMeter for how far their means deviate.
inline constexpr double kNoiseRatio = 1.6;

// Returns the usual work time of a service, in microseconds, or 0 if that of no
// candidate is known: the median of those that are known, the lower one of two.
// A mean would lie between the speeds: where half of the upstreams take 2.2
// times as long as the others, it is within kNoiseRatio of both.
double UsualWorkUs(std::span<const UpstreamCandidate> candidates);

// WorkFactor is a strategy object without state that changes.
class WorkFactor {
 public:
  virtual ~WorkFactor() = default;
  // Returns how many times the usual time the candidate needs for its work.
  virtual double Of(const UpstreamCandidate& candidate,
                    double usual_work_us) const = 0;
};

// MeasuredWorkFactor uses the reported work time. The factor is 1 if that or
// the usual one is unknown, and if they differ by less than kNoiseRatio.
class MeasuredWorkFactor final : public WorkFactor {
 public:
  // An upstream that answers in less than half the usual time probably fails
  // fast: hosts of one service run at 0.55 to 1.2 of the nominal speed, so even
  // where most are slow, the fast ones take 0.46 of the usual time. With this
  // limit, fast failures let an upstream seem half as busy as it is, not idle.
  static constexpr double kMin = 0.5;
  // A slower upstream is not avoided more than this, so that it still gets a
  // flow when the others have four times the work per slot, and its recovery
  // is noticed. Upstreams that hang are found by their silence.
  static constexpr double kMax = 4;

  double Of(const UpstreamCandidate& candidate,
            double usual_work_us) const override;
};

// EvenWorkFactor takes all upstreams as equally fast.
class EvenWorkFactor final : public WorkFactor {
 public:
  double Of(const UpstreamCandidate& /*candidate*/,
            double /*usual_work_us*/) const override {
    return 1;
  }
};

// Returns the strategy that balancers use.
const WorkFactor& DefaultWorkFactor();

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_WORK_FACTOR_H_
