// Routing decisions of a balancer for pass-through flows: which upstream is
// offered a new flow, and which agent gets the packets of an open flow.
//
// The network may deliver any packet to any balancer, so the router's table of
// flows is only a cache. For a flow that is not in it, the router starts a
// search: it buffers the caller's packets and asks the agents which of their
// upstreams holds the flow. It asks the agents on which the flow was probably
// placed first (load::UpstreamRank), then the others of the route's services,
// then all others, since the route may have had other services before. An agent
// that started after its upstream may be unsure; it gets the packets as
// probes, which show whether its upstream holds the flow. The router resets a
// flow only if no upstream can hold it.
//
// Without a configuration, as after a restart during an outage of its store,
// open flows are searched for and served like others: the upstream that holds a
// flow accepted it under a configuration. New flows wait for the configuration
// during the discovery period and are reset afterwards, since only the
// configuration tells which service may get them.
//
//   RouterActions actions;
//   router.OnCallerPacket(bytes, header, now, actions);
//   for (const RouterAction& action : actions) { ... }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_FLOW_ROUTER_H_
#define FILBERTHOLLOW_DECISION_FLOWS_FLOW_ROUTER_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "filberthollow/decision/flows/evacuation_filter.h"
#include "filberthollow/decision/flows/flow_search.h"
#include "filberthollow/decision/flows/locate_queue.h"
#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/decision/flows/route_table.h"
#include "filberthollow/decision/flows/router_actions.h"
#include "filberthollow/decision/load/upstream_choice.h"

