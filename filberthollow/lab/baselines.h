// The policies that the lab compares: that of the product, and baselines.
//
//   const Policy* policy = FindPolicy("two_choices");
#ifndef FILBERTHOLLOW_LAB_BASELINES_H_
#define FILBERTHOLLOW_LAB_BASELINES_H_

#include <span>
#include <string_view>

#include "filberthollow/lab/fleet_model.h"

namespace filberthollow::lab {

// Name of the policy with the strategies of the product.
inline constexpr const char* kProductPolicy = "product";
// Name of the policy that differs from the product in that it ignores how fast
// upstreams work.
inline constexpr const char* kWithoutSpeedPolicy = "without_speed";

// Returns all policies. The first one is that of the product.
std::span<const Policy> AllPolicies();
// Returns the policy of that name, or null.
const Policy* FindPolicy(std::string_view name);

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_BASELINES_H_
