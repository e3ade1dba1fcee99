// Error values that record the failed step and the object that it worked on.
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

// Error is an error code with the operation that failed and its object.
struct Error {
  std::error_code code;
  std::string step;    // the operation that failed, such as "bind"
  std::string peer;    // the address, file or field that was operated on
  std::string detail;  // actual and expected input; may be empty

  friend bool operator==(const Error&, const Error&) = default;

  // WithContext returns a copy with another step and peer. The old peer becomes
  // the detail if there was none.
  Error WithContext(std::string new_step, std::string new_peer) const;
  // Text returns a one-line description: "step peer: message (detail)".
  std::string Text() const;
};

// MakeError returns an error with a portable code.
Error MakeError(std::errc code,
                std::string step,
                std::string peer,
                std::string detail = "");
// SystemError returns an error with the code in errno; call it immediately
// after the system call failed.
Error SystemError(std::string step, std::string peer);

// Result holds either a value or an error.
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

// Done is the value type of a Result that carries no value.
struct Done {
  friend bool operator==(Done, Done) = default;
};

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_ERROR_H_
