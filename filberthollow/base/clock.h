// The millisecond time type and the clock interface used throughout.
//
// `Millis` represents both time points (since an arbitrary epoch) and
// durations. Decision code takes the current time as a `Millis` argument and
// never reads a clock; only tasks hold a `Clock`.
//
//   Millis deadline = clock.Now() + Millis(250);
//   if (clock.Now() >= deadline) { ... }
#ifndef FILBERTHOLLOW_BASE_CLOCK_H_
#define FILBERTHOLLOW_BASE_CLOCK_H_

#include <compare>
#include <cstdint>

namespace filberthollow::base {

// Millis is a count of milliseconds.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : m_count(count) {}

  // Returns the number of milliseconds.
  constexpr int64_t count() const { return m_count; }

  friend constexpr auto operator<=>(Millis, Millis) = default;
  friend constexpr Millis operator+(Millis a, Millis b) {
    return Millis(a.m_count + b.m_count);
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return Millis(a.m_count - b.m_count);
  }
  friend constexpr Millis operator*(Millis a, int64_t factor) {
    return Millis(a.m_count * factor);
  }

 private:
  int64_t m_count = 0;
};

// kNever is later than any time that a clock returns.
inline constexpr Millis kNever{INT64_MAX / 4};

// Clock is a source of the current time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  // Returns the current time, which never decreases.
  virtual Millis Now() const = 0;
};

// SystemClock reads the monotonic clock of the host.
class SystemClock final : public Clock {
 public:
  Millis Now() const override;
};

// WallMillis returns the milliseconds since 1970 by the host's wall clock. It
// may jump; use it only where hosts must agree approximately, such as for
// incarnations and for leases in records.
Millis WallMillis();

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_CLOCK_H_
