// The questions of a balancer about flows, collected and paced.
//
// A search asks many agents. After a loss of power nearly every packet starts
// one, and unpaced their questions filled the links and drowned the answers. So
// the messages a second are bounded, and while the bound is reached, questions
// to one agent share a message.
//
//   queue.Add(agent, {flow, acknowledged});
//   for (SendLocate& send : queue.Take(now)) { ... }
#ifndef FILBERTHOLLOW_DECISION_LOCATE_QUEUE_H_
#define FILBERTHOLLOW_DECISION_LOCATE_QUEUE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/packet_messages.h"

namespace filberthollow::decision {

// SendLocate asks an agent.
struct SendLocate {
  base::Address agent;
  Locate message;
  friend bool operator==(const SendLocate&, const SendLocate&) = default;
};

// LocateQueue belongs to one router.
class LocateQueue {
 public:
  // kMessagesPerMilli bounds the messages. With 10 flows each they are 236
  // bytes, headers included, hence 0.5 MB/s; several times as many would fill a
  // link of 10 Mbit/s.
  static constexpr int64_t kMessagesPerMilli = 2;
  // kBurstMessages messages may be sent at once after a pause, so that a single
  // search does not wait.
  static constexpr int64_t kBurstMessages = 200;

  // Add takes a question for an agent.
  void Add(base::Address agent, const FlowQuestion& question);
  // Take returns the messages to be sent now: all questions, or none while the
  // budget is spent.
  std::vector<SendLocate> Take(base::Millis now);
  // LatestSendTime returns when a question that is added now is sent at the
  // latest.
  base::Millis LatestSendTime(base::Millis now) const;

 private:
  int64_t CreditAt(base::Millis now) const;

  std::map<base::Address, std::vector<FlowQuestion>> m_questions;
  int64_t m_credit =
      kBurstMessages;  // messages, at m_credit_at; below 0 after a batch
  base::Millis m_credit_at;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_LOCATE_QUEUE_H_
