// filberthollow-lab runs load patterns against the production decisions.
//
//   filberthollow-lab run PATTERN... [--policy NAME] [--seed N]
//   filberthollow-lab compare PATTERN... --policy A --policy B [--seeds N]
//   filberthollow-lab sweep PATTERN... --balancers 5 --balancers 100 ...
//   filberthollow-lab policies
//
// PATTERN is a JSON file, see filberthollow/lab/patterns. Results are JSON, one
// line each, on standard output; progress goes to standard error. Exit code 2:
// wrong usage or an invalid pattern.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <map>
#include <string>
#include <vector>

#include "filberthollow/lab/baselines.h"
#include "filberthollow/lab/experiment.h"

namespace filberthollow::lab {
namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;

struct LabOptions {
  std::string command;
  std::vector<std::string> patterns;
  std::vector<std::string> policies;
  uint64_t seed = 1;
  uint64_t seeds = 10;
  std::vector<uint32_t> balancers;
  uint32_t upstreams_per_balancer = 2;
};

int Run(const LabOptions& options, const Pattern& pattern) {
  for (const std::string& name : options.policies) {
    fmt::print("{}\n",
               ToJson(RunPattern(pattern, *FindPolicy(name), options.seed)));
  }
  return 0;
}

int CompareAll(const LabOptions& options, const Pattern& pattern) {
  if (options.policies.size() < 2 || options.seeds < 2) {
    fmt::print(stderr, "compare needs two policies and two seeds or more\n");
    return kExitUsage;
  }
  for (size_t i = 1; i < options.policies.size(); ++i) {
    fmt::print("{}\n", ToJson(Compare(pattern, *FindPolicy(options.policies[0]),
                                      *FindPolicy(options.policies[i]),
                                      options.seeds)));
  }
  return 0;
}

int Sweep(const LabOptions& options, const Pattern& pattern) {
  for (uint32_t balancers : options.balancers) {
    Pattern scaled =
        Scaled(pattern, balancers, balancers * options.upstreams_per_balancer);
    for (const std::string& name : options.policies) {
      fmt::print(stderr, "{} at {} balancers, {}\n", pattern.name, balancers,
                 name);
      RunResult result = RunPattern(scaled, *FindPolicy(name), options.seed);
      result.pattern =
          fmt::format("{} at {} balancers", pattern.name, balancers);
      result.seconds.clear();
      fmt::print("{}\n", ToJson(result));
    }
  }
  return 0;
}

int PrintPolicies(const LabOptions& /*options*/, const Pattern& /*pattern*/) {
  for (const Policy& policy : AllPolicies()) {
    fmt::print("{}\n", policy.name);
  }
  return 0;
}

using Command = int (*)(const LabOptions&, const Pattern&);
const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands{
      {"run", &Run}, {"compare", &CompareAll}, {"sweep", &Sweep}};
  return commands;
}

int RunCommand(LabOptions options) {
  if (options.command == "policies") {
    return PrintPolicies(options, {});
  }
  auto command = Commands().find(options.command);
  if (command == Commands().end() || options.patterns.empty()) {
    fmt::print(stderr,
               "usage: filberthollow-lab run|compare|sweep|policies "
               "PATTERN... (--help)\n");
    return kExitUsage;
  }
  if (options.policies.empty()) {
    options.policies = {kProductPolicy};
  }
  for (const std::string& name : options.policies) {
    if (FindPolicy(name) == nullptr) {
      fmt::print(stderr, "unknown policy \"{}\"; see: policies\n", name);
      return kExitUsage;
    }
  }
  for (const std::string& path : options.patterns) {
    auto pattern = ReadPattern(path);
    if (!pattern) {
      fmt::print(stderr, "{}\n", pattern.error().Text());
      return kExitUsage;
    }
    if (int exit_code = command->second(options, *pattern); exit_code != 0) {
      return exit_code;
    }
  }
  return 0;
}

int Main(int argc, char** argv) {
  LabOptions options;
  po::options_description described("Options");
  described.add_options()("help", "prints this text")(
      "command", po::value(&options.command), "run, compare, sweep, policies")(
      "pattern", po::value(&options.patterns), "pattern files")(
      "policy", po::value(&options.policies), "policies (product)")(
      "seed", po::value(&options.seed), "seed of run and sweep (1)")(
      "seeds", po::value(&options.seeds), "paired seeds of compare (10)")(
      "balancers", po::value(&options.balancers), "sizes of sweep")(
      "upstreams-per-balancer", po::value(&options.upstreams_per_balancer),
      "upstreams for each balancer of sweep (2)");
  po::positional_options_description positions;
  positions.add("command", 1).add("pattern", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(described)
                  .positional(positions)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "filberthollow-lab: {}\n", error.what());
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::ostringstream text;
    text << described;
    fmt::print("{}", text.str());
    return 0;
  }
  return RunCommand(std::move(options));
}

}  // namespace
}  // namespace filberthollow::lab

int main(int argc, char** argv) {
  return filberthollow::lab::Main(argc, argv);
}
