// TargetFlows::Explain(): describes the ledger of a flow for operators.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "filberthollow/decision/flows/target_flows.h"

namespace filberthollow::decision::flows {
namespace {

constexpr std::array<const char*, 4> kStateNames{"queued", "running",
                                                 "answered", "refused"};

nlohmann::json ExplainEntry(base::RequestSeq seq, const LedgerEntry& entry) {
  nlohmann::json out{
      {"request", base::Value(seq)},
      {"state", kStateNames.at(static_cast<size_t>(entry.state))}};
  if (entry.state == LedgerState::kRefused) {
    out["reason"] = flow::ReasonName(entry.reason);
    out["fate"] =
        entry.run_state == flow::RunState::kNotRun ? "not run" : "unknown";
  }
  if (entry.answer) {
    out["status"] = entry.answer->status;
    out["bytes"] = entry.answer->bytes.size();
  }
  return out;
}

}  // namespace

std::string TargetFlows::Explain(base::FlowId id) const {
  auto flow = m_flows.find(id);
  if (flow == m_flows.end()) {
    auto closed = std::find_if(m_closed_flows.rbegin(), m_closed_flows.rend(),
                               [id](const auto& c) { return c.first == id; });
    return closed == m_closed_flows.rend() ? "{}" : closed->second;
  }
  nlohmann::json requests = nlohmann::json::array();
  for (const auto& [seq, entry] : flow->second.ledger.entries()) {
    requests.push_back(ExplainEntry(seq, entry));
  }
  return nlohmann::json{
      {"flow", fmt::format("{:016x}", base::Value(id))},
      {"caller", flow->second.caller.Text()},
      {"agent", m_identity.agent.Text()},
      {"incarnation", fmt::format("{:x}", base::Value(m_identity.incarnation))},
      {"requests", requests}}
      .dump();
}

}  // namespace filberthollow::decision::flows
