// StoreWatch watches the objects below a prefix of the object store, and
// notices if an answer is lost.
//
// Each answer is followed by the next watch. An answer that is overdue counts
// as a failure: the store is called again, after a delay, on another
// connection. The overdue call goes on meanwhile, and its answer is used if it
// comes first, so a slow store is never cut short. See WatchSchedule and
// StoreRetry for the times.
//
//   StoreWatch watch(loop, store, metrics, options, handlers);
//   watch.Start();
//   watch.SetFleet(fleet_size, turn);  // when either changes
#ifndef FILBERTHOLLOW_CONFIG_STORE_WATCH_H_
#define FILBERTHOLLOW_CONFIG_STORE_WATCH_H_

#include <cstdint>
#include <functional>
#include <string>

#include "filberthollow/base/clock.h"
#include "filberthollow/config/store_retry.h"
#include "filberthollow/decision/membership/watch_schedule.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/loop.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// What an answer was worth to the task that watches.
enum class AnswerEffect : uint8_t {
  kApplied,
  kIncomplete,  // applied as far as possible; all objects are to be listed
  kOutdated,    // older than what is in force; counts as a failure
};

// Callbacks of a StoreWatch. They must not call it back, but for Spread().
struct WatchHandlers {
  // Returns the revision up to which changes are known; 0 to list all objects.
  std::function<uint64_t()> known_revision;
  // Returns whether anything is in force; see StoreRetry::Next().
  std::function<bool()> has_state;
  std::function<AnswerEffect(const platform::WatchAnswer&)> on_answer;
  // Called after each answer and each failure; `why` is empty or the error.
  std::function<void(bool reachable, const std::string& why)> on_reachable;
};

// Names of the counters of a StoreWatch.
struct WatchCounters {
  std::string calls;
  std::string failed;
  std::string overdue;
};

struct StoreWatchOptions {
  std::string prefix;
  WatchCounters counters;
  // Time within which a change must be in force everywhere.
  base::Millis deadline;
  // The rate of reads that the store grants to this watch in all balancers
  // together.
  uint32_t store_reads_per_second = 2000;
  uint64_t seed = 0;  // of the jitter of retries
  std::function<base::Millis()> wall_clock = &base::WallMillis;
};

// StoreWatch is used on the loop's thread. It must outlive its pending calls.
class StoreWatch {
 public:
  StoreWatch(net::Loop& loop,
             platform::ObjectStore& store,
             metrics::Metrics& metrics,
             StoreWatchOptions options,
             WatchHandlers handlers);

  void Start() { Call(base::Millis(0)); }
  // Sets the number of balancers, and the place of this one among those that
  // take turns. Applies from the next call on.
  void SetFleet(size_t balancers, decision::membership::StoreTurn turn);
  // See StoreRetry::Spread().
  base::Millis Spread() { return m_retry.Spread(m_fleet_size); }

 private:
  // Asks the store for changes. It answers at the first change, or after
  // `wait`.
  void Call(base::Millis wait);
  void CallAfter(base::Millis delay);
  void OnAnswered(uint64_t call,
                  const base::Result<platform::WatchAnswer>& answer);
  void OnOverdue(base::Millis waited);
  // Handles the failure of a call: schedules another one, unless a later call
  // than `call` has been made or scheduled already.
  void OnFailed(uint64_t call, const std::string& why);
  void CallAgain(const std::string& why);

  net::Loop& m_loop;
  platform::ObjectStore& m_store;
  metrics::Metrics& m_metrics;
  const StoreWatchOptions m_options;
  const WatchHandlers m_handlers;
  decision::membership::WatchSchedule m_schedule;
  StoreRetry m_retry;
  size_t m_fleet_size = 1;
  uint64_t m_last_call = 0;
  // The answers of this call and of earlier ones are no longer used.
  uint64_t m_settled_call = 0;
  // Whether m_timer makes the next call, rather than noting that the answer of
  // the last one is overdue.
  bool m_call_scheduled = false;
  net::Loop::TimerId m_timer;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_STORE_WATCH_H_
