// Errors that say what failed, in which step and at which peer.
//
//   Result<Address> address = Address::Parse(text);
//   if (!address) return address.error().WithContext("read settings", file);
#ifndef FILBERTHOLLOW_BASE_ERROR_H_
#define FILBERTHOLLOW_BASE_ERROR_H_

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace filberthollow::base {

// Error is an error code with the step and the peer at which it arose.
struct Error {
  std::error_code code;
  std::string step;    // what was being done, such as "bind"
  std::string peer;    // whom it was done with: an address, file or field
  std::string detail;  // what was found and what was expected; may be empty

  friend bool operator==(const Error&, const Error&) = default;

  // WithContext returns the same error placed at another step and peer.
  Error WithContext(std::string new_step, std::string new_peer) const;
  // Text returns one line for people: "step peer: message (detail)".
  std::string Text() const;
};

// MakeError builds an error from a portable code.
Error MakeError(std::errc code,
                std::string step,
                std::string peer,
                std::string detail = "");
// SystemError builds an error from errno; call it right after the failure.
Error SystemError(std::string step, std::string peer);

// Result holds a value or the error that prevented it.
template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value)  // NOLINT(google-explicit-constructor)
      : m_state(std::in_place_index<0>, std::move(value)) {}
  Result(Error error)  // NOLINT(google-explicit-constructor)
      : m_state(std::in_place_index<1>, std::move(error)) {}

  // Returns whether a value is held.
  explicit operator bool() const { return m_state.index() == 0; }
  // Returns the value; requires that one is held.
  const T& operator*() const { return std::get<0>(m_state); }
  T& operator*() { return std::get<0>(m_state); }
  const T* operator->() const { return &std::get<0>(m_state); }
  T* operator->() { return &std::get<0>(m_state); }
  // Returns the error; requires that no value is held.
  const Error& error() const { return std::get<1>(m_state); }

 private:
  std::variant<T, Error> m_state;
};

// Done is the value of an operation that returns nothing else.
struct Done {
  friend bool operator==(Done, Done) = default;
};

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_ERROR_H_
