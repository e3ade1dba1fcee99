// The core of the load lab: a discrete-event engine with a virtual clock, and
// streams of random numbers.
//
//   Engine engine;
//   engine.After(base::Millis(5), [&] { ... });
//   engine.RunUntil(base::Millis(10'000));
//
// The same seed gives the same run on every machine. Each source of randomness
// has a stream of its own, so that a change of one does not shift the others;
// two policies thus meet the same arrivals.
#ifndef FILBERTHOLLOW_LAB_ENGINE_H_
#define FILBERTHOLLOW_LAB_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string_view>
#include <vector>

#include <boost/random/mersenne_twister.hpp>

#include "filberthollow/base/clock.h"

namespace filberthollow::lab {

// Engine runs actions in the order of their times, and of their scheduling if
// the times are equal. It is not thread-safe.
class Engine {
 public:
  using Action = std::function<void()>;

  base::Millis Now() const { return m_now; }
  // Schedules an action. A time in the past counts as now.
  void At(base::Millis time, Action action);
  void After(base::Millis delay, Action action) {
    At(m_now + delay, std::move(action));
  }
  // Runs all actions up to and including `end`.
  void RunUntil(base::Millis end);
  // Returns the number of actions that have run.
  uint64_t events() const { return m_events; }

 private:
  struct Event {
    base::Millis time;
    uint64_t order = 0;
    Action action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  base::Millis m_now{0};
  uint64_t m_next_order = 0;
  uint64_t m_events = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_queue;
};

// RandomStream is one source of random numbers, named after what it decides.
// Boost.Random is used because its distributions, unlike the standard
// library's, are the same everywhere.
class RandomStream {
 public:
  RandomStream(uint64_t seed, std::string_view name);

  // Returns a number from 0 up to but excluding 1.
  double Uniform();
  // Returns an index below `size`, which must be positive.
  size_t Index(size_t size);
  bool Chance(double probability) { return Uniform() < probability; }
  double Exponential(double mean);
  // Returns a log-normal number. `spread` is the standard deviation over the
  // mean.
  double LogNormal(double mean, double spread);

 private:
  boost::random::mt19937_64 m_generator;
};

}  // namespace filberthollow::lab

#endif  // FILBERTHOLLOW_LAB_ENGINE_H_
