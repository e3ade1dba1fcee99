#include "filberthollow/daemon/daemon.h"

#include <unistd.h>

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>

namespace filberthollow::daemon {

std::optional<DaemonOptions> ParseOptions(int argc,
                                          char** argv,
                                          const char* name,
                                          int& exit_code) {
  namespace po = boost::program_options;
  po::options_description options(fmt::format("{} OPTIONS", name));
  options.add_options()("help", "print this help")(
      "settings", po::value<std::string>(), "the process file (JSON)")(
      "passthrough",
      "forward flows whose endpoints use their own protocol; the platform "
      "names the process file")("check", "validate the process file and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}: {}\n", name, error.what());
    exit_code = kExitInvalidConfiguration;
    return std::nullopt;
  }
  bool passthrough = values.count("passthrough") != 0;
  bool has_path = values.count("settings") != 0;
  if (values.count("help") != 0 || has_path == passthrough) {
    std::cout << options;
    exit_code =
        values.count("help") != 0 ? kExitSuccess : kExitInvalidConfiguration;
    return std::nullopt;
  }
  return DaemonOptions{
      has_path ? values["settings"].as<std::string>() : std::string(),
      values.count("check") != 0, passthrough};
}

void ConfigureLog(const std::string& process) {
  base::SetLogProcess(process);
  // A terminal is shared with the shell, which would get the non-blocking mode
  // too but expects blocking reads and writes.
  if (isatty(STDOUT_FILENO) == 0) {
    base::MakeNonBlocking(STDOUT_FILENO);
  }
}

int FailWith(const char* event, const base::Error& error, int exit_code) {
  base::Log(base::Level::kError, event, {{"error", error.Text()}});
  return exit_code;
}

}  // namespace filberthollow::daemon
