// The decisions of a balancer for passed-through flows: which upstream is
// offered a new flow, and where the packets of an open one go.
//
// What the router remembers of flows is a cache: any balancer may get any
// packet. For a flow that it does not know it asks the agents who holds it, and
// keeps the packet meanwhile: first the agents of the route's services, then,
// since the route may have had other services, all others. It resets a flow
// only if no upstream can hold it.
//
//   RouterActions actions;
//   router.OnCallerPacket(bytes, head, now, actions);
//   for (const RouterAction& action : actions) { ... }
#ifndef FILBERTHOLLOW_DECISION_FLOW_ROUTER_H_
#define FILBERTHOLLOW_DECISION_FLOW_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "filberthollow/decision/gate_actions.h"
#include "filberthollow/decision/locate_queue.h"
#include "filberthollow/decision/packet_messages.h"
#include "filberthollow/decision/route_table.h"
#include "filberthollow/decision/upstream_choice.h"

namespace filberthollow::decision {

// SendForward sends a packet to an agent.
struct SendForward {
  base::Address agent;
  Forward message;
  friend bool operator==(const SendForward&, const SendForward&) = default;
};
// DropPacket counts a packet that nothing is done about.
struct DropPacket {
  flow::Reason reason{};
  friend bool operator==(const DropPacket&, const DropPacket&) = default;
};

// The following are notes of what was decided, and by which inputs, for logs
// and metrics.

// OfferMade: a new flow was offered to an upstream.
struct OfferMade {
  flow::FlowEnds flow;
  base::Address agent;
  size_t tries = 0;
  size_t candidates = 0;           // upstreams that there were to choose from
  UpstreamLoad load;               // of the one chosen,
  base::Millis load_age;           // of this age,
  uint32_t placed_since_load = 0;  // and what was placed_since_load there since
  friend bool operator==(const OfferMade&, const OfferMade&) = default;
};
// OfferAccepted: an upstream has taken the flow.
struct OfferAccepted {
  flow::FlowEnds flow;
  base::Address agent;
  base::Millis took;
  friend bool operator==(const OfferAccepted&, const OfferAccepted&) = default;
};
// FlowFound: the agent that holds an unknown flow has answered.
struct FlowFound {
  flow::FlowEnds flow;
  base::Address agent;
  size_t agents_asked = 0;
  base::Millis took;
  friend bool operator==(const FlowFound&, const FlowFound&) = default;
};
// AgentSilence: an agent has fallen silent, or is heard again.
struct AgentSilence {
  base::Address agent;
  bool silent = false;
  bool isolated = false;  // this balancer seems to be cut off itself
  base::Millis heard_ago;
  friend bool operator==(const AgentSilence&, const AgentSilence&) = default;
};

using RouterAction = std::variant<SendForward,
                                  SendLocate,
                                  ResetCaller,
                                  DropPacket,
                                  OfferMade,
                                  OfferAccepted,
                                  FlowFound,
                                  AgentSilence>;
using RouterActions = std::vector<RouterAction>;

// FlowRouter belongs to one task.
class FlowRouter {
 public:
  // kOfferTimeout is how long an agent may take to answer an offer: its own
  // patience with the upstream, the way there and back, and a stall of its
  // host. Two offers in a row then still precede the caller's second copy.
  static constexpr base::Millis kOfferTimeout{110};
  // kMaxOffers bounds the upstreams that are offered one flow.
  static constexpr size_t kMaxOffers = 4;
  // kLocateRetryDelay is how long the answers to Locate may take; then those
  // that are missing are asked once more.
  static constexpr base::Millis kLocateRetryDelay{60};
  // kSearchTimeout is when a search ends without all answers. The caller
  // repeats its packet after 200 ms.
  static constexpr base::Millis kSearchTimeout{150};
  // kMaxPacketsPerSearch bounds the packets kept for one search; an end has at
  // most 16 in flight.
  static constexpr size_t kMaxPacketsPerSearch = 16;
  // kMaxSearches bounds the memory of searches: 16 packets of 1.2 KB each.
  static constexpr size_t kMaxSearches = 1024;
  // kMaxKnownFlows bounds the cache: 100 bytes each.
  static constexpr size_t kMaxKnownFlows = 100'000;
  // An agent is silent after kMaxMissedReports reports and at least
  // kMinSilence: one lost report, or a host that stalls for a moment, is no
  // failure.
  static constexpr int64_t kMaxMissedReports = 3;
  static constexpr base::Millis kMinSilence{700};
  // A balancer is itself cut off if, of the agents that it heard of within
  // kIsolationWindow, fewer than one in kIsolationDivisor has reported within
  // kIsolationTimeout or two intervals. That shows sooner than the silence of
  // one agent, since many reports must be missing. The part is small, since
  // many hosts may also lose power at once.
  static constexpr base::Millis kIsolationTimeout{400};
  static constexpr int64_t kIsolationMissedReports = 2;
  static constexpr size_t kIsolationDivisor = 4;
  static constexpr base::Millis kIsolationWindow{10'000};
  // kAgentExpiry is when a silent agent is forgotten; its flows have ended.
  static constexpr base::Millis kAgentExpiry{30'000};
  // kDiscoveryPeriod: a balancer that has just started may not have heard of
  // all agents. Until then it calls no flow lost, and new flows wait for an
  // agent; after it, their callers still have time to try elsewhere. In large
  // fleets reports come less often, so no flow is called lost for
  // kDiscoveryReports; one of them may be lost, and so may what agents tell a
  // newcomer at once.
  static constexpr base::Millis kDiscoveryPeriod{1000};
  static constexpr int64_t kDiscoveryReports = 2;
  // kMaxTickGap: after a longer gap between ticks this process was paused.
  static constexpr base::Millis kMaxTickGap{350};
  static constexpr base::Millis kBusyTick{20};
  static constexpr base::Millis kIdleTick{100};

  FlowRouter(uint64_t data_centre, base::Millis now);

  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    m_routes = std::move(routes);
  }
  uint64_t revision() const { return m_routes->revision(); }

  // OnCallerPacket takes a packet from the fabric.
  void OnCallerPacket(std::string_view packet,
                      const flow::PacketHead& head,
                      base::Millis now,
                      RouterActions& actions);
  // OnAnswer takes an agent's answer. `head` is that of the packet handed back
  // in it, if there is one.
  void OnAnswer(const FlowAnswer& answer,
                const flow::PacketHead& head,
                base::Address agent,
                base::Millis now,
                RouterActions& actions);
  // OnLocated takes an agent's answer to SendLocate.
  void OnLocated(const Located& located,
                 base::Address agent,
                 base::Millis now,
                 RouterActions& actions);
  // OnReport takes an agent's report.
  void OnReport(const UpstreamReport& report,
                base::Address agent,
                base::Millis now);
  // OnTick is to be called after each TickDelay().
  void OnTick(base::Millis now, RouterActions& actions);
  base::Millis TickDelay() const {
    return m_offers.empty() && m_searches.empty() ? kIdleTick : kBusyTick;
  }

  // Returns whether callers can be served here.
  bool IsReady(base::Millis now) const;
  // Returns the agents that are known.
  std::vector<base::Address> Agents() const;
  size_t known_flows() const { return m_known.size(); }

 private:
  struct Agent {
    UpstreamReport report;
    base::Millis heard_at;
    uint32_t placed_since_load = 0;  // since the load was reported
    bool offer_unanswered =
        false;             // an offer was not answered since it was heard
    base::Millis load_at;  // when the load was heard
    bool silent = false;   // as was last noted
  };
  struct KnownFlow {
    base::Address agent;
    base::Millis last_used;
  };
  struct Offer {
    std::string packet;
    base::ServiceId service{};
    base::Address agent;  // that is offered the flow now
    base::Millis sent_at;
    base::Millis received_at;  // when the caller's packet came
    std::vector<base::Address> tried;
    bool any_unanswered = false;  // one of them has not answered
  };
  // What an agent that was asked has answered, if it has.
  struct AgentAnswer {
    std::optional<Holding> holding;
    size_t guesses_sent = 0;  // packets that it was sent as guesses
  };
  struct Search {
    std::vector<std::string> packets;
    uint32_t acknowledged = 0;
    bool has_data = false;  // a packet carries data
    bool repeated = false;
    base::Millis started_at;
    base::Millis asked_at;  // an agent was last asked
    // Of m_agents_added, when all agents were asked.
    std::optional<uint64_t> agents_added_when_all_asked;
    std::map<base::Address, AgentAnswer> asked;

    bool IsAnyUnsure() const;
  };
  template <class Value>
  using ByFlow = std::unordered_map<flow::FlowEnds, Value, flow::FlowEndsHash>;

  void OnOpening(std::string_view packet,
                 const flow::PacketHead& head,
                 base::Millis now,
                 RouterActions& actions);
  // Offers the flow to the next upstream; resets it if there is none left.
  // Returns whether an offer is pending or unsent for an agent.
  bool OfferNext(const flow::FlowEnds& ends,
                 Offer& offer,
                 base::Millis now,
                 RouterActions& actions);
  void OnFlowPacket(std::string_view packet,
                    const flow::PacketHead& head,
                    base::Millis now,
                    RouterActions& actions);
  void StartSearch(std::string_view packet,
                   const flow::PacketHead& head,
                   base::Millis now,
                   RouterActions& actions);
  // Asks the agents of the route's services, or all if it has none.
  void AskRouteAgents(const flow::FlowEnds& ends,
                      Search& search,
                      base::Millis now);
  // Asks the agents that were not asked yet and pass `wanted`.
  template <class Wanted>
  void AskAgents(const flow::FlowEnds& ends,
                 Search& search,
                 Wanted wanted,
                 base::Millis now);
  // Asks all other agents; returns false if there are none.
  bool AskRemainingAgents(const flow::FlowEnds& ends,
                          Search& search,
                          base::Millis now);
  // Sends the packets to those that are unsure whether they hold the flow;
  // returns false if all were sent before.
  bool ForwardGuesses(Search& search, base::Millis now, RouterActions& actions);
  // Asks again those that have not answered.
  void RepeatQuestions(const flow::FlowEnds& ends, Search& search);
  // Sends the questions that may be sent now.
  void SendQuestions(base::Millis now, RouterActions& actions);
  void NoteLoad(base::Address agent,
                const UpstreamLoad& load,
                base::Millis now);
  void OnSearchAnswer(const flow::FlowEnds& ends,
                      Holding holding,
                      base::Address agent,
                      base::Millis now,
                      RouterActions& actions);
  void OnFlowFound(const flow::FlowEnds& ends,
                   base::Address agent,
                   base::Millis now,
                   RouterActions& actions);
  // Takes a search further, and ends it, if nothing more is to be waited for.
  void AdvanceSearch(ByFlow<Search>::iterator search,
                     base::Millis now,
                     RouterActions& actions);
  // Returns whether all have answered whose answer may come.
  bool HasAllExpectedAnswers(const Search& search, base::Millis now) const;
  // Takes a search as far as the answers allow. Returns whether it is over: not
  // while an upstream has yet to answer a guess, or an agent that is yet to be
  // heard of may hold the flow.
  bool TakeNextSearchStep(const flow::FlowEnds& ends,
                          Search& search,
                          base::Millis now,
                          RouterActions& actions);
  // Acts on a search whose answers are all there, or will not come.
  void ConcludeSearch(const flow::FlowEnds& ends,
                      const Search& search,
                      base::Millis now,
                      RouterActions& actions);
  void TickOffers(base::Millis now, RouterActions& actions);
  void TickSearches(base::Millis now, RouterActions& actions);
  void Sweep(base::Millis now);
  void Remember(const flow::FlowEnds& ends,
                base::Address agent,
                base::Millis now);
  bool IsSilent(const Agent& agent, base::Millis now) const;
  // Returns whether the flows of an agent count as lost: it is silent, and has
  // not said that it stops beside an upstream that keeps them.
  bool HasLostFlows(base::Address agent, base::Millis now) const;
  // Returns whether an agent has has_answered that its upstream has ended, or
  // that it has none.
  bool HasNoUpstream(base::Address agent) const;
  // Returns whether all agents must have been heard of.
  bool KnowsAllAgents(base::Millis now) const;
  static bool WasHeardRecently(const Agent& agent, base::Millis now);
  void CheckIsolation(base::Millis now);
  void NoteSilence(base::Millis now, RouterActions& actions);
  bool AcceptsNewFlows(const Agent& agent, base::Millis now) const;
  Forward NewForward(std::string packet, bool guess) const {
    return {m_routes->revision(), guess, std::move(packet)};
  }

  const uint64_t m_data_centre;
  const base::Millis m_started;
  std::shared_ptr<const RouteTable> m_routes =
      std::make_shared<const RouteTable>();
  std::map<base::Address, Agent> m_agents;
  uint64_t m_agents_added = 0;  // counts agents that were not known before
  ByFlow<KnownFlow> m_known;
  ByFlow<Offer> m_offers;
  ByFlow<Search> m_searches;
  LocateQueue m_questions;
  base::Millis m_last_tick;
  base::Millis m_longest_interval{0};  // between the reports of any agent
  bool m_isolated = false;             // cut off from most agents
  base::Millis m_next_sweep{0};
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_FLOW_ROUTER_H_
