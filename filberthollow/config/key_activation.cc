#include "filberthollow/config/key_activation.h"

#include <algorithm>
#include <utility>

namespace filberthollow::config {

KeyActivationTimer::KeyActivationTimer(net::Loop& loop,
                                       WallClock wall,
                                       Activate activate)
    : m_loop(loop), m_wall(std::move(wall)), m_activate(std::move(activate)) {}

void KeyActivationTimer::Arm(const flow::KeyRing& keys) {
  m_loop.Cancel(m_timer);
  base::Millis next = keys.NextActivation();
  if (next < base::kNever) {
    base::Millis delay = std::max(next - m_wall(), base::Millis(0));
    m_timer = m_loop.After(delay, [this] { m_activate(m_wall()); });
  }
}

}  // namespace filberthollow::config
