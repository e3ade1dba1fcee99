#include "filberthollow/decision/request_ledger.h"

#include <algorithm>
#include <utility>

namespace filberthollow::decision {

Lookup RequestLedger::Find(base::RequestSeq seq) const {
  auto entry = m_entries.find(seq);
  if (entry != m_entries.end()) {
    return {Lookup::kKnown, &entry->second};
  }
  return {seq <= m_floor ? Lookup::kSettled : Lookup::kNew, nullptr};
}

bool RequestLedger::Add(base::RequestSeq seq) {
  if (m_entries.size() >= kMaxEntries && !MakeRoom()) {
    return false;
  }
  if (seq <= m_floor) {
    return false;
  }
  m_entries.emplace(seq, LedgerEntry{});
  return true;
}

bool RequestLedger::MakeRoom() {
  auto oldest = std::find_if(m_entries.begin(), m_entries.end(),
                             [](const auto& e) { return e.second.settled(); });
  if (oldest == m_entries.end()) {
    return false;
  }
  Forget(oldest);
  return true;
}

RequestLedger::Entries::iterator RequestLedger::Forget(
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
  entry.settled_at = now;
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

void RequestLedger::Settle(base::RequestSeq seq) {
  auto entry = m_entries.begin();
  while (entry != m_entries.end() && entry->first < seq) {
    if (!entry->second.settled()) {
      ++entry;
      continue;
    }
    entry = Forget(entry);
  }
}

void RequestLedger::DropAnswers(base::Millis limit) {
  for (auto& [seq, entry] : m_entries) {
    if (entry.answer && entry.settled_at < limit) {
      m_answer_bytes -= entry.answer->bytes.size();
      entry.answer = nullptr;
      SetRefused(seq, flow::Reason::kSettled, flow::RunState::kUnknown);
    }
  }
}

}  // namespace filberthollow::decision
