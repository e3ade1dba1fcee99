// The flows that an agent was asked to try at its upstream without knowing
// whether the upstream holds them.
//
// An agent that has restarted beside a living upstream does not know all of its
// flows. A packet of such a flow is delivered as a guess; an upstream that does
// not hold the flow hands the packet back, and from then on the agent is sure.
//
//   guesses.Begin(flow, {balancer, packet}, now);
//   if (auto guess = guesses.Refute(flow, now)) { tell(guess->balancer); }
//   if (auto guess = guesses.Confirm(flow)) { tell(guess->balancer); }
//   if (guesses.IsRefuted(flow)) { ... not held ... }
#ifndef FILBERTHOLLOW_DECISION_FLOW_GUESSES_H_
#define FILBERTHOLLOW_DECISION_FLOW_GUESSES_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::decision {

// FlowGuess is a packet that was delivered as a guess, as it came.
struct FlowGuess {
  base::Address balancer;  // that sent it
  std::string packet;
  friend bool operator==(const FlowGuess&, const FlowGuess&) = default;
};

// FlowGuesses belongs to one gate.
class FlowGuesses {
 public:
  // kKeptFor is how long a guess and its outcome are kept. Ends repeat their
  // packets up to 1.6 s apart; a guess that is forgotten is made again.
  static constexpr base::Millis kKeptFor{5000};
  // kMaxGuesses bounds the memory: 1.2 KB each. Beyond it packets are delivered
  // without a note.
  static constexpr size_t kMaxGuesses = 2048;

  // Begin notes that a packet of the flow is delivered as a guess.
  void Begin(const flow::FlowEnds& flow, FlowGuess guess, base::Millis now);
  // Refute notes that the upstream has handed back a packet of the flow, and
  // returns the guess that this answers, the first time.
  std::optional<FlowGuess> Refute(const flow::FlowEnds& flow, base::Millis now);
  // Confirm notes that the upstream has sent a packet of the flow, so that it
  // holds it, and returns the guess that this answers, if there is one.
  std::optional<FlowGuess> Confirm(const flow::FlowEnds& flow);
  // Returns whether the upstream is known not to hold the flow.
  bool IsRefuted(const flow::FlowEnds& flow) const;
  // Forget drops what is older than kKeptFor.
  void Forget(base::Millis now);

 private:
  struct Entry {
    FlowGuess guess;
    bool refuted = false;
    base::Millis at;
  };

  std::unordered_map<flow::FlowEnds, Entry, flow::FlowEndsHash> m_entries;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_FLOW_GUESSES_H_
