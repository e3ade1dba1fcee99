// A timer for the time at which the next key of a key ring becomes active.
//
//   KeyActivationTimer timer(loop, &base::WallMillis,
//                            [this](base::Millis wall) { Activate(wall); });
//   timer.Arm(keys);  // after each change or activation of keys
#ifndef FILBERTHOLLOW_CONFIG_KEY_ACTIVATION_H_
#define FILBERTHOLLOW_CONFIG_KEY_ACTIVATION_H_

#include <functional>

#include "filberthollow/flow/token.h"
#include "filberthollow/net/loop.h"

namespace filberthollow::config {

// KeyActivationTimer is not thread-safe. It belongs to the task that owns
// `loop`, which must not run after the timer is destroyed.
class KeyActivationTimer {
 public:
  // Returns the calendar time. The calendar clock and the loop's clock may
  // differ by up to 1 ms, so the timer may fire shortly before the key becomes
  // active.
  using WallClock = std::function<base::Millis()>;
  // Selects the signing key for the calendar time `wall_now` and calls Arm()
  // again.
  using Activate = std::function<void(base::Millis wall_now)>;

  KeyActivationTimer(net::Loop& loop, WallClock wall, Activate activate);

  // Sets the timer to call `activate` when the next key of the ring becomes
  // active. If no key is going to, no timer is set. An earlier call is
  // cancelled in both cases.
  void Arm(const flow::KeyRing& keys);

 private:
  net::Loop& m_loop;
  const WallClock m_wall;
  const Activate m_activate;
  net::Loop::TimerId m_timer;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_KEY_ACTIVATION_H_
