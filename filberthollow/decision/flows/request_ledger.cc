#include "filberthollow/decision/flows/request_ledger.h"

#include <algorithm>
#include <utility>

namespace filberthollow::decision::flows {

Lookup RequestLedger::Find(base::RequestSeq seq) const {
  auto entry = m_entries.find(seq);
  if (entry != m_entries.end()) {
    return {Lookup::kKnown, &entry->second};
  }
  return {seq <= m_floor ? Lookup::kBelowFloor : Lookup::kNew, nullptr};
}

bool RequestLedger::Add(base::RequestSeq seq) {
  if (m_entries.size() >= kMaxEntries && !EvictOldestFinished()) {
    return false;
  }
  if (seq <= m_floor) {
    return false;
  }
  m_entries.emplace(seq, LedgerEntry{});
  return true;
}

bool RequestLedger::EvictOldestFinished() {
  auto oldest = std::find_if(m_entries.begin(), m_entries.end(),
                             [](const auto& e) { return e.second.finished(); });
  if (oldest == m_entries.end()) {
    return false;
  }
  EraseFinished(oldest);
  return true;
}

RequestLedger::Entries::iterator RequestLedger::EraseFinished(
    Entries::iterator entry) {
  m_floor = std::max(m_floor, entry->first);
  if (entry->second.answer) {
    m_answer_bytes -= entry->second.answer->bytes.size();
  }
  return m_entries.erase(entry);
}

void RequestLedger::SetRunning(base::RequestSeq seq) {
  m_entries[seq].state = LedgerState::kRunning;
}

void RequestLedger::SetAnswered(base::RequestSeq seq,
                                std::shared_ptr<const Answer> answer,
                                base::Millis now) {
  LedgerEntry& entry = m_entries[seq];
  entry.state = LedgerState::kAnswered;
  entry.answered_at = now;
  m_answer_bytes += answer->bytes.size();
  entry.answer = std::move(answer);
}

void RequestLedger::SetRefused(base::RequestSeq seq,
                               flow::Reason reason,
                               flow::RunState run_state) {
  LedgerEntry& entry = m_entries[seq];
  entry.state = LedgerState::kRefused;
  entry.reason = reason;
  entry.run_state = run_state;
}

void RequestLedger::EraseFinishedBelow(base::RequestSeq seq) {
  auto entry = m_entries.begin();
  while (entry != m_entries.end() && entry->first < seq) {
    if (!entry->second.finished()) {
      ++entry;
      continue;
    }
    entry = EraseFinished(entry);
  }
}

void RequestLedger::DropAnswers(base::Millis cutoff) {
  for (auto& [seq, entry] : m_entries) {
    if (entry.answer && entry.answered_at < cutoff) {
      m_answer_bytes -= entry.answer->bytes.size();
      entry.answer = nullptr;
      SetRefused(seq, flow::Reason::kSettled, flow::RunState::kUnknown);
    }
  }
}

}  // namespace filberthollow::decision::flows
