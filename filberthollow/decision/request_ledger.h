// The ledger of one flow: what became of each request, so that a copy is
// answered and never run.
//
// The ledger is bounded. When the oldest settled entry is evicted, the floor
// rises to its number, and requests at or below the floor are never started.
//
//   switch (ledger.Find(seq).kind) {
//     case Lookup::kNew: ledger.Add(seq); ... start it
//     case Lookup::kKnown: ... answer from the entry
//     case Lookup::kSettled: ... too old to tell
//   }
#ifndef FILBERTHOLLOW_DECISION_REQUEST_LEDGER_H_
#define FILBERTHOLLOW_DECISION_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "filberthollow/base/ids.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::decision {

// Answer is the whole answer of an upstream.
struct Answer {
  uint16_t status = 0;
  uint64_t checksum = 0;
  std::string bytes;
  friend bool operator==(const Answer&, const Answer&) = default;
};

// LedgerState is the stage that a request has reached.
enum class LedgerState : uint8_t { kQueued, kRunning, kAnswered, kRefused };

// LedgerEntry is what is known of one request.
struct LedgerEntry {
  LedgerState state = LedgerState::kQueued;
  flow::Reason reason{};                 // where refused
  flow::RunState run_state{};            // where refused
  std::shared_ptr<const Answer> answer;  // where answered
  base::Millis settled_at;               // where answered

  bool settled() const { return state >= LedgerState::kAnswered; }
  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// Lookup is the result of RequestLedger::Find().
struct Lookup {
  enum Kind : uint8_t { kNew, kKnown, kSettled };
  Kind kind = kNew;
  const LedgerEntry* entry = nullptr;  // where known; valid until a change
};

// RequestLedger belongs to one flow at one agent.
class RequestLedger {
 public:
  // kMaxEntries bounds the requests whose outcome is remembered.
  static constexpr size_t kMaxEntries = 64;

  // Find tells whether a request is new, known, or too old to be told.
  Lookup Find(base::RequestSeq seq) const;
  // Add enters a new request as queued; returns false if every entry is still
  // unsettled, in which case nothing is recorded.
  bool Add(base::RequestSeq seq);
  // SetRunning marks a request as started.
  void SetRunning(base::RequestSeq seq);
  // SetAnswered settles a request with its answer.
  void SetAnswered(base::RequestSeq seq,
                   std::shared_ptr<const Answer> answer,
                   base::Millis now);
  // SetRefused settles a request as refused; a sealed "not run" stays so.
  void SetRefused(base::RequestSeq seq,
                  flow::Reason reason,
                  flow::RunState run_state);
  // Settle forgets settled entries below `seq` and raises the floor.
  void Settle(base::RequestSeq seq);

  // DropAnswers gives up answers that were settled before `limit`; their
  // requests are then known to have run, but can't be answered.
  void DropAnswers(base::Millis limit);

  size_t size() const { return m_entries.size(); }
  // Returns the bytes of all answers kept.
  size_t answer_bytes() const { return m_answer_bytes; }
  // Returns all entries in the order of their numbers.
  const std::map<base::RequestSeq, LedgerEntry>& entries() const {
    return m_entries;
  }

 private:
  using Entries = std::map<base::RequestSeq, LedgerEntry>;

  bool MakeRoom();
  // Forgets a settled entry and raises the floor; returns the next entry.
  Entries::iterator Forget(Entries::iterator entry);

  base::RequestSeq m_floor{};  // nothing at or below may start
  size_t m_answer_bytes = 0;
  Entries m_entries;
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_REQUEST_LEDGER_H_
