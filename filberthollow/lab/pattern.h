// Load patterns: what is offered to a fleet and what happens to it, as values.
//
// A pattern is read from a JSON file. Unknown fields and impossible values are
// errors that name the file, the field and the allowed range.
//
//   base::Result<Pattern> pattern = ReadPattern("burst-of-3.json");
#ifndef FILBERTHOLLOW_LAB_PATTERN_H_
#define FILBERTHOLLOW_LAB_PATTERN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/error.h"

namespace filberthollow::lab {

// RequestKind describes the requests of one route.
struct RequestKind {
  std::string name;
  uint32_t per_second = 0;  // new requests of the whole fleet
  uint32_t work_ms = 1;     // mean time in a slot of a warm upstream
  uint32_t spread_percent = 50;
  uint32_t goal_ms = 200;       // an answer within this time is in time
  uint32_t deadline_ms = 1000;  // the caller gives up
  uint32_t timeout_ms = 0;      // that the route states; 0: none
  uint32_t worth = 100;         // of an answer in time
  uint32_t late_worth = 30;     // of a later one
  uint32_t priority = 1;
  uint32_t retries = 2;
  bool idempotent = true;
  // Whether callers keep flows open for many requests, or open one for each.
  bool long_flows = true;
  uint32_t tail_per_mille =
      0;  // requests that take `tail_factor` times as long
  uint32_t tail_factor = 7;
  uint32_t sessions = 300;  // callers with a long flow
  // Requests after which a caller replaces its long flow; 0: it keeps it.
  uint32_t requests_per_flow = 0;
  friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

// What happens at a time of a pattern.
enum class EventKind : uint8_t {
  kBurst,             // `percent` of the usual traffic, for `kind` if set
  kCrash,             // upstreams lose everything, and start again afterwards
  kSlow,              // upstreams take `percent` of the usual time
  kGrey,              // upstreams refuse `percent` of the requests
  kLyingLoad,         // agents of these upstreams report no load
  kRelease,           // upstreams are replaced one by one, a second apart
  kRestartAll,        // all balancers and agents restart; see `outage_ms`
  kRestartBalancers,  // all balancers restart
  kLoseDataCentre,    // all of one data centre is gone
};

struct PatternEvent {
  EventKind event{};
  uint32_t at_ms = 0;
  uint32_t for_ms = 1000;
  uint32_t percent = 100;
  uint32_t upstreams = 1;  // how many are affected, the first ones
  uint32_t outage_ms = 0;  // time until the configuration can be read again
  std::string kind;        // name of a RequestKind; empty: all
  friend bool operator==(const PatternEvent&, const PatternEvent&) = default;
};

// UpstreamSpeed is the speed of an upstream, in percent of the nominal one.
struct UpstreamSpeed {
  uint32_t percent = 100;
  friend bool operator==(const UpstreamSpeed&, const UpstreamSpeed&) = default;
};

struct Pattern {
  std::string name;
  std::string answers;  // what the pattern shows, for people
  uint32_t seconds = 20;
  uint32_t balancers = 5;
  uint32_t upstreams = 7;
  uint32_t data_centres = 3;
  uint32_t slots = 3;            // of each upstream
  uint32_t upstream_queue = 12;  // requests beyond the slots; more are refused
  uint32_t cold_ms = 2000;       // an upstream is slow after its start
  uint32_t cold_percent = 160;   // of the usual time
  uint32_t delay_ms = 4;         // one way between any two hosts
  uint32_t loss_per_mille = 0;   // of packets
  // Speeds of the upstreams in turn, repeated for further ones; empty: nominal.
  std::vector<UpstreamSpeed> speeds;
  std::vector<RequestKind> kinds;
  std::vector<PatternEvent> events;
  friend bool operator==(const Pattern&, const Pattern&) = default;
};

// Parses the text of a pattern. `source` names it in errors.
base::Result<Pattern> ParsePattern(std::string_view text,
                                   std::string_view source);
base::Result<Pattern> ReadPattern(const std::string& path);

// Returns the pattern at another size, with the same load on each upstream.
Pattern Scaled(Pattern pattern, uint32_t balancers, uint32_t upstreams);

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_PATTERN_H_
