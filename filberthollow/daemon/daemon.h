// Start-up code shared by the daemons: parsing the command line, reading and
// validating the process file, and exit codes.
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
// An address could not be bound.
inline constexpr int kExitBindFailed = 1;
// The command line or the process file is invalid.
inline constexpr int kExitInvalidConfiguration = 2;

// DaemonOptions holds the options given on the command line.
struct DaemonOptions {
  std::string settings_path;  // of the process file; empty with `passthrough`
  bool check_only = false;    // validate the process file and exit
  // Forward packets of flows whose endpoints use their own protocol.
  bool passthrough = false;
  friend bool operator==(const DaemonOptions&, const DaemonOptions&) = default;
};

// ParseOptions parses the command line. If the process should exit at once, it
// prints the help text or an error, sets `exit_code` and returns nullopt.
std::optional<DaemonOptions> ParseOptions(int argc,
                                          char** argv,
                                          const char* name,
                                          int& exit_code);
// FailWith logs `error` as the event `event` and returns `exit_code`.
int FailWith(const char* event, const base::Error& error, int exit_code);

// ConfigureLog sets the process name in log lines and, unless standard output
// is a terminal, makes it non-blocking, so that a stalled log reader does not
// block the process.
void ConfigureLog(const std::string& process);

// RunDaemon parses the command line and the process file, then runs the daemon
// until it is asked to stop. With `--passthrough` it calls `run_passthrough`
// instead of reading a process file. `name` is the program's name in messages.
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
    // Printed as plain text: the log is not configured yet.
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
