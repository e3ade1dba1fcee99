// filberthollow-standin: a test server that stands in for the platform or for
// an upstream.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "filberthollow/base/log.h"
#include "filberthollow/kernel/kernel.h"
#include "filberthollow/standins/platform_task.h"
#include "filberthollow/standins/upstream_task.h"

namespace {

namespace base = filberthollow::base;
namespace kernel = filberthollow::kernel;
namespace standins = filberthollow::standins;

constexpr int kExitUsage = 2;

template <class Task>
int Run(std::unique_ptr<Task> task, kernel::Kernel& kernel, const char* role) {
  auto address = task->Listen();
  if (!address) {
    base::Log(base::Level::kError, "bind_failed",
              {{"error", address.error().Text()}});
    return 1;
  }
  base::Log(base::Level::kInfo, "listening",
            {{"role", role}, {"http", address->Text()}});
  kernel.Add(std::move(task));
  kernel.Start();
  kernel::WaitForStop();
  kernel.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("filberthollow-standin OPTIONS");
  options.add_options()("help", "print this help")(
      "role", po::value<std::string>()->required(),
      "role to play: platform or upstream")(
      "address", po::value<std::string>()->default_value("127.0.0.1:0"),
      "address to listen on")("service",
                              po::value<std::string>()->default_value(""),
                              "service that the upstream belongs to")(
      "cold-ms", po::value<int64_t>()->default_value(0),
      "time in ms from the start until the upstream is healthy");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "filberthollow-standin: {}\n", error.what());
    return kExitUsage;
  }
  auto address = base::Address::Parse(values["address"].as<std::string>());
  if (!address) {
    fmt::print(stderr, "filberthollow-standin: {}\n", address.error().Text());
    return kExitUsage;
  }
  kernel::BlockSignals();
  base::SystemClock clock;
  kernel::Kernel kernel;
  if (values["role"].as<std::string>() == "platform") {
    return Run(std::make_unique<standins::PlatformTask>(
                   clock, kernel.registry(), *address),
               kernel, "platform");
  }
  standins::UpstreamOptions upstream{
      .address = *address,
      .service = values["service"].as<std::string>(),
      .warm_up = base::Millis(values["cold-ms"].as<int64_t>())};
  return Run(std::make_unique<standins::UpstreamTask>(clock, kernel.registry(),
                                                      upstream),
             kernel, "upstream");
}
