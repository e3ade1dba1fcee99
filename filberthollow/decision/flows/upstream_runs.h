// Decides which run of an upstream its heartbeats show to be the current one.
//
// A run is one execution of the upstream process. Only one process can be bound
// to the upstream's address, so a heartbeat of a run that started later shows
// that the current run has ended. A heartbeat of a run that appears to have
// started earlier is either late, because its sender has ended since, or the
// clock of the upstream's host was set back between two starts. Such a run
// becomes the current one only when it goes on sending heartbeats while the
// current run sends none.
//
//   UpstreamRuns runs(heartbeat_interval);
//   RunVerdict verdict = runs.OnHeartbeat({id, started}, sequence, now);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_RUNS_H_
#define FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_RUNS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "filberthollow/base/clock.h"

namespace filberthollow::decision::flows {

// UpstreamRun identifies one run of an upstream.
struct UpstreamRun {
  std::string id;            // empty if no run is known
  base::Millis started{-1};  // calendar time, by the upstream's clock
  friend bool operator==(const UpstreamRun&, const UpstreamRun&) = default;
};

// RunVerdict tells which run a heartbeat is from.
enum class RunVerdict : uint8_t {
  kCurrent,   // the current run
  kFirst,     // the first run known, which is now the current one
  kReplaced,  // another run, which is now the current one
  // The following ones must have no effect.
  kStale,    // a newer heartbeat of the current run has been processed
  kEarlier,  // a run that has ended, or is not known to have replaced the
             // current one
};

// UpstreamRuns is not thread-safe. All times are monotonic unless stated
// otherwise.
class UpstreamRuns {
 public:
  // Heartbeat intervals without a heartbeat of the current run after which
  // another run may replace it whatever their start times.
  static constexpr int64_t kMissedHeartbeats = 2;
  // Limits the runs that are remembered as ended.
  static constexpr size_t kMaxEnded = 8;

  explicit UpstreamRuns(base::Millis heartbeat_interval)
      : m_interval(heartbeat_interval) {}

  // Processes a heartbeat; `sequence` increases with each heartbeat of a run.
  RunVerdict OnHeartbeat(const UpstreamRun& run,
                         uint64_t sequence,
                         base::Millis now);
  // Processes the announcement that the run `id` ends. `started` and `sequence`
  // are 0 if they are not known. Returns kCurrent if it is from the current
  // run, and kStale or kEarlier if it is late.
  RunVerdict OnEnd(const std::string& id,
                   base::Millis started,
                   uint64_t sequence);
  // Call this after the agent's own process was paused: it could not receive
  // the heartbeats of the current run meanwhile.
  void OnProcessPaused(base::Millis now);

  const UpstreamRun& current() const { return m_current; }

 private:
  // A run that may have replaced the current one although it appears to have
  // started earlier, or to have ended.
  struct Contender {
    UpstreamRun run;
    uint64_t last_sequence = 0;
    base::Millis first_heard;
  };

  RunVerdict OnContender(const UpstreamRun& run,
                         uint64_t sequence,
                         base::Millis now);
  void SetCurrent(const UpstreamRun& run, uint64_t sequence, base::Millis now);
  bool HasEnded(const UpstreamRun& run) const;

  const base::Millis m_interval;
  UpstreamRun m_current;
  uint64_t m_last_sequence = 0;
  bool m_end_announced = false;  // of the current run
  // When the current run was heard last, or the end of the last pause.
  base::Millis m_last_heard;
  std::optional<Contender> m_contender;
  std::deque<UpstreamRun> m_ended;  // oldest first
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_UPSTREAM_RUNS_H_
