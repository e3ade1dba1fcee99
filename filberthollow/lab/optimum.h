// An upper bound for what any policy can earn on a load, for one that knows all
// arrivals, work and faults in advance.
//
// Relaxation: the slots of all upstreams are one pool, work can be interrupted
// and divided at will, and only the shortest paths cost time. Let C(t) be the
// capacity at time t, and let request j with work w(j) be worth v(j) if all its
// work is done between a(j) and g(j), or u(j) if it is done between a(j) and
// d(j). For any prices p(t) >= 0 of a unit of work, a schedule earns at most
//
//   integral of p(t) C(t) dt
//     + sum over j of max(0, v(j) - w(j) min p over [a(j), g(j)],
//                            u(j) - w(j) min p over [a(j), d(j)])
//
// since the work that it does at t costs at most p(t) C(t) in total, and no
// request can buy its work below the lowest price of its interval (weak duality
// of the linear program). The prices are improved by subgradient steps; any of
// them gives a valid bound, and the lowest one found is returned.
//
//   double bound = UpperBound(load);
#ifndef FILBERTHOLLOW_LAB_OPTIMUM_H_
#define FILBERTHOLLOW_LAB_OPTIMUM_H_

#include <vector>

#include "filberthollow/base/clock.h"

namespace filberthollow::lab {

// OfferedRequest is a request as the bound sees it.
struct OfferedRequest {
  base::Millis from;   // its work can begin
  base::Millis goal;   // its work must end, to be worth `worth`
  base::Millis limit;  // its work must end, to be worth `late_worth`
  double work_ms = 0;
  double worth = 0;
  double late_worth = 0;
  friend bool operator==(const OfferedRequest&,
                         const OfferedRequest&) = default;
};

struct OfferedLoad {
  std::vector<OfferedRequest> requests;
  // Work that can be done in each bucket of kBucket, from time 0.
  std::vector<double> capacity_ms;
};

inline constexpr base::Millis kBucket{50};

// Returns a bound that no policy can exceed, in the units of worth.
double UpperBound(const OfferedLoad& load);

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_OPTIMUM_H_
