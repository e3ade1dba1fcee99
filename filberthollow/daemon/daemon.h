// What the daemons have in common: the command line, reading and checking the
// process file, and the exit codes.
//
//   int main(int argc, char** argv) {
//     return RunDaemon<AgentFile>(argc, argv, "filberthollow-agent",
//                                 &ParseAgentFile, &RunAgent,
//                                 &RunPassthroughAgent);
//   }
#ifndef FILBERTHOLLOW_DAEMON_DAEMON_H_
#define FILBERTHOLLOW_DAEMON_DAEMON_H_

#include <fmt/format.h>

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/base/error.h"
#include "filberthollow/base/log.h"
#include "filberthollow/kernel/kernel.h"
#include "filberthollow/settings/process_file.h"

namespace filberthollow::daemon {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitBindFailed = 1;  // an address could not be bound
inline constexpr int kExitInvalidConfiguration =
    2;  // wrong command line or process file

// DaemonOptions are read from the command line.
struct DaemonOptions {
  std::string settings_path;  // empty with `passthrough`
  bool check_only = false;
  bool passthrough = false;  // for flows whose ends have their own protocol
  friend bool operator==(const DaemonOptions&, const DaemonOptions&) = default;
};

// ParseOptions reads the command line. It prints help or what is wrong; then
// `exit_code` is set and nothing is returned.
std::optional<DaemonOptions> ParseOptions(int argc,
                                          char** argv,
                                          const char* name,
                                          int& exit_code);
// FailWith logs an error under the event's name and returns `exit_code`.
int FailWith(const char* event, const base::Error& error, int exit_code);

// ConfigureLog names the process in its log lines, and keeps a reader that
// stalls from stalling the process.
void ConfigureLog(const std::string& process);

// RunDaemon reads and checks the process file and runs the daemon until it is
// told to stop; with `--passthrough` it leaves all that to `run_passthrough`.
// Returns the exit code.
template <class File>
int RunDaemon(int argc,
              char** argv,
              const char* name,
              base::Result<File> (*parse)(std::string_view, std::string_view),
              int (*run)(const File&),
              int (*run_passthrough)(const DaemonOptions&)) {
  kernel::BlockSignals();
  int exit_code = kExitSuccess;
  auto options = ParseOptions(argc, argv, name, exit_code);
  if (!options) {
    return exit_code;
  }
  if (options->passthrough) {
    return run_passthrough(*options);
  }
  auto text = settings::ReadFile(options->settings_path);
  auto file = text ? parse(*text, options->settings_path)
                   : base::Result<File>(text.error());
  if (!file) {
    // For the person at the terminal; the process has no log yet.
    fmt::print(stderr, "{}: {}\n", name, file.error().Text());
    return kExitInvalidConfiguration;
  }
  if (options->check_only) {
    return kExitSuccess;
  }
  base::SetLogLevel(file->log_level);
  ConfigureLog(file->name);
  return run(*file);
}

}  // namespace filberthollow::daemon

#endif  // FILBERTHOLLOW_DAEMON_DAEMON_H_
