// The load of an upstream, as its agent reports it to balancers.
//
//   double busy = load.in_flight / static_cast<double>(load.slots);
#ifndef FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_LOAD_H_
#define FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_LOAD_H_

#include <cstdint>

namespace filberthollow::decision::load {

// Value of UpstreamLoad::openings_left if the upstream isn't limited.
inline constexpr uint16_t kUnlimitedOpenings = UINT16_MAX;

// UpstreamLoad is the load of an upstream. Its agent counts requests and flows;
// `slots` and `cold_ms` come from the heartbeats of the upstream.
struct UpstreamLoad {
  uint16_t slots = 1;       // requests that it processes concurrently
  uint16_t in_flight = 0;   // requests not answered yet
  uint16_t open_flows = 0;  // not closed, pending offers included
  // Mean of `in_flight` over the last second, times 100.
  uint16_t in_flight_mean = 0;
  uint16_t cold_ms = 0;  // time until the upstream works at full speed
  // New flows that the upstream may take now because it is cold.
  uint16_t openings_left = kUnlimitedOpenings;
  // How old `work_us` is, saturated.
  uint16_t work_age_ms = 0;
  // Mean time in microseconds that a slot works on a request; 0 if unknown.
  uint32_t work_us = 0;
  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_UPSTREAM_LOAD_H_
