// filberthollow: the operator's command.
#include <unistd.h>

#include "filberthollow/base/log.h"
#include "filberthollow/operator/commands.h"

int main(int argc, char** argv) {
  // Standard output holds the verb's result.
  filberthollow::base::SetLogDescriptor(STDERR_FILENO);
  return filberthollow::operator_tool::RunCommandLine({argv + 1, argv + argc});
}
