// The ledger of one flow records the state of each request, so that copies of a
// request are answered from the ledger and run at most once.
//
// The ledger is bounded: when it is full, the finished entry with the lowest
// sequence number is evicted. The floor is the highest sequence number evicted
// or erased; a request at or below the floor that has no entry is never
// started.
//
//   switch (ledger.Find(seq).kind) {
//     case Lookup::kNew: ledger.Add(seq); ...     // start it
//     case Lookup::kKnown: ...                    // answer from the entry
//     case Lookup::kBelowFloor: ...               // refuse: may have run
//   }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_REQUEST_LEDGER_H_
#define FILBERTHOLLOW_DECISION_FLOWS_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "filberthollow/base/ids.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::decision::flows {

// Answer is the complete answer of an upstream to one request.
struct Answer {
  uint16_t status = 0;    // HTTP status
  uint64_t checksum = 0;  // flow::AnswerChecksum() of `bytes`
  std::string bytes;
  friend bool operator==(const Answer&, const Answer&) = default;
};

// LedgerState is the state of a request. kAnswered and kRefused are final,
// except that DropAnswers() turns kAnswered into kRefused.
enum class LedgerState : uint8_t { kQueued, kRunning, kAnswered, kRefused };

// LedgerEntry records the state and the outcome of one request.
struct LedgerEntry {
  LedgerState state = LedgerState::kQueued;
  flow::Reason reason{};                 // set for kRefused
  flow::RunState run_state{};            // set for kRefused
  std::shared_ptr<const Answer> answer;  // set for kAnswered
  base::Millis answered_at;              // set for kAnswered

  bool finished() const { return state >= LedgerState::kAnswered; }
  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// Lookup is the result of RequestLedger::Find().
struct Lookup {
  enum Kind : uint8_t {
    kNew,        // above the floor, no entry
    kKnown,      // has an entry
    kBelowFloor  // no entry, at or below the floor: it may have run
  };
  Kind kind = kNew;
  const LedgerEntry* entry = nullptr;  // kKnown: valid until the ledger changes
};

// RequestLedger holds the requests of one flow at one agent.
class RequestLedger {
 public:
  // kMaxEntries bounds the number of entries.
  static constexpr size_t kMaxEntries = 64;

  // Find looks up a request by its sequence number.
  Lookup Find(base::RequestSeq seq) const;
  // Add records a new request as queued. Returns false, without adding it, if
  // the ledger is full of unfinished requests or if `seq` is at or below the
  // floor, which rises when an entry is evicted to make room.
  bool Add(base::RequestSeq seq);
  // SetRunning records that a request was started.
  void SetRunning(base::RequestSeq seq);
  // SetAnswered records the answer to a request.
  void SetAnswered(base::RequestSeq seq,
                   std::shared_ptr<const Answer> answer,
                   base::Millis now);
  // SetRefused records a request as refused. While the entry is kept, copies of
  // the request are known and do not start, so that kNotRun remains true.
  void SetRefused(base::RequestSeq seq,
                  flow::Reason reason,
                  flow::RunState run_state);
  // EraseFinishedBelow erases finished entries below `seq` and raises the floor
  // to the highest of them.
  void EraseFinishedBelow(base::RequestSeq seq);

  // DropAnswers discards answers recorded before `cutoff`. Their requests have
  // run but can no longer be answered; they become refused, with reason
  // kSettled and run state kUnknown.
  void DropAnswers(base::Millis cutoff);

  size_t size() const { return m_entries.size(); }
  // Returns the size of all stored answers in bytes.
  size_t answer_bytes() const { return m_answer_bytes; }
  // Returns all entries, ordered by sequence number.
  const std::map<base::RequestSeq, LedgerEntry>& entries() const {
    return m_entries;
  }

 private:
  using Entries = std::map<base::RequestSeq, LedgerEntry>;

  // Evicts the finished entry with the lowest number; returns false if no
  // entry is finished.
  bool EvictOldestFinished();
  // Erases a finished entry and raises the floor; returns the next entry.
  Entries::iterator EraseFinished(Entries::iterator entry);

  base::RequestSeq m_floor{};  // no request at or below it is added
  size_t m_answer_bytes = 0;
  Entries m_entries;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_REQUEST_LEDGER_H_
