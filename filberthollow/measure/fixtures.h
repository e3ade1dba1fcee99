// Test records, candidates, timers and heap counters shared by the
// measurements.
#ifndef FILBERTHOLLOW_MEASURE_FIXTURES_H_
#define FILBERTHOLLOW_MEASURE_FIXTURES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "filberthollow/decision/flows/placement.h"
#include "filberthollow/decision/membership/member_record.h"
#include "filberthollow/flow/token.h"
#include "filberthollow/measure/slopes.h"

namespace filberthollow::measure::internal {

// Seed of every random choice, so that runs can be compared.
inline constexpr uint64_t kSeed = 7;

// Returns a key ring with one fixed key.
const flow::KeyRing& Keys();
// Returns the name of the service that target `index` belongs to.
std::string ServiceName(uint32_t index);
// Returns the membership record of target `index`: ready, weight 100.
decision::membership::MemberRecord TargetRecord(uint32_t index);
// Returns `count` candidates of equal weight, each with its own agent.
std::vector<decision::flows::Candidate> MakeCandidates(uint32_t count);
// Runs `call` with 0 to calls - 1 and returns the mean processor time of the
// current thread for one call, in microseconds. Use the results of `call`, for
// example their sum, or the optimiser may remove the work.
double TimeCall(uint32_t calls, const std::function<void(uint32_t)>& call);
// Returns the heap bytes that are allocated now.
double HeapBytes();

// For each size, measures the heap bytes that `make(size)` keeps allocated
// while its result is alive.
template <class Make>
std::vector<Point> HeapPoints(const Sizes& sizes, Make make) {
  std::vector<Point> points;
  for (uint32_t size : sizes) {
    double before = HeapBytes();
    auto object = make(size);
    points.push_back({static_cast<double>(size), HeapBytes() - before});
  }
  return points;
}

}  // namespace filberthollow::measure::internal

#endif  // FILBERTHOLLOW_MEASURE_FIXTURES_H_
