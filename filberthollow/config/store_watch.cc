#include "filberthollow/config/store_watch.h"

#include <fmt/format.h>

#include <utility>

namespace filberthollow::config {

StoreWatch::StoreWatch(net::Loop& loop,
                       platform::ObjectStore& store,
                       metrics::Metrics& metrics,
                       StoreWatchOptions options,
                       WatchHandlers handlers)
    : m_loop(loop),
      m_store(store),
      m_metrics(metrics),
      m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_schedule(m_options.deadline),
      m_retry(m_options.store_reads_per_second,
              m_options.seed,
              m_schedule.LongestRetryDelay()) {}

void StoreWatch::SetFleet(size_t balancers,
                          decision::membership::StoreTurn turn) {
  m_fleet_size = balancers;
  m_schedule.SetTurn(turn);
}

void StoreWatch::Call(base::Millis wait) {
  m_metrics.Add(m_options.counters.calls);
  uint64_t call = ++m_last_call;
  m_call_scheduled = false;
  base::Millis due = wait + m_schedule.AnswerGrace();
  m_timer = m_loop.After(due, [this, due] { OnOverdue(due); });
  m_store.Watch({m_options.prefix, m_handlers.known_revision(), wait},
                [this, call](const auto& answer) { OnAnswered(call, answer); });
}

void StoreWatch::CallAfter(base::Millis delay) {
  m_loop.Cancel(m_timer);
  m_call_scheduled = true;
  // The call after a failure is not held back: if the store has come back from
  // a copy, it may have given out the known revision again before, and would
  // only answer after the next change.
  m_timer = m_loop.After(delay, [this] { Call(base::Millis(0)); });
}

void StoreWatch::OnAnswered(uint64_t call,
                            const base::Result<platform::WatchAnswer>& answer) {
  if (call <= m_settled_call) {
    return;
  }
  if (!answer) {
    OnFailed(call, answer.error().Text());
    return;
  }
  AnswerEffect effect = m_handlers.on_answer(*answer);
  if (effect == AnswerEffect::kOutdated) {
    OnFailed(call, "the answer is older than what is in force");
    return;
  }
  m_settled_call = m_last_call;
  m_loop.Cancel(m_timer);
  m_handlers.on_reachable(true, "");
  m_retry.Reset();
  if (effect == AnswerEffect::kIncomplete) {
    CallAfter(Spread());  // every balancer got this answer
    return;
  }
  Call(m_schedule.NextWait(m_options.wall_clock()));
}

void StoreWatch::OnOverdue(base::Millis waited) {
  m_metrics.Add(m_options.counters.overdue);
  CallAgain(fmt::format("watch {}: no answer within {} ms", m_options.prefix,
                        waited.count()));
}

void StoreWatch::OnFailed(uint64_t call, const std::string& why) {
  m_metrics.Add(m_options.counters.failed);
  if (call == m_last_call && !m_call_scheduled) {
    CallAgain(why);
  }
}

void StoreWatch::CallAgain(const std::string& why) {
  m_handlers.on_reachable(false, why);
  CallAfter(m_retry.Next(m_handlers.has_state(), m_fleet_size));
}

}  // namespace filberthollow::config
