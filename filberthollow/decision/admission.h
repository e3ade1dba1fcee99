// Admission of requests to the slots of one target.
//
// A request that finds a free slot starts at once; otherwise it waits in a
// bounded queue. First attempts go before retries, callers take turns within
// each, retries may take only a share of the queue, and a request that could
// not finish before its deadline is refused at once rather than started late.
//
//   if (auto reason = admission.Enqueue(queued, now)) refuse(*reason);
//   while (auto queued = admission.StartNext(now)) start(queued->run);
//   ...
//   admission.Finish(duration);
#ifndef FILBERTHOLLOW_DECISION_ADMISSION_H_
#define FILBERTHOLLOW_DECISION_ADMISSION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/flow/reason.h"

namespace filberthollow::decision {

// RequestId names one request at one agent.
struct RequestId {
  base::FlowId flow{};
  base::RequestSeq seq{};
  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

// QueuedRequest is a request that asks for a slot.
struct QueuedRequest {
  RequestId request_id;
  bool retry = false;
  base::Millis deadline;
  base::Millis queued_at;
  uint32_t caller_ip = 0;
  friend auto operator<=>(const QueuedRequest&, const QueuedRequest&) = default;
};

// AdmissionLimits come from the settings of the target.
struct AdmissionLimits {
  uint32_t slots = 4;           // requests at the upstream at one time
  uint32_t queue_length = 64;   // requests waiting
  uint32_t retry_percent = 10;  // share of the queue that retries may take
  friend auto operator<=>(const AdmissionLimits&,
                          const AdmissionLimits&) = default;
};

// FairQueue lets callers take turns: it is start-time fair queueing (Goyal, Vin
// and Cheng, 1996) with one unit of cost a request. A caller that floods the
// queue waits behind its own requests; the others pass it.
class FairQueue {
 public:
  void Push(const QueuedRequest& queued);
  // PopFirst takes the next request that is not past its deadline.
  std::optional<QueuedRequest> PopFirst(base::Millis now);
  // PopExpired takes all requests that are past their deadline.
  std::vector<QueuedRequest> PopExpired(base::Millis now);
  // Remove takes out a request; returns whether it was there.
  bool Remove(RequestId request_id);
  size_t size() const { return m_waiting.size(); }

 private:
  // Orders by the caller's turn, then by arrival.
  struct QueuePosition {
    uint64_t tag = 0;
    uint64_t arrival = 0;
    friend auto operator<=>(const QueuePosition&,
                            const QueuePosition&) = default;
  };

  void ResetTagsIfEmpty();

  uint64_t m_served_tag = 0;  // tag of the request taken last
  uint64_t m_arrivals = 0;
  std::map<uint32_t, uint64_t> m_last_tag;  // of each caller that waits
  std::map<QueuePosition, QueuedRequest> m_waiting;
};

// Admission belongs to one target.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits) : m_limits(limits) {}

  // SetLimits changes the limits; requests that wait or run are kept.
  void SetLimits(AdmissionLimits limits) { m_limits = limits; }
  // Enqueue queues a request, or returns the reason for refusing it.
  std::optional<flow::Reason> Enqueue(const QueuedRequest& queued,
                                      base::Millis now);
  // StartNext takes a free slot for the next request, if both are there.
  // Requests past their deadline are skipped; see TakeExpired().
  std::optional<QueuedRequest> StartNext(base::Millis now);
  // TakeExpired returns the requests whose deadline passed while they waited.
  std::vector<QueuedRequest> TakeExpired(base::Millis now);
  // Finish frees a slot after `duration`.
  void Finish(base::Millis duration);
  // RemoveWaiting removes a waiting request; returns whether it was waiting.
  bool RemoveWaiting(RequestId request_id);

  uint32_t running() const { return m_running; }
  size_t waiting() const { return m_first_attempts.size() + m_retries.size(); }
  // Returns how long a request takes at the upstream, as observed.
  base::Millis service_time() const { return base::Millis(m_mean_us / 1000); }

 private:
  // Returns when a request that has `ahead` others before it would finish.
  base::Millis ExpectedFinish(size_t ahead, base::Millis now) const;
  size_t MaxWaitingRetries() const;

  AdmissionLimits m_limits;
  uint32_t m_running = 0;
  int64_t m_mean_us = 0;  // moving average of the service time
  FairQueue m_first_attempts;
  FairQueue m_retries;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_ADMISSION_H_
