#include "filberthollow/base/clock.h"

#include <chrono>

namespace filberthollow::base {

Millis SystemClock::Now() const {
  auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_start)
          .count());
}

Millis WallMillis() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace filberthollow::base
