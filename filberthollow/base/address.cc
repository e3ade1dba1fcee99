#include "filberthollow/base/address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace filberthollow::base {
namespace {

Error InvalidAddressError(std::string_view text) {
  return MakeError(std::errc::invalid_argument, "parse address",
                   std::string(text), "expected A.B.C.D:PORT");
}

}  // namespace

Result<Address> Address::Parse(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidAddressError(text);
  }
  std::string host(text.substr(0, colon));
  std::string_view digits = text.substr(colon + 1);
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return InvalidAddressError(text);
  }
  uint16_t port = 0;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return InvalidAddressError(text);
  }
  return Address{ntohl(parsed.s_addr), port};
}

std::string Address::IpText() const {
  return fmt::format("{}.{}.{}.{}", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255,
                     ip & 255);
}

std::string Address::Text() const {
  return fmt::format("{}:{}", IpText(), port);
}

}  // namespace filberthollow::base
