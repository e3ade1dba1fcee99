// Tells when the next key of a ring becomes active.
//
//   KeyActivationTimer activation(loop, &base::WallMillis,
//                            [this](base::Millis wall) { Activate(wall); });
//   activation.Arm(keys);  // whenever the keys changed or one was activated
#ifndef FILBERTHOLLOW_CONFIG_KEY_ACTIVATION_H_
#define FILBERTHOLLOW_CONFIG_KEY_ACTIVATION_H_

#include <functional>

#include "filberthollow/flow/token.h"
#include "filberthollow/net/loop.h"

namespace filberthollow::config {

// KeyActivationTimer belongs to the task that owns the loop.
class KeyActivationTimer {
 public:
  // WallClock returns the calendar time. It and the loop's clock disagree by
  // up to a millisecond, so a timer may fire just before a key is active.
  using WallClock = std::function<base::Millis()>;
  // Activate brings the keys up to the calendar time and arms again.
  using Activate = std::function<void(base::Millis wall_now)>;

  KeyActivationTimer(net::Loop& loop, WallClock wall, Activate activate);

  // Arm calls `activate` when the next key of the ring becomes active, and
  // forgets the rings armed before.
  void Arm(const flow::KeyRing& keys);

 private:
  net::Loop& m_loop;
  const WallClock m_wall;
  const Activate m_activate;
  net::Loop::TimerId m_timer;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_KEY_ACTIVATION_H_
