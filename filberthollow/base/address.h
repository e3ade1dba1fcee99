// An IPv4 endpoint (address and port). All network peers are identified by one.
//
//   Result<Address> a = Address::Parse("127.0.0.1:9000");
#ifndef FILBERTHOLLOW_BASE_ADDRESS_H_
#define FILBERTHOLLOW_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "filberthollow/base/error.h"

namespace filberthollow::base {

// Address is an IPv4 endpoint; {0, 0} means "no address".
struct Address {
  uint32_t ip = 0;  // host byte order
  uint16_t port = 0;

  friend constexpr auto operator<=>(Address, Address) = default;

  // Parse parses "A.B.C.D:PORT". Binding to port 0 assigns a free port.
  static Result<Address> Parse(std::string_view text);
  // IpText returns "A.B.C.D".
  std::string IpText() const;
  // Text returns "A.B.C.D:PORT".
  std::string Text() const;
};

// AddressHash is a hash function for unordered containers keyed by Address.
struct AddressHash {
  size_t operator()(Address address) const {
    return (size_t{address.ip} << 16 | address.port) * 0x9e3779b97f4a7c15ULL;
  }
};

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_ADDRESS_H_
