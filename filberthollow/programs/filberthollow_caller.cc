// filberthollow-caller: a load generator that opens flows, sends requests and
// prints their outcomes.
#include <unistd.h>

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "filberthollow/base/log.h"
#include "filberthollow/caller/load_task.h"
#include "filberthollow/kernel/kernel.h"

namespace {

namespace po = boost::program_options;
namespace caller = filberthollow::caller;
namespace base = filberthollow::base;
namespace flow = filberthollow::flow;
namespace kernel = filberthollow::kernel;

constexpr int kExitUsage = 2;

po::options_description Options(caller::LoadPlan& plan) {
  po::options_description options("filberthollow-caller OPTIONS");
  options.add_options()("help", "print this help")(
      "balancers", po::value<std::string>()->required(),
      "addresses A.B.C.D:PORT of balancers, separated by commas")(
      "service", po::value(&plan.service)->required(), "service to call")(
      "path", po::value(&plan.path),
      "single path to request instead of the mix")(
      "flows", po::value(&plan.flows)->default_value(1),
      "number of open flows")("in-flight",
                              po::value(&plan.in_flight)->default_value(1),
                              "requests in progress on each flow")(
      "requests", po::value(&plan.requests)->default_value(1),
      "total number of requests")(
      "updates", po::value(&plan.update_percent)->default_value(0),
      "percentage of requests that are non-idempotent updates")(
      "drawings", po::value(&plan.drawing_percent)->default_value(0),
      "percentage of requests with a large answer")(
      "drawing-bytes", po::value(&plan.drawing_bytes)->default_value(1 << 20),
      "size of a large answer in bytes")(
      "work-ms", po::value(&plan.work_ms)->default_value(0),
      "simulated work at the upstream for each request, in ms")(
      "timeout-ms", po::value<int64_t>()->default_value(5000),
      "deadline of each request in ms")(
      "pause-ms", po::value<int64_t>()->default_value(0),
      "pause between the requests of a flow in ms")(
      "seed", po::value(&plan.seed)->default_value(1), "random seed")(
      "limit-s", po::value<int>()->default_value(120),
      "maximum run time in seconds")(
      "outcomes", po::value<std::string>(),
      "file to write the outcome of each request to, as JSON")(
      "json", "print JSON")("body", "print the body of the last answer");
  return options;
}

bool ParseBalancers(const std::string& text, caller::LoadPlan& plan) {
  size_t start = 0;
  while (start <= text.size()) {
    size_t comma = std::min(text.find(',', start), text.size());
    auto address = base::Address::Parse(text.substr(start, comma - start));
    if (!address) {
      fmt::print(stderr, "filberthollow-caller: --balancers: {}\n",
                 address.error().Text());
      return false;
    }
    plan.balancers.push_back(*address);
    start = comma + 1;
  }
  return true;
}

nlohmann::json ResultJson(const caller::LoadResult& result) {
  nlohmann::json outcomes = nlohmann::json::object();
  for (size_t i = 0; i < caller::kOutcomeKinds; ++i) {
    outcomes[caller::OutcomeName(static_cast<caller::OutcomeKind>(i))] =
        result.outcomes.at(i);
  }
  nlohmann::json retries = nlohmann::json::object();
  for (const flow::ReasonRow& row : flow::ReasonTable()) {
    if (row.kind == flow::ReasonKind::kRetried) {
      retries[std::string(row.name)] =
          result.retries.at(static_cast<size_t>(row.reason));
    }
  }
  return {{"outcomes", outcomes},
          {"wrong_answers", result.wrong_answers},
          {"http_errors", result.http_errors},
          {"flows_lost", result.flows_lost},
          {"flows_moved", result.flows_moved},
          {"bytes", result.bytes},
          {"refusals", result.refusals},
          {"retries", retries},
          {"flow", fmt::format("{:016x}", base::Value(result.last_flow))},
          {"took_ms", result.took.count()},
          {"p50_ms", result.latency.Quantile(0.5)},
          {"p99_ms", result.latency.Quantile(0.99)}};
}

void PrintTable(const nlohmann::json& result, const caller::LoadResult& load) {
  fmt::print("outcome        requests\n");
  for (const auto& item : result["outcomes"].items()) {
    fmt::print("{:<14} {:>8}\n", item.key(), item.value().get<uint64_t>());
  }
  for (const auto& item : result["refusals"].items()) {
    fmt::print("  of these {:<18} {}\n", item.key(),
               item.value().get<uint64_t>());
  }
  fmt::print("wrong answers {}, flows lost {}, flows moved {}\n",
             load.wrong_answers, load.flows_lost, load.flows_moved);
  for (const auto& item : result["retries"].items()) {
    fmt::print("{} {}\n", item.key(), item.value().get<uint64_t>());
  }
  fmt::print("took {} ms; latency in ms:\n", load.took.count());
  uint64_t before = 0;
  for (const auto& bucket : load.latency.Report("").buckets) {
    if (bucket.count > before) {
      fmt::print("  up to {:>8.0f} {:>8}\n", bucket.upper_ms,
                 bucket.count - before);
      before = bucket.count;
    }
  }
}

void WriteOutcomes(const std::string& path, const caller::LoadResult& result) {
  nlohmann::json list = nlohmann::json::array();
  for (const caller::TaggedOutcome& tagged : result.tagged) {
    list.push_back({{"tag", tagged.tag},
                    {"idempotent", tagged.idempotent},
                    {"outcome", caller::OutcomeName(tagged.kind)}});
  }
  std::ofstream(path) << list.dump() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  caller::LoadPlan plan;
  po::options_description options = Options(plan);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "filberthollow-caller: {}\n", error.what());
    return kExitUsage;
  }
  plan.timeout = base::Millis(values["timeout-ms"].as<int64_t>());
  plan.pause = base::Millis(values["pause-ms"].as<int64_t>());
  if (!ParseBalancers(values["balancers"].as<std::string>(), plan)) {
    return kExitUsage;
  }
  // Standard output is reserved for the result.
  base::SetLogDescriptor(STDERR_FILENO);
  kernel::BlockSignals();
  base::SystemClock clock;
  kernel::Kernel kernel;
  auto task =
      std::make_unique<caller::LoadTask>(clock, kernel.registry(), plan);
  const caller::LoadTask& load = *task;
  kernel.Add(std::move(task));
  kernel.Start();
  kernel::WaitForWakeup(values["limit-s"].as<int>() * 1000);
  kernel.Stop();
  const caller::LoadResult& result = load.result();
  nlohmann::json json = ResultJson(result);
  if (values.count("outcomes") != 0) {
    WriteOutcomes(values["outcomes"].as<std::string>(), result);
  }
  if (values.count("body") != 0) {
    std::cout << result.last_body;
  } else if (values.count("json") != 0) {
    std::cout << json.dump() << "\n";
  } else {
    PrintTable(json, result);
  }
  return result.outcomes.at(0) == plan.requests ? 0 : 1;
}
