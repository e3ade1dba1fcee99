#include "filberthollow/base/error.h"

#include <fmt/format.h>

#include <cerrno>

namespace filberthollow::base {

Error Error::WithContext(std::string new_step, std::string new_peer) const {
  return Error{code, std::move(new_step), std::move(new_peer),
               detail.empty() ? peer : detail};
}

std::string Error::Text() const {
  std::string text = fmt::format("{} {}: {}", step, peer, code.message());
  if (!detail.empty()) {
    text += fmt::format(" ({})", detail);
  }
  return text;
}

Error MakeError(std::errc code,
                std::string step,
                std::string peer,
                std::string detail) {
  return Error{std::make_error_code(code), std::move(step), std::move(peer),
               std::move(detail)};
}

Error SystemError(std::string step, std::string peer) {
  return Error{std::error_code(errno, std::generic_category()), std::move(step),
               std::move(peer), ""};
}

}  // namespace filberthollow::base
