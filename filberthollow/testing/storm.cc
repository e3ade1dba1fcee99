#include "filberthollow/testing/storm.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "filberthollow/testing/in_process_path.h"

namespace filberthollow::testing {
namespace {

using base::Millis;

constexpr uint32_t kMillisPerSecond = 1000;
constexpr uint32_t kStepMs = 10;  // time between two batches of submissions

bool IsStorm(const StormPlan& plan, uint32_t second) {
  return second >= plan.before_s && second < plan.before_s + plan.storm_s;
}

uint32_t TotalSeconds(const StormPlan& plan) {
  return plan.before_s + plan.storm_s + plan.after_s;
}

// Returns the requests to submit in the step that starts at `ms`. The load of a
// second is spread evenly over its steps.
uint32_t OfferedAt(const StormPlan& plan, uint32_t ms) {
  uint32_t percent = IsStorm(plan, ms / kMillisPerSecond) ? plan.storm_percent
                                                          : plan.normal_percent;
  uint64_t per_second = uint64_t{plan.Capacity()} * percent / 100;
  uint64_t step_start = ms % kMillisPerSecond;
  return static_cast<uint32_t>(per_second * (step_start + kStepMs) /
                                   kMillisPerSecond -
                               per_second * step_start / kMillisPerSecond);
}

void Summarize(const StormPlan& plan, StormResult& result) {
  uint64_t first = 0;
  for (uint32_t s = plan.before_s; s < plan.before_s + plan.storm_s; ++s) {
    first += result.seconds[s].answered_first;
  }
  result.storm_goodput =
      static_cast<double>(first) / (double{1} * plan.Capacity() * plan.storm_s);
  result.recovery_s = plan.after_s;
  for (uint32_t s = 0; s < plan.after_s; ++s) {
    const StormSecond& second =
        result.seconds[plan.before_s + plan.storm_s + s];
    if (second.answered == second.offered) {
      result.recovery_s = s;
      return;
    }
  }
}

// A request in the baseline.
struct NaiveRequest {
  uint32_t second = 0;  // of submission
  uint32_t attempts = 0;
  uint32_t deadline_ms = 0;  // of the latest attempt
  bool answered = false;
};

// A target in the baseline.
struct NaiveTarget {
  struct Work {
    size_t request;
    uint32_t attempt;
  };
  std::deque<Work> queue;
  std::vector<std::pair<uint32_t, Work>> running;  // each with its end in ms
};

}  // namespace

StormResult RunStorm(const StormPlan& plan) {
  InProcessPath path({}, plan.seed);
  for (uint32_t i = 0; i < plan.targets; ++i) {
    path.AddTarget("desk", {.admission = {.slots = plan.slots}}).work_time =
        plan.work_time;
  }
  path.AddRouter();
  path.AddRouter();
  for (uint32_t i = 0; i < plan.clients; ++i) {
    path.AddClient("desk", {.max_attempts = plan.max_attempts});
  }
  StormResult result;
  result.seconds.resize(TotalSeconds(plan));
  std::vector<std::vector<uint32_t>> submitted(plan.clients);
  uint32_t next = 0;
  for (uint32_t ms = 0; ms < TotalSeconds(plan) * kMillisPerSecond;
       ms += kStepMs) {
    for (uint32_t i = OfferedAt(plan, ms); i > 0; --i) {
      uint32_t client = next++ % plan.clients;
      uint32_t second = ms / kMillisPerSecond;
      ++result.seconds[second].offered;
      submitted[client].push_back(second);
      path.Submit(*path.clients()[client], {.path = "/" + std::to_string(next),
                                            .timeout = plan.timeout});
    }
    path.Run(Millis(kStepMs));
  }
  path.Run(plan.timeout * 2);
  for (uint32_t c = 0; c < plan.clients; ++c) {
    auto& client = *path.clients()[c];
    std::map<uint64_t, uint32_t> second_of_job;
    size_t index = 0;
    for (const auto& [job, unused] : client.jobs) {
      second_of_job[job] = submitted[c][index++];
    }
    for (const caller::Outcome& outcome : client.outcomes) {
      if (outcome.kind == caller::OutcomeKind::kAnswered) {
        StormSecond& second =
            result.seconds[second_of_job.at(outcome.request_id)];
        ++second.answered;
        second.answered_first += outcome.attempts == 1 ? 1 : 0;
      }
    }
  }
  for (const auto& target : path.targets()) {
    for (const auto& [name, runs] : target->runs) {
      result.runs += runs;
    }
    result.retry_runs += target->retry_runs;
  }
  Summarize(plan, result);
  return result;
}

StormResult RunNaiveStorm(const StormPlan& plan) {
  StormResult result;
  result.seconds.resize(TotalSeconds(plan));
  std::vector<NaiveRequest> requests;
  std::vector<NaiveTarget> targets(plan.targets);
  std::multimap<uint32_t, size_t> timeouts;
  auto work_ms = static_cast<uint32_t>(plan.work_time.count());
  auto timeout_ms = static_cast<uint32_t>(plan.timeout.count());
  uint32_t next_target = 0;
  auto send = [&](size_t index, uint32_t now) {
    NaiveRequest& request = requests[index];
    ++request.attempts;
    request.deadline_ms = now + timeout_ms;
    timeouts.emplace(request.deadline_ms, index);
    targets[next_target++ % targets.size()].queue.push_back(
        {index, request.attempts});
  };
  uint32_t end = TotalSeconds(plan) * kMillisPerSecond + timeout_ms * 2;
  for (uint32_t ms = 0; ms < end; ms += kStepMs) {
    bool offering = ms < TotalSeconds(plan) * kMillisPerSecond;
    for (uint32_t i = offering ? OfferedAt(plan, ms) : 0; i > 0; --i) {
      requests.push_back({.second = ms / kMillisPerSecond});
      ++result.seconds[ms / kMillisPerSecond].offered;
      send(requests.size() - 1, ms);
    }
    while (!timeouts.empty() && timeouts.begin()->first <= ms) {
      size_t index = timeouts.begin()->second;
      timeouts.erase(timeouts.begin());
      if (!requests[index].answered &&
          requests[index].attempts < plan.max_attempts) {
        send(index, ms);
      }
    }
    for (NaiveTarget& target : targets) {
      std::erase_if(target.running, [&](const auto& run) {
        if (run.first > ms) {
          return false;
        }
        NaiveRequest& request = requests[run.second.request];
        bool in_time = ms <= request.deadline_ms;
        if (!request.answered && in_time) {
          request.answered = true;
          StormSecond& second = result.seconds[request.second];
          ++second.answered;
          second.answered_first += request.attempts == 1 ? 1 : 0;
        }
        return true;
      });
      while (target.running.size() < plan.slots && !target.queue.empty()) {
        auto work = target.queue.front();
        target.queue.pop_front();
        target.running.emplace_back(ms + work_ms, work);
        ++result.runs;
        result.retry_runs += work.attempt > 1 ? 1 : 0;
      }
    }
  }
  Summarize(plan, result);
  return result;
}

}  // namespace filberthollow::testing
