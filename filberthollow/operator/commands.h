// The subcommands of the operator's command, in one table.
//
//   int exit_code = RunCommandLine(arguments);
#ifndef FILBERTHOLLOW_OPERATOR_COMMANDS_H_
#define FILBERTHOLLOW_OPERATOR_COMMANDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/operator/blocking_store.h"

namespace filberthollow::operator_tool {

// Exit codes, for use by scripts.
inline constexpr int kExitSuccess = 0;
// The operation failed, for example because the platform is unreachable.
inline constexpr int kExitFailed = 1;
// The command line is invalid.
inline constexpr int kExitUsage = 2;
// Settings are invalid and were rejected.
inline constexpr int kExitInvalidSettings = 3;
// Another operator changed the same field or the keys concurrently.
inline constexpr int kExitConflict = 4;
// `diff` found differences, or `status` found processes that have not received
// the newest settings revision, or `evacuations` an incomplete evacuation.
inline constexpr int kExitDifferent = 5;

// SubcommandContext holds the global options and the arguments of one
// invocation of a subcommand.
struct SubcommandContext {
  // Not owned; null if the subcommand does not need the platform.
  HttpBlockingStore* store = nullptr;
  std::string author;                  // recorded with each change of the tree
  bool json = false;                   // print JSON instead of text
  std::vector<std::string> arguments;  // after the subcommand
};

// Subcommand is one row of the table.
struct Subcommand {
  std::string_view name;
  std::string_view argument_names;  // for the usage text
  size_t min_arguments;
  size_t max_arguments;
  bool needs_platform;
  std::string_view help;
  // Returns the exit code.
  int (*run)(const SubcommandContext& context);
};

// Subcommands returns the table.
const std::vector<Subcommand>& Subcommands();
// RunCommandLine parses the command line, without the program's name, and runs
// the subcommand. Returns the exit code.
int RunCommandLine(const std::vector<std::string>& arguments);

namespace internal {
// Subcommands that query running processes; defined in report_commands.cc.
int RunStatus(const SubcommandContext& context);
int RunExplain(const SubcommandContext& context);
int RunEvacuations(const SubcommandContext& context);
// Fail prints an error to standard error and returns the matching exit code.
int Fail(const base::Error& error);
}  // namespace internal

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_COMMANDS_H_