namespace filberthollow::decision::flows {

// Which agents to tell another balancer of.
enum class AgentFilter : uint8_t {
  kAll,     // all but those without an upstream, which hold no flow
  kAbsent,  // of these, those that are leaving or silent
};

// FlowRouter belongs to one task and is not thread-safe. Its methods append
// actions to `actions`; the task carries them out.
class FlowRouter {
 public:
  // kOfferTimeout is the time that an agent has to answer an offer. It covers
  // the agent's own timeout for its upstream, the round trip, and a stall of
  // its host. Two successive offers are still sent before the caller's second
  // copy of the packet.
  static constexpr base::Millis kOfferTimeout{110};
  // kMaxOffers limits the upstreams that are offered one flow.
  static constexpr size_t kMaxOffers = 4;
  // kLocateRetryDelay is the time after which agents that have not answered a
  // Locate are asked once more.
  static constexpr base::Millis kLocateRetryDelay{60};
  // kSearchTimeout is the time after the last question after which a search
  // ends without all answers. It is below 200 ms, when the caller retransmits.
  static constexpr base::Millis kSearchTimeout{150};
  // SearchRound says which agents of the flow's service are asked at one time:
  // at most this many in the balancer's data centre and in the others, by their
  // rank for the flow. The next round starts once all have answered, or after
  // kLocateRetryDelay. Thus finding a moved flow takes a few messages at any
  // size of the fleet, and at most two short delays if it is not there.
  struct SearchRound {
    size_t local_agents;
    size_t remote_agents;
  };
  static constexpr std::array<SearchRound, 2> kLikelyRounds{
      {{.local_agents = 2, .remote_agents = 1},
       {.local_agents = 6, .remote_agents = 4}}};
  // All agents of a service with at most this many are asked at once.
  static constexpr size_t kMaxAgentsAskedAtOnce = 8;
  // kMaxPacketsPerSearch limits the packets buffered for one search; each end
  // of a flow has at most 16 in flight.
  static constexpr size_t kMaxPacketsPerSearch = 16;
  // kMaxSearches limits the memory of searches: each buffers up to 16 packets
  // of 1.2 KB.
  static constexpr size_t kMaxSearches = 1024;
  // kMaxKnownFlows limits the memory of the cache: 100 bytes per flow.
  static constexpr size_t kMaxKnownFlows = 100'000;
  // An agent counts as silent if it was not heard for kMaxMissedReports report
  // intervals and for at least kMinSilence, or has answered no question for
  // kMinSilence. One lost report or a short stall of its host is not a failure.
  // In a large fleet the report interval is long, and an unanswered question
  // shows a failure much earlier.
  static constexpr int64_t kMaxMissedReports = 3;
  static constexpr base::Millis kMinSilence{700};
  // An agent whose reports are overdue by the same measure is offered no new
  // flow, even if it answers: an upstream of another service may have the
  // address. It is asked for a report with its first answer, and again with an
  // answer after kReportRetryDelay, a round trip between distant data centres.
  static constexpr base::Millis kReportRetryDelay{150};
  // The balancer considers itself isolated (cut off from the network) if, of
  // the agents heard within kIsolationWindow, fewer than one in
  // kIsolationDivisor was heard within kIsolationTimeout or
  // kIsolationMissedReports report intervals, whichever is longer. The timeout
  // is shorter than that for the silence of one agent, since many reports must
  // be missing. The fraction is small, since many hosts may also lose power at
  // once.
  static constexpr base::Millis kIsolationTimeout{400};
  static constexpr int64_t kIsolationMissedReports = 2;
  static constexpr size_t kIsolationDivisor = 4;
  static constexpr base::Millis kIsolationWindow{10'000};
  // kAgentExpiry is the time without messages after which an agent is
  // forgotten; its flows have ended by then.
  static constexpr base::Millis kAgentExpiry{30'000};
  // A balancer that has just started may not have heard of all agents. During
  // kDiscoveryPeriod new flows wait for an agent, and no search ends with the
  // result that a flow is lost. When it ends, callers still have time to try
  // elsewhere. Agents repeat their first report within this period until the
  // balancer confirms it. Those of the previous release don't; they report at
  // an interval that grows with the fleet, so with such agents searches wait
  // for at least kDiscoveryReports of the longest interval: one report may be
  // lost, and so may the report that agents send to a new balancer at once.
  static constexpr base::Millis kDiscoveryPeriod{1000};
  static constexpr int64_t kDiscoveryReports = 2;
  // kMaxTickGap: a longer gap between ticks means that this process was paused.
  static constexpr base::Millis kMaxTickGap{350};
  // Tick intervals with and without pending offers or searches.
  static constexpr base::Millis kBusyTick{20};
  static constexpr base::Millis kIdleTick{100};

  // `data_centre` is the hash of the name of that of this balancer. `choice`
  // chooses among upstreams; it must outlive the router.
  FlowRouter(
      uint64_t data_centre,
      base::Millis now,
      const load::UpstreamChoice& choice = load::DefaultUpstreamChoice());

  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    m_routes = std::move(routes);
  }
  // Returns the filter that decides which data centres get new flows.
  EvacuationFilter& evacuation_filter() { return m_evacuation_filter; }
  // Returns the revision of the configuration; 0 if there is none yet.
  uint64_t revision() const { return m_routes->revision(); }

  // OnCallerPacket handles a packet of a caller. `header` is its parsed header.
  void OnCallerPacket(std::string_view packet,
                      const flow::PacketHeader& header,
                      base::Millis now,
                      RouterActions& actions);
  // OnAnswer handles an agent's answer to a forwarded packet. `header` is the
  // header of the returned packet in it, if there is one.
  void OnAnswer(const FlowAnswer& answer,
                const flow::PacketHeader& header,
                base::Address agent,
                base::Millis now,
                RouterActions& actions);
  // OnLocated handles an agent's answer to a Locate.
  void OnLocated(const Located& located,
                 base::Address agent,
                 base::Millis now,
                 RouterActions& actions);
  // OnReport handles an agent's report. Returns whether it is the first one
  // that says that the agent is leaving.
  bool OnReport(const UpstreamReport& report,
                base::Address agent,
                base::Millis now);
  // Returns whether a report of the agent has been received and the next one is
  // not overdue.
  bool HasReportOf(base::Address agent, base::Millis now) const;
  // OnKnownAgents records agents that another balancer knows, so that their
  // flows are not taken for lost only because this balancer has not heard the
  // agents. What this one has heard since is not replaced.
  void OnKnownAgents(const KnownAgents& known, base::Millis now);
  // OnPeerRevision records the revision of the configuration that another
  // balancer uses.
  void OnPeerRevision(uint64_t revision) {
    m_newest_revision = std::max(m_newest_revision, revision);
  }
  // OnTick handles timeouts. It must be called again after each TickDelay(). If
  // it is called much later, this process was paused; so was it if any other
  // method is called much later than the last tick.
  void OnTick(base::Millis now, RouterActions& actions);
  base::Millis TickDelay() const {
    return m_offers.empty() && m_searches.empty() ? kIdleTick : kBusyTick;
  }

  // Returns whether this balancer can serve callers as well as any other: it
  // hears at least one agent, is not isolated, and has routes, unless no agent
  // has any either.
  bool IsReady(base::Millis now) const;
  // Returns the known agents.
  std::vector<base::Address> Agents() const;
  // Returns the last reports of the known agents.
  std::vector<UpstreamReport> Reports() const;
  // Returns the agents to tell another balancer of, in messages of
  // kMaxKnownAgents at most.
  std::vector<KnownAgents> ListAgents(base::Millis now,
                                      AgentFilter filter) const;
  size_t known_flows() const { return m_known_flows.size(); }

 private:
  struct Agent {
    UpstreamReport report;
    base::Millis heard_at;
    // When the first question since `heard_at` was sent, or kNever.
    base::Millis asked_at{base::kNever};
    uint32_t placed_since_load = 0;  // flows placed by this balancer
    bool offer_unanswered = false;   // an offer timed out since the last report
    base::Millis load_reported_at;
    bool silent = false;  // as in the last AgentSilence event
    // Whether this balancer has received a message of the agent. If not, it
    // was named by another balancer.
    bool heard = true;
    bool reported = false;     // whether it has received a report of the agent
    base::Millis reported_at;  // time of the last report, if `reported`
    base::Millis report_asked_at;  // when a report was last asked for, or 0
  };
  struct KnownFlow {
    base::Address agent;
    base::Millis last_used;
  };
  struct Offer {
    std::string packet;
    base::Address agent;  // has the current offer; empty before the first
    base::Millis sent_at;
    base::Millis received_at;  // when the caller's packet arrived
    std::vector<base::Address> tried;
    // Whether at least one agent or upstream of `tried` has not answered.
    bool any_unanswered = false;
    // Why the flow is refused if no upstream is left.
    flow::Reason refusal = flow::Reason::kNoAgent;
  };
  // Notices whether this process was paused: it could not receive the messages
  // of agents, which may be read only after the caller's packets. Moves the
  // times at which agents were heard by the gap. Returns whether there was one.
  bool CheckPause(base::Millis now, RouterActions& actions);
  template <class Value>
  using ByFlow = std::unordered_map<flow::FlowEnds, Value, flow::FlowEndsHash>;

  void OnOpening(std::string_view packet,
                 const flow::PacketHeader& header,
                 base::Millis now,
                 RouterActions& actions);
  bool HasRoutes() const { return m_routes->revision() > 0; }
  // Returns whether a peer has a newer configuration. It may have routes that
  // this balancer does not know, and flows opened on them.
  bool IsBehind() const { return m_newest_revision > m_routes->revision(); }
  // Returns the upstreams of the service that may be offered the flow.
  std::vector<load::UpstreamCandidate> CandidatesFor(base::ServiceId service,
                                                     const Offer& offer,
                                                     base::Millis now) const;
  // Offers the flow to the next upstream. If none is left, resets the flow, or
  // drops the packet if an upstream may have accepted it. Returns whether an
  // offer is pending or waits for the configuration or for the first agent.
  bool OfferNext(const flow::FlowEnds& ends,
                 Offer& offer,
                 base::Millis now,
                 RouterActions& actions);
  void OnFlowPacket(std::string_view packet,
                    const flow::PacketHeader& header,
                    base::Millis now,
                    RouterActions& actions);
  void StartSearch(std::string_view packet,
                   const flow::PacketHeader& header,
                   base::Millis now,
                   RouterActions& actions);
  // Asks the next agents: those of the next likely round, or all of the route's
  // services, or all that remain. Returns false if there are none.
  bool AskNextAgents(const flow::FlowEnds& ends,
                     FlowSearch& search,
                     base::Millis now);
  // Asks the agents of the next of kLikelyRounds.
  void AskLikelyAgents(const flow::FlowEnds& ends,
                       FlowSearch& search,
                       base::Millis now);
  // Returns the agents to ask in a round, out of those of the service.
  std::vector<base::Address> LikelyAgents(const flow::FlowEnds& ends,
                                          base::ServiceId service,
                                          const SearchRound& round) const;
  // Asks the agents of the route's services; none if there is no route.
  void AskRouteAgents(const flow::FlowEnds& ends,
                      FlowSearch& search,
                      base::Millis now);
  // Asks the agents that were not asked yet and for which `wanted` returns
  // true.
  template <class Wanted>
  void AskAgents(const flow::FlowEnds& ends,
                 FlowSearch& search,
                 Wanted wanted,
                 base::Millis now);
  // Asks all agents that were not asked yet; returns false if there are none.
  bool AskRemainingAgents(const flow::FlowEnds& ends,
                          FlowSearch& search,
                          base::Millis now);
  // Forwards the packets as probes to the agents that are unsure whether their
  // upstream holds the flow; returns false if all were sent before.
  bool ForwardProbes(FlowSearch& search,
                     base::Millis now,
                     RouterActions& actions);
  // Repeats the questions to the agents that have not answered.
  void RepeatQuestions(const flow::FlowEnds& ends, FlowSearch& search);
  // Sends the queued questions if the rate limit allows.
  void SendQuestions(base::Millis now, RouterActions& actions);
  // Records an answer of the agent and the load that came with it. Asks the
  // agent for a report if its reports are overdue.
  void NoteAnswer(base::Address address,
                  const load::UpstreamLoad& load,
                  base::Millis now,
                  RouterActions& actions);
  // Records an answer other than kHeld in the search for the flow, if there is
  // one.
  void OnSearchAnswer(const flow::FlowEnds& ends,
                      Holding holding,
                      base::Address agent,
                      base::Millis now,
                      RouterActions& actions);
  // Caches the agent of the flow, ends its search and its offer, and forwards
  // the buffered packets to the agent.
  void OnFlowFound(const flow::FlowEnds& ends,
                   base::Address agent,
                   base::Millis now,
                   RouterActions& actions);
  // Continues a search once all expected answers have arrived, and concludes it
  // if there is nothing left to wait for.
  void AdvanceSearch(ByFlow<FlowSearch>::iterator search,
                     base::Millis now,
                     RouterActions& actions);
  // Returns whether an asked agent that has an upstream has not answered.
  bool AwaitsAnswer(const FlowSearch& search) const;
  // Returns whether every asked agent has answered, has no upstream, or counts
  // as having lost its flows.
  bool HasAllExpectedAnswers(const FlowSearch& search, base::Millis now) const;
  // Asks the next agents, or else forwards probes. Returns whether the
  // search is over: it is not while a question or probe was just sent, an
  // upstream may still answer a probe, or an agent not yet discovered may hold
  // the flow.
  bool TakeNextSearchStep(const flow::FlowEnds& ends,
                          FlowSearch& search,
                          base::Millis now,
                          RouterActions& actions);
  // Resets the flow or drops its packets after a search that found no agent.
  void ConcludeSearch(const flow::FlowEnds& ends,
                      const FlowSearch& search,
                      base::Millis now,
                      RouterActions& actions);
  // Makes the next offer for flows whose offer has timed out or waits for an
  // agent.
  void TickOffers(base::Millis now, RouterActions& actions);
  // Repeats the questions of searches, and concludes searches that timed out.
  void TickSearches(base::Millis now, RouterActions& actions);
  // Removes idle flows from the cache, and agents after kAgentExpiry.
  void Sweep(base::Millis now);
  // Adds or updates the flow in the cache; adds nothing if the cache is full.
  void CacheFlow(const flow::FlowEnds& ends,
                 base::Address agent,
                 base::Millis now);
  // Returns the time without messages, or without reports, after which the next
  // one of the agent is overdue.
  static base::Millis ReportPatience(const Agent& agent);
  // Returns whether it is known which upstream the agent serves: its reports
  // are not overdue.
  static bool IsIdentified(const Agent& agent, base::Millis now);
  // Removes the flow from the cache if it is cached for this agent.
  void ForgetFlow(const flow::FlowEnds& ends, base::Address agent);
  // Returns whether messages of an agent are overdue. While the balancer is
  // isolated, this holds for every agent that was not heard recently.
  bool IsSilent(const Agent& agent, base::Millis now) const;
  // Returns whether the flows of an agent count as lost: it is unknown, or it
  // is silent and did not report that it stops while its upstream keeps its
  // flows.
  bool HasLostFlows(base::Address agent, base::Millis now) const;
  // Returns whether an agent has reported that its upstream has terminated, or
  // that it has none.
  bool HasNoUpstream(base::Address agent) const;
  // Returns whether enough time has passed since the start to have heard of all
  // agents.
  bool KnowsAllAgents(base::Millis now) const;
  // Returns whether an agent was heard within the time limit for isolation.
  static bool WasHeardRecently(const Agent& agent, base::Millis now);
  // Updates m_isolated.
  void CheckIsolation(base::Millis now);
  // Emits an AgentSilence event for each agent that became silent or is heard
  // again. Removes silent agents without an upstream instead.
  void NoteSilence(base::Millis now, RouterActions& actions);
  bool AcceptsNewFlows(const Agent& agent, base::Millis now) const;
  // Returns the message that carries a packet of an open flow.
  Forward NewForward(std::string packet, bool probe) const {
    return {.revision = m_routes->revision(),
            .probe = probe,
            .packet = std::move(packet)};
  }
  // Returns the message that offers a new flow to an upstream of `service`.
  Forward NewOffer(std::string packet, base::ServiceId service) const {
    return {.revision = m_routes->revision(),
            .service = service,
            .packet = std::move(packet)};
  }

  const uint64_t m_data_centre;
  const load::UpstreamChoice& m_choice;
  base::Millis m_started;  // without the time in which this process was paused
  std::shared_ptr<const RouteTable> m_routes =
      std::make_shared<const RouteTable>();
  std::map<base::Address, Agent> m_agents;
  uint64_t m_agents_added = 0;  // number of agents ever added to m_agents
  ByFlow<KnownFlow> m_known_flows;
  ByFlow<Offer> m_offers;
  ByFlow<FlowSearch> m_searches;
  LocateQueue m_questions;
  EvacuationFilter m_evacuation_filter;
  base::Millis m_last_tick;
  // Longest report interval of the agents that don't repeat their first report.
  base::Millis m_longest_interval{0};
  // Newest revision of the configuration that any peer has reported recently.
  uint64_t m_newest_revision = 0;
  bool m_isolated = false;  // see kIsolationTimeout
  base::Millis m_next_sweep{0};
};

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_FLOW_ROUTER_H_
