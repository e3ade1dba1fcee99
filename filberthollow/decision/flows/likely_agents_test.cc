// Tests of searches in a large fleet: the agents on which a flow was probably
// placed are asked first.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "filberthollow/testing/router_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Address;
using base::Millis;
using testing::ActionsOfType;
using testing::Data;
using testing::kStep;
using testing::Opening;

// A fleet of kAgents agents in five data centres, and balancers that know them.
struct LargeFleet {
  static constexpr uint32_t kAgents = 110;
  static constexpr uint64_t kDataCentres = 5;
  static constexpr uint64_t kDataCentre = 2;  // of the balancers
  static constexpr Millis kStart{10'000};

  // A balancer of the fleet and its clock.
  struct Balancer {
    Millis now = kStart;
    FlowRouter router{kDataCentre, kStart};
    std::set<Address> silenced;
    RouterActions actions;

    Balancer() {
      router.SetRoutes(testing::TwoRoutes(5));
      Advance(FlowRouter::kDiscoveryPeriod + kStep);
    }
    void Report(uint32_t host) {
      router.OnReport({.service = testing::kDesk,
                       .data_centre = host % kDataCentres,
                       .state = UpstreamState::kReady,
                       .load = {.slots = 2, .open_flows = 20},
                       .interval = Millis(200),
                       .confirmation = ReportConfirmation::kReceived},
                      {host, 7000}, now);
    }
    RouterActions Advance(Millis time) {
      RouterActions all;
      for (Millis end = now + time; now < end;) {
        now = now + kStep;
        for (uint32_t host = 1; host <= kAgents; ++host) {
          if (!silenced.contains({host, 7000})) {
            Report(host);
          }
        }
        router.OnTick(now, actions);
        all.insert(all.end(), actions.begin(), actions.end());
        actions.clear();
      }
      return all;
    }
    // Returns the agents asked by the actions since the last call.
    std::vector<Address> TakeAsked() {
      std::vector<Address> asked;
      for (const SendLocate& sent : ActionsOfType<SendLocate>(actions)) {
        asked.push_back(sent.agent);
      }
      actions.clear();
      return asked;
    }
    std::vector<Address> Receive(const flow::PacketHeader& header) {
      router.OnCallerPacket("packet", header, now, actions);
      return TakeAsked();
    }
    std::vector<Address> Answer(const flow::FlowEnds& flow,
                                Address agent,
                                Holding holding) {
      router.OnLocated({.flows = {{flow, holding}}}, agent, now, actions);
      return TakeAsked();
    }
    // Returns the agent that is offered the flow.
    Address Place(const flow::PacketHeader& opening) {
      router.OnCallerPacket("opening", opening, now, actions);
      Address agent = ActionsOfType<SendForward>(actions).at(0).agent;
      actions.clear();
      return agent;
    }
  };

  Balancer first;
  Balancer second;
};

flow::PacketHeader FromPort(flow::PacketHeader header, uint16_t port) {
  header.source.port = port;
  return header;
}

// The target is fewer than six messages for a moved flow, one question and one
// answer for each agent asked. A question to all agents of the service costs
// 220.
BOOST_FIXTURE_TEST_CASE(MovedFlowIsFoundWithFewMessages, LargeFleet) {
  constexpr uint16_t kFlows = 300;
  constexpr size_t kMaxMessagesPerFlow = 6;
  size_t messages = 0;
  for (uint16_t port = 1; port <= kFlows; ++port) {
    Address holder = first.Place(FromPort(Opening(), port));
    flow::PacketHeader data = FromPort(Data(101, 500), port);
    std::vector<Address> asked = second.Receive(data);
    bool found = false;
    while (!asked.empty()) {
      messages += 2 * asked.size();
      found =
          found || std::find(asked.begin(), asked.end(), holder) != asked.end();
      std::vector<Address> next;
      for (Address agent : asked) {
        auto more =
            second.Answer(data.FromCaller(), agent,
                          agent == holder ? Holding::kHeld : Holding::kNotHeld);
        next.insert(next.end(), more.begin(), more.end());
      }
      asked = next;
    }
    BOOST_TEST(found);
    // Until the budget for questions is full again.
    second.Advance(Millis(120));
  }
  BOOST_TEST(messages <= kMaxMessagesPerFlow * kFlows);
}

BOOST_FIXTURE_TEST_CASE(FlowIsLostOnlyOnceAllAgentsHaveDeniedIt, LargeFleet) {
  flow::PacketHeader data = Data(101, 500);
  std::vector<Address> asked = first.Receive(data);
  size_t answered = 0;
  bool reset = false;
  while (!asked.empty()) {
    std::vector<Address> next;
    for (Address agent : asked) {
      BOOST_TEST(!reset);
      first.router.OnLocated(
          {.flows = {{data.FromCaller(), Holding::kNotHeld}}}, agent, first.now,
          first.actions);
      ++answered;
      reset = !ActionsOfType<ResetCaller>(first.actions).empty();
      auto more = first.TakeAsked();
      next.insert(next.end(), more.begin(), more.end());
    }
    asked = next;
  }
  BOOST_TEST(reset);
  BOOST_TEST(answered == size_t{kAgents});
}

// A wrong guess may cost two short delays, less than the caller's
// retransmission timeout of 200 ms.
BOOST_FIXTURE_TEST_CASE(SilentLikelyAgentsDelayASearchBriefly, LargeFleet) {
  constexpr Millis kMaxDelay{180};
  flow::PacketHeader data = Data(101, 500);
  std::set<Address> all_asked;
  for (Address agent : first.Receive(data)) {
    all_asked.insert(agent);
    first.silenced.insert(agent);
  }
  BOOST_TEST(all_asked.size() == 3U);
  for (Millis end = first.now + kMaxDelay; first.now < end;) {
    for (const SendLocate& sent :
         ActionsOfType<SendLocate>(first.Advance(kStep))) {
      all_asked.insert(sent.agent);
    }
  }
  BOOST_TEST(all_asked.size() == size_t{kAgents});
}

// In a small fleet one round of questions is cheaper than several.
BOOST_FIXTURE_TEST_CASE(AllAgentsOfASmallServiceAreAskedAtOnce,
                        testing::RouterFixture) {
  std::set<Address> agents;
  for (uint32_t host = 1; host <= FlowRouter::kMaxAgentsAskedAtOnce; ++host) {
    agents.insert({host, 7000});
  }
  WaitForDiscovery(agents);
  BOOST_TEST(ActionsOfType<SendLocate>(FromCaller(Data(101, 500))).size() ==
             agents.size());
}

}  // namespace
}  // namespace filberthollow::decision::flows
