#include "filberthollow/config/key_activation.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace filberthollow::config {
namespace {

using base::Millis;

// Fake calendar clock. Returns the given times one after the other, then keeps
// returning the last.
struct ScriptedClock {
  std::vector<Millis> times;
  size_t next = 0;
  Millis Now() {
    return times.at(next + 1 < times.size() ? next++ : times.size() - 1);
  }
};

// Sets the timer as the config tasks do, while the clock returns `times`.
// Returns the signing epoch after 100 ms. Key 2 becomes active at 50 ms.
uint32_t SigningEpochAfter(std::vector<Millis> times) {
  base::SystemClock steady;
  net::Loop loop(steady);
  ScriptedClock wall{std::move(times)};
  flow::KeyRing keys({{1, {1}, Millis(0)}, {2, {2}, Millis(50)}}, Millis(40));
  KeyActivationTimer* self = nullptr;
  KeyActivationTimer activation(
      loop, [&wall] { return wall.Now(); },
      [&](Millis wall_now) {
        keys = keys.At(wall_now);
        self->Arm(keys);
      });
  self = &activation;
  activation.Arm(keys);
  bool done = false;
  loop.After(Millis(100), [&done] { done = true; });
  loop.RunUntil([&done] { return done; });
  return keys.signing_epoch();
}

BOOST_AUTO_TEST_CASE(AKeyIsActivatedOnTime) {
  BOOST_TEST(SigningEpochAfter({Millis(40), Millis(50)}) == 2u);
}

// The loop's clock and the calendar clock can differ by 1 ms, so the timer can
// fire 1 ms early, and the key can become active between two reads of the
// clock. The key must be activated nevertheless.
BOOST_AUTO_TEST_CASE(AKeyIsActivatedAfterATimerThatFiredEarly) {
  BOOST_TEST(SigningEpochAfter({Millis(40), Millis(49), Millis(50)}) == 2u);
  BOOST_TEST(SigningEpochAfter(
                 {Millis(40), Millis(49), Millis(49), Millis(50)}) == 2u);
}

BOOST_AUTO_TEST_CASE(AKeyIsActivatedAfterTheClockWasSetBackOrForward) {
  BOOST_TEST(SigningEpochAfter({Millis(40), Millis(10), Millis(60)}) == 2u);
  BOOST_TEST(SigningEpochAfter({Millis(60), Millis(60)}) == 2u);
}

}  // namespace
}  // namespace filberthollow::config
