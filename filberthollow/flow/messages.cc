#include "filberthollow/flow/messages.h"

#include <algorithm>

namespace filberthollow::flow {

uint32_t PartCount(uint64_t size) {
  uint64_t parts = (size + kPartBytes - 1) / kPartBytes;
  return static_cast<uint32_t>(std::max<uint64_t>(parts, 1));
}

uint64_t AnswerChecksum(std::string_view answer) {
  return base::HashBytes(answer);
}

const FlowToken* TokenOf(const Up& message) {
  return std::visit(
      [](const auto& m) -> const FlowToken* {
        if constexpr (requires { m.token; }) {
          return &m.token;
        } else {
          return nullptr;
        }
      },
      message);
}

}  // namespace filberthollow::flow
