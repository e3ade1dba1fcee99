// Test fixtures for FlowRouter.
#ifndef FILBERTHOLLOW_TESTING_ROUTER_FIXTURE_H_
#define FILBERTHOLLOW_TESTING_ROUTER_FIXTURE_H_

#include <set>
#include <string>
#include <utility>

#include "filberthollow/decision/flows/flow_router.h"
#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::testing {

inline constexpr base::Address kFirstAgent{1, 7000};
inline constexpr base::Address kSecondAgent{2, 7000};
inline constexpr base::Address kThirdAgent{3, 7000};
inline constexpr uint64_t kLocalDataCentre = 77;
inline constexpr base::Millis kStep{20};

// Returns a text that stands for the bytes of a packet.
inline std::string BytesOf(const flow::PacketHeader& header) {
  return "packet " + std::to_string(header.sequence);
}

// RouterFixture is a router with routes for two services and a clock that the
// test advances. Methods that return decision::flows::RouterActions return the
// actions of the router since the last such call.
struct RouterFixture {
  base::Millis now{10'000};
  decision::flows::FlowRouter router{kLocalDataCentre, now};
  decision::flows::RouterActions actions;

  RouterFixture() { router.SetRoutes(TwoRoutes(5)); }

  decision::flows::RouterActions Take() { return std::exchange(actions, {}); }
  void Report(base::Address agent,
              base::ServiceId service = kDesk,
              decision::load::UpstreamLoad load = {.slots = 4}) {
    router.OnReport({.service = service,
                     .data_centre = kLocalDataCentre,
                     .state = decision::flows::UpstreamState::kReady,
                     .load = load,
                     .interval = base::Millis(200)},
                    agent, now);
  }
  decision::flows::RouterActions FromCaller(const flow::PacketHeader& header) {
    router.OnCallerPacket(BytesOf(header), header, now, actions);
    return Take();
  }
  decision::flows::RouterActions Answer(base::Address agent,
                                        decision::flows::Holding holding,
                                        flow::Reason reason = {},
                                        std::string packet = "") {
    bool located =
        packet.empty() && holding != decision::flows::Holding::kRefused;
    if (located && holding != decision::flows::Holding::kHeld) {
      router.OnLocated({.flows = {{kDeskFlow, holding}}}, agent, now, actions);
      return Take();
    }
    router.OnAnswer({.flow = kDeskFlow,
                     .holding = holding,
                     .reason = reason,
                     .packet = std::move(packet)},
                    Data(101, 500), agent, now, actions);
    return Take();
  }
  // Advances the time by `time` in steps of kStep; the agents in `reporting`
  // report at each step. Returns the actions of all ticks.
  decision::flows::RouterActions AdvanceTime(
      base::Millis time,
      const std::set<base::Address>& reporting) {
    decision::flows::RouterActions all;
    for (base::Millis end = now + time; now < end;) {
      now = now + kStep;
      for (base::Address agent : reporting) {
        Report(agent);
      }
      router.OnTick(now, actions);
      for (auto& action : Take()) {
        all.push_back(action);
      }
    }
    return all;
  }
  // Advances the time past the period in which the balancer may not know all
  // agents.
  void WaitForDiscovery(const std::set<base::Address>& reporting) {
    AdvanceTime(decision::flows::FlowRouter::kDiscoveryPeriod + kStep,
                reporting);
  }
};

// IdempotentFlow is a flow of an idempotent route, open at kFirstAgent.
struct IdempotentFlow : RouterFixture {
  flow::PacketHeader data = Data(101, 500);

  IdempotentFlow() {
    data.destination = kMapsRoute;
    WaitForDiscovery({});
    Report(kFirstAgent, kMaps);
    FromCaller(Opening(kMapsRoute));
    router.OnAnswer(
        {.flow = data.FromCaller(), .holding = decision::flows::Holding::kHeld},
        {}, kFirstAgent, now, actions);
    Take();
  }
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_ROUTER_FIXTURE_H_
