// The verbs of the operator's command, in one table.
//
//   int exit_code = RunCommandLine(arguments);
#ifndef FILBERTHOLLOW_OPERATOR_COMMANDS_H_
#define FILBERTHOLLOW_OPERATOR_COMMANDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/operator/blocking_store.h"

namespace filberthollow::operator_tool {

// Exit codes that scripts can use.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailed = 1;           // could not be carried out
inline constexpr int kExitUsage = 2;            // the command line is wrong
inline constexpr int kExitInvalidSettings = 3;  // settings were refused
inline constexpr int kExitConflict = 4;         // another operator was faster
inline constexpr int kExitDifferent = 5;  // diff found differences, or status
                                          // found processes that lag

// SubcommandContext is what a verb works with.
struct SubcommandContext {
  HttpBlockingStore* store = nullptr;  // null where the verb needs no platform
  std::string author;
  bool json = false;
  std::vector<std::string> arguments;  // behind the verb
};

// Subcommand is one verb.
struct Subcommand {
  std::string_view name;
  std::string_view argument_names;
  size_t min_arguments;
  size_t max_arguments;
  bool needs_platform;
  std::string_view help;
  int (*run)(const SubcommandContext& context);
};

// Subcommands returns the table.
const std::vector<Subcommand>& Subcommands();
// RunCommandLine parses the command line and runs the verb; returns an exit
// code.
int RunCommandLine(const std::vector<std::string>& arguments);

namespace internal {
// The verbs that report, in report_commands.cc.
int RunStatus(const SubcommandContext& context);
int RunExplain(const SubcommandContext& context);
// Fail prints an error and returns the exit code that fits it.
int Fail(const base::Error& error);
}  // namespace internal

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_COMMANDS_H_
