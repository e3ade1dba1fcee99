// filberthollow-storm: simulates a retry storm with the production decisions
// ("ours") and with the baseline ("naive"), and prints both results as JSON.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "filberthollow/testing/storm.h"

namespace {

namespace testing = filberthollow::testing;

nlohmann::json ToJson(const testing::StormResult& result) {
  nlohmann::json seconds = nlohmann::json::array();
  for (const testing::StormSecond& second : result.seconds) {
    seconds.push_back({second.offered, second.answered, second.answered_first});
  }
  return {{"goodput_of_capacity", result.storm_goodput},
          {"recovery_s", result.recovery_s},
          {"runs", result.runs},
          {"retry_runs", result.retry_runs},
          {"seconds", seconds}};
}

}  // namespace

int main() {
  testing::StormPlan plan;
  nlohmann::json out{{"capacity", plan.Capacity()},
                     {"seed", plan.seed},
                     {"ours", ToJson(testing::RunStorm(plan))},
                     {"naive", ToJson(testing::RunNaiveStorm(plan))}};
  fmt::print("{}\n", out.dump());
  return 0;
}
