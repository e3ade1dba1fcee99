// The state of a balancer's search for the agent that holds an open flow;
// FlowRouter conducts it.
//
//   FlowSearch search{.acknowledged = header.acknowledged, .started_at = now};
//   search.asked.try_emplace(agent);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_FLOW_SEARCH_H_
#define FILBERTHOLLOW_DECISION_FLOWS_FLOW_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/flows/packet_messages.h"

namespace filberthollow::decision::flows {

// AgentAnswer is the state of one agent in a search.
struct AgentAnswer {
  std::optional<Holding> holding;  // empty until the agent has answered
  size_t probes_sent = 0;          // packets sent to it as probes
  friend bool operator==(const AgentAnswer&, const AgentAnswer&) = default;
};

// FlowSearch is a search for the agent that holds a flow, and the packets that
// wait for its end.
struct FlowSearch {
  std::vector<std::string> packets;
  uint32_t acknowledged = 0;
  bool has_data = false;  // at least one packet carries data
  bool repeated = false;  // questions without an answer were repeated
  base::Millis started_at;
  // When the last question or probe was or will be sent, at the latest.
  base::Millis asked_at;
  size_t likely_rounds = 0;  // of kLikelyRounds, those that were asked
  bool route_asked = false;  // all agents of the route's services were asked
  // Value of m_agents_added when all known agents were asked; empty before.
  std::optional<uint64_t> agents_added_when_all_asked;
  std::map<base::Address, AgentAnswer> asked;

  size_t CountUnsure() const;
  size_t CountUnanswered() const;
  // Returns the number of asked agents for which `matches` returns true.
  template <class Matches>
  size_t CountAgents(Matches matches) const;
  base::Address UndecidedAgent() const;
  friend bool operator==(const FlowSearch&, const FlowSearch&) = default;
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_FLOW_SEARCH_H_
