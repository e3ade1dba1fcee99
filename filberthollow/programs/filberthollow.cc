// filberthollow: the operator's command-line tool.
#include <unistd.h>

#include "filberthollow/base/log.h"
#include "filberthollow/operator/commands.h"

int main(int argc, char** argv) {
  // Standard output is reserved for the subcommand's result.
  filberthollow::base::SetLogDescriptor(STDERR_FILENO);
  return filberthollow::operator_tool::RunCommandLine({argv + 1, argv + argc});
}
