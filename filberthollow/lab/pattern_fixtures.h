// Test fixtures that run load patterns.
#ifndef FILBERTHOLLOW_LAB_PATTERN_FIXTURES_H_
#define FILBERTHOLLOW_LAB_PATTERN_FIXTURES_H_

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "filberthollow/lab/baselines.h"
#include "filberthollow/lab/experiment.h"

namespace filberthollow::lab {

inline constexpr uint64_t kSeeds = 3;

// Reads a pattern of the folder lab/patterns.
inline Pattern Named(const std::string& name) {
  auto pattern = ReadPattern(LAB_PATTERNS + name + ".json");
  BOOST_REQUIRE(static_cast<bool>(pattern));
  return *pattern;
}

// Returns the comparison of a baseline with the product.
inline Comparison Gain(const std::string& pattern,
                       const std::string& baseline) {
  Comparison gain = Compare(Named(pattern), *FindPolicy(baseline),
                            *FindPolicy(kProductPolicy), kSeeds);
  BOOST_TEST_MESSAGE(ToJson(gain));
  return gain;
}

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_PATTERN_FIXTURES_H_
