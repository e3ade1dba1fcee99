// Admission control for the concurrent requests of one target.
//
// A request starts at once if a slot is free; otherwise it waits in a bounded
// queue. First attempts are served before retries, and within each class the
// queue is fair between callers. Retries may occupy only a share of the queue.
// A request that is not expected to finish before its deadline is refused on
// arrival instead of being started late.
//
//   if (auto reason = admission.Enqueue(queued, now)) refuse(*reason);
//   while (auto queued = admission.StartNext(now)) start(queued->request_id);
//   ...
//   admission.Finish(duration);
#ifndef FILBERTHOLLOW_DECISION_LOAD_ADMISSION_H_
#define FILBERTHOLLOW_DECISION_LOAD_ADMISSION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/flow/reason.h"

namespace filberthollow::decision::load {

// RequestId identifies a request at one agent.
struct RequestId {
  base::FlowId flow{};
  base::RequestSeq seq{};
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

// AdmissionRequest is a request that needs a slot.
struct AdmissionRequest {
  RequestId request_id;
  bool retry = false;  // false for a first attempt
  base::Millis deadline;
  base::Millis queued_at;
  uint32_t caller_ip = 0;
  friend auto operator<=>(const AdmissionRequest&,
                          const AdmissionRequest&) = default;
};

// AdmissionLimits holds the limits from the target's settings.
struct AdmissionLimits {
  uint32_t slots = 4;           // maximum concurrent requests at the upstream
  uint32_t queue_length = 64;   // maximum number of waiting requests
  uint32_t retry_percent = 10;  // percentage of the queue open to retries
  friend auto operator<=>(const AdmissionLimits&,
                          const AdmissionLimits&) = default;
};

// FairQueue shares the service fairly between callers, by caller IP. It is
// start-time fair queueing (Goyal, Vin and Cheng, 1996) in which each request
// costs one unit. The requests of a caller that floods the queue wait behind
// each other; the requests of other callers overtake them.
class FairQueue {
 public:
  void Push(const AdmissionRequest& queued);
  // PopFirst removes and returns the next request whose deadline is later than
  // `now`.
  std::optional<AdmissionRequest> PopFirst(base::Millis now);
  // PopExpired removes and returns all requests whose deadline has come.
  std::vector<AdmissionRequest> PopExpired(base::Millis now);
  // Remove removes a request and returns whether it was in the queue.
  bool Remove(RequestId request_id);
  size_t size() const { return m_waiting.size(); }

 private:
  // The order of service: by fair queueing tag, then by arrival.
  struct QueuePosition {
    uint64_t tag = 0;
    uint64_t arrival = 0;
    friend auto operator<=>(const QueuePosition&,
                            const QueuePosition&) = default;
  };

  // Drops the tags of all callers once no request waits, to bound m_last_tag.
  void ResetTagsIfEmpty();

  uint64_t m_served_tag = 0;  // tag of the last request from PopFirst()
  uint64_t m_arrivals = 0;
  // The last tag given to each caller IP since the queue was last empty.
  std::map<uint32_t, uint64_t> m_last_tag;
  std::map<QueuePosition, AdmissionRequest> m_waiting;
};

// Admission assigns the slots of one target. It is not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits) : m_limits(limits) {}

  // SetLimits changes the limits. Waiting and running requests are kept.
  void SetLimits(AdmissionLimits limits) { m_limits = limits; }
  // Enqueue queues a request, or returns the reason to refuse it.
  std::optional<flow::Reason> Enqueue(const AdmissionRequest& queued,
                                      base::Millis now);
  // StartNext moves the next waiting request to a free slot and returns it, or
  // returns nothing if no slot is free or no request waits. It skips requests
  // past their deadline, which TakeExpired() returns.
  std::optional<AdmissionRequest> StartNext(base::Millis now);
  // TakeExpired removes and returns the requests whose deadline passed while
  // they waited.
  std::vector<AdmissionRequest> TakeExpired(base::Millis now);
  // Finish frees the slot of a request that ran for `duration`.
  void Finish(base::Millis duration);
  // RemoveWaiting removes a waiting request and returns whether it was waiting.
  bool RemoveWaiting(RequestId request_id);

  uint32_t running() const { return m_running; }
  size_t waiting() const { return m_first_attempts.size() + m_retries.size(); }
  // Returns the moving average of the time that requests run at the upstream.
  base::Millis service_time() const {
    return base::Millis(m_mean_service_us / 1000);
  }

 private:
  // Returns the expected finish time of a request with `ahead` waiting requests
  // before it.
  base::Millis ExpectedFinish(size_t ahead, base::Millis now) const;
  // Returns how many retries may wait; at least one.
  size_t MaxWaitingRetries() const;

  AdmissionLimits m_limits;
  uint32_t m_running = 0;
  int64_t m_mean_service_us = 0;  // moving average in microseconds
  FairQueue m_first_attempts;
  FairQueue m_retries;
};

}  // namespace filberthollow::decision::load

#endif  // FILBERTHOLLOW_DECISION_LOAD_ADMISSION_H_
