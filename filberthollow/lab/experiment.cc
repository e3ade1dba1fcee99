#include "filberthollow/lab/experiment.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

#include "filberthollow/lab/optimum.h"

namespace filberthollow::lab {
namespace {

using base::Millis;
using nlohmann::json;

constexpr int64_t kMillisPerSecond = 1000;
constexpr uint32_t kPercent = 100;
constexpr Millis kCapacitySample{10};

// Schedules the changes of the traffic.
void ScheduleBursts(Engine& engine,
                    const Pattern& pattern,
                    CallerModel& callers) {
  for (const PatternEvent& event : pattern.events) {
    if (event.event != EventKind::kBurst) {
      continue;
    }
    for (size_t kind = 0; kind < pattern.kinds.size(); ++kind) {
      if (!event.kind.empty() && event.kind != pattern.kinds[kind].name) {
        continue;
      }
      engine.At(Millis(event.at_ms), [&callers, kind, event] {
        callers.SetTrafficPercent(kind, event.percent);
      });
      engine.At(Millis(event.at_ms) + Millis(event.for_ms), [&callers, kind] {
        callers.SetTrafficPercent(kind, kPercent);
      });
    }
  }
}

// Records the highest capacity of each bucket.
void SampleCapacity(Engine& engine,
                    const FleetModel& fleet,
                    std::vector<double>& capacity_ms) {
  auto bucket = static_cast<size_t>(engine.Now().count() / kBucket.count());
  capacity_ms.resize(std::max(capacity_ms.size(), bucket + 1), 0);
  capacity_ms[bucket] =
      std::max(capacity_ms[bucket],
               fleet.Capacity() * static_cast<double>(kBucket.count()));
  engine.After(kCapacitySample, [&engine, &fleet, &capacity_ms] {
    SampleCapacity(engine, fleet, capacity_ms);
  });
}

OfferedRequest AsOffered(const Outcome& outcome, const Pattern& pattern) {
  const RequestKind& kind = pattern.kinds[outcome.kind];
  // A packet takes two hops to its upstream, and its answer one.
  Millis there = Millis(pattern.delay_ms) * 2;
  Millis back(pattern.delay_ms);
  return {.from = outcome.born + there,
          .goal = outcome.born + Millis(kind.goal_ms) - back,
          .limit = outcome.born + Millis(kind.deadline_ms) - back,
          .work_ms = static_cast<double>(outcome.work_ms),
          .worth = static_cast<double>(kind.worth),
          .late_worth = static_cast<double>(kind.late_worth)};
}

void AddOutcome(const Outcome& outcome, const RequestKind& kind, Count& count) {
  bool in_goal = outcome.answered && outcome.took <= Millis(kind.goal_ms);
  ++count.asked;
  count.in_goal += in_goal ? 1 : 0;
  count.late += outcome.answered && !in_goal ? 1 : 0;
}

// Fills in what follows from the outcomes of the requests.
void SummarizeOutcomes(const std::vector<Outcome>& outcomes,
                       const Pattern& pattern,
                       RunResult& result) {
  result.seconds.resize(pattern.seconds);
  for (size_t i = 0; i < result.seconds.size(); ++i) {
    result.seconds[i].name = std::to_string(i);
  }
  for (const RequestKind& kind : pattern.kinds) {
    result.kinds.push_back({.name = kind.name});
  }
  double offered = 0;
  double earned = 0;
  for (const Outcome& outcome : outcomes) {
    const RequestKind& kind = pattern.kinds[outcome.kind];
    AddOutcome(outcome, kind, result.kinds[outcome.kind]);
    AddOutcome(outcome, kind,
               result.seconds[static_cast<size_t>(outcome.born.count() /
                                                  kMillisPerSecond)]);
    offered += kind.worth;
    if (outcome.answered) {
      earned +=
          outcome.took <= Millis(kind.goal_ms) ? kind.worth : kind.late_worth;
    }
    result.tries += outcome.tries > 0 ? outcome.tries - 1 : 0;
    result.refusals += outcome.refusals;
    result.resets += outcome.resets;
  }
  result.worth = offered > 0 ? earned / offered : 0;
  result.optimum = offered;
}

double Imbalance(const std::vector<uint64_t>& work) {
  double total = std::accumulate(work.begin(), work.end(), 0.0);
  uint64_t most = *std::max_element(work.begin(), work.end());
  auto upstreams = static_cast<double>(work.size());
  return total > 0 ? static_cast<double>(most) * upstreams / total : 0;
}

json ToJsonValue(const std::vector<Count>& counts) {
  json list = json::array();
  for (const Count& count : counts) {
    list.push_back({{"name", count.name},
                    {"asked", count.asked},
                    {"in_goal", count.in_goal},
                    {"late", count.late}});
  }
  return list;
}

// Runs a pattern. Fills `load` with what was offered; the result lacks the
// optimum, and has the offered worth in its place.
RunResult Simulate(const Pattern& pattern,
                   const Policy& policy,
                   uint64_t seed,
                   OfferedLoad& load) {
  Engine engine;
  FleetModel* fleet_pointer = nullptr;
  CallerModel callers(engine, pattern, seed,
                      [&fleet_pointer](const LabPacket& packet, uint32_t dc) {
                        fleet_pointer->FromCaller(packet, dc);
                      });
  FleetModel fleet(
      engine, pattern, policy, seed,
      [&callers](const LabPacket& packet) { callers.Receive(packet); },
      [&callers](const flow::FlowEnds& ends) { callers.ReceiveReset(ends); });
  fleet_pointer = &fleet;
  fleet.Start();
  ScheduleBursts(engine, pattern, callers);
  SampleCapacity(engine, fleet, load.capacity_ms);
  callers.Start();
  Millis end = Millis(kMillisPerSecond) * pattern.seconds;
  engine.RunUntil(end - Millis(1));

  RunResult result{.pattern = pattern.name,
                   .policy = policy.name,
                   .seed = seed,
                   .work_done_ms = fleet.WorkDone(),
                   .imbalance = Imbalance(fleet.WorkDone()),
                   .busy_imbalance = Imbalance(fleet.BusyTimes()),
                   .worst_wait_ms = fleet.WorstMeanWait(),
                   .events = engine.events()};
  // Requests whose deadline lies after the end are not counted.
  std::vector<Outcome> ended;
  for (const Outcome& outcome : callers.outcomes()) {
    Millis deadline(pattern.kinds[outcome.kind].deadline_ms);
    if (outcome.born + deadline < end) {
      ended.push_back(outcome);
      load.requests.push_back(AsOffered(outcome, pattern));
    }
  }
  SummarizeOutcomes(ended, pattern, result);
  return result;
}

}  // namespace

RunResult RunPattern(const Pattern& pattern,
                     const Policy& policy,
                     uint64_t seed) {
  OfferedLoad load;
  RunResult result = Simulate(pattern, policy, seed, load);
  result.optimum = UpperBound(load) / std::max(result.optimum, 1.0);
  return result;
}

Comparison Compare(const Pattern& pattern,
                   const Policy& first,
                   const Policy& second,
                   uint64_t seeds) {
  constexpr double kNormalQuantile95 = 1.96;
  Comparison comparison{
      .pattern = pattern.name, .first = first.name, .second = second.name};
  std::vector<double> differences;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    OfferedLoad unused;
    double a = Simulate(pattern, first, seed, unused).worth;
    double b = Simulate(pattern, second, seed, unused).worth;
    comparison.first_worth += a / static_cast<double>(seeds);
    comparison.second_worth += b / static_cast<double>(seeds);
    differences.push_back(b - a);
  }
  comparison.difference = comparison.second_worth - comparison.first_worth;
  double squares = 0;
  for (double difference : differences) {
    squares += std::pow(difference - comparison.difference, 2);
  }
  auto count = static_cast<double>(seeds);
  comparison.half_interval =
      kNormalQuantile95 * std::sqrt(squares / (count - 1) / count);
  comparison.verdict =
      std::abs(comparison.difference) <= comparison.half_interval ? "not shown"
      : comparison.difference > 0                                 ? "better"
                                                                  : "worse";
  return comparison;
}

std::string ToJson(const RunResult& result) {
  return json{{"pattern", result.pattern},
              {"policy", result.policy},
              {"seed", result.seed},
              {"worth", result.worth},
              {"optimum", result.optimum},
              {"of_optimum", result.OfOptimum()},
              {"kinds", ToJsonValue(result.kinds)},
              {"seconds", ToJsonValue(result.seconds)},
              {"retries", result.tries},
              {"refusals", result.refusals},
              {"resets", result.resets},
              {"imbalance", result.imbalance},
              {"busy_imbalance", result.busy_imbalance},
              {"worst_wait_ms", result.worst_wait_ms},
              {"events", result.events}}
      .dump();
}

std::string ToJson(const Comparison& comparison) {
  return json{{"pattern", comparison.pattern},
              {"first", comparison.first},
              {"second", comparison.second},
              {"first_worth", comparison.first_worth},
              {"second_worth", comparison.second_worth},
              {"difference", comparison.difference},
              {"half_interval", comparison.half_interval},
              {"verdict", comparison.verdict}}
      .dump();
}

}  // namespace filberthollow::lab
