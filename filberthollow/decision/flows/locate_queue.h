// Queues and rate-limits the questions of a balancer about flows.
//
// A search asks many agents. After a power failure nearly every packet starts a
// search, and without a rate limit the questions saturated the links and
// crowded out the answers. The queue therefore limits the messages per second
// with a token bucket. While its budget is spent, questions to the same agent
// are collected and sent in one message.
//
//   queue.Add(agent, {flow, acknowledged});
//   for (SendLocate& send : queue.Take(now)) { ... }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_LOCATE_QUEUE_H_
#define FILBERTHOLLOW_DECISION_FLOWS_LOCATE_QUEUE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/flows/packet_messages.h"

namespace filberthollow::decision::flows {

// SendLocate is an action: send the message to the agent.
struct SendLocate {
  base::Address agent;
  Locate message;
  friend bool operator==(const SendLocate&, const SendLocate&) = default;
};

// LocateQueue belongs to one router and is not thread-safe.
class LocateQueue {
 public:
  // kMessagesPerMilli is the maximum rate, in messages per millisecond. A
  // message with 10 flows has 236 bytes including headers, hence 0.5 MB/s;
  // several times this rate would saturate a link of 10 Mbit/s.
  static constexpr int64_t kMessagesPerMilli = 2;
  // kBurstMessages is the number of messages that may be sent at once after a
  // pause, so that a single search is not delayed.
  static constexpr int64_t kBurstMessages = 200;

  // Add queues a question to an agent.
  void Add(base::Address agent, const FlowQuestion& question);
  // Take removes and returns the messages to send now: those of all queued
  // questions, or none while the budget is spent.
  std::vector<SendLocate> Take(base::Millis now);
  // LatestSendTime returns the latest time at which a question added now is
  // sent.
  base::Millis LatestSendTime(base::Millis now) const;

 private:
  // Returns the number of messages that may be sent; negative after a batch
  // that was larger than the budget.
  int64_t CreditAt(base::Millis now) const;

  std::map<base::Address, std::vector<FlowQuestion>> m_questions;
  int64_t m_credit = kBurstMessages;  // CreditAt() at the time m_credit_at
  base::Millis m_credit_at;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_LOCATE_QUEUE_H_
