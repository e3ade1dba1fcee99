// Writes objects that the store has lost back to it.
//
// Every process that holds such an object tries, at a time that the caller
// chooses at random, so that usually one of them writes and the others see the
// result first. Writes are conditional on the version that the store had, so
// what was written there meanwhile stays.
//
//   WriteBack write_back(store, {after, still_lost}, metrics, seed);
//   write_back.Start(lost, retry.Spread(fleet_size));
#ifndef FILBERTHOLLOW_CONFIG_WRITE_BACK_H_
#define FILBERTHOLLOW_CONFIG_WRITE_BACK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "filberthollow/base/clock.h"
#include "filberthollow/config/backoff.h"
#include "filberthollow/config/config.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// WriteBack is not thread-safe. It belongs to the task that owns the store,
// which must not call it after it is destroyed.
class WriteBack {
 public:
  // What the task provides.
  struct Host {
    // Calls the function once after the delay.
    std::function<void(base::Millis, std::function<void()>)> after;
    // Returns whether the store still lacks the object, as far as is known.
    std::function<bool(const LostObject&)> still_lost;
  };

  // Limits of the exponential backoff of failed writes of one object.
  static constexpr base::Millis kInitialRetryDelay{500};
  static constexpr base::Millis kMaxRetryDelay{10'000};

  // `store` and `metrics` must outlive this object; `seed` is of the jitter.
  WriteBack(platform::ObjectStore& store,
            Host host,
            metrics::Metrics& metrics,
            uint64_t seed);

  // Writes the object after `delay`, if it is still lost then. A write that
  // fails is repeated while the object is lost; a conflict ends it, since
  // the store has a version that the caller hasn't seen. If the object is
  // waiting already, only what will be written changes.
  void Start(const LostObject& lost, base::Millis delay);

 private:
  struct Pending {
    LostObject lost;
    Backoff backoff;
  };

  void Write(const std::string& name);
  void OnAnswer(const LostObject& lost,
                const base::Result<platform::WriteAnswer>& answer);

  platform::ObjectStore& m_store;
  const Host m_host;
  metrics::Metrics& m_metrics;
  const uint64_t m_seed;
  // Objects that wait for a write or its answer, by name.
  std::map<std::string, Pending> m_pending;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_WRITE_BACK_H_
