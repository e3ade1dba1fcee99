// What a balancer believes of an agent that answers, while its reports are
// overdue: an upstream of another service may have its address.
#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/router_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using testing::ActionsOfType;
using testing::Data;
using testing::kFirstAgent;
using testing::kSecondAgent;
using testing::kStep;
using testing::Opening;

// Beyond the time after which reports at the fixture's interval of 200 ms are
// overdue.
constexpr Millis kOverdue = FlowRouter::kMinSilence + kStep;

// Fixture knows two agents of one service.
struct Fixture : testing::RouterFixture {
  Fixture() { WaitForDiscovery({kFirstAgent, kSecondAgent}); }

  // The first agent answers a question that was asked for an unknown flow.
  RouterActions FirstAgentAnswers() {
    router.OnLocated({}, kFirstAgent, now, actions);
    return Take();
  }
  // Returns the agents that are offered `count` new flows.
  std::set<base::Address> AgentsOffered(uint16_t count) {
    std::set<base::Address> agents;
    for (uint16_t port = 1; port <= count; ++port) {
      flow::PacketHeader header = Opening();
      header.source.port = ++m_port;
      for (const auto& offer : ActionsOfType<SendForward>(FromCaller(header))) {
        agents.insert(offer.agent);
      }
    }
    return agents;
  }

 private:
  uint16_t m_port = 0;
};

const std::set<base::Address> kOnlySecondAgent{kSecondAgent};
const std::set<base::Address> kBothAgents{kFirstAgent, kSecondAgent};

// The answer may be that of an agent of another service, which has got the
// address since.
BOOST_FIXTURE_TEST_CASE(AnswerRenewsNoReport, Fixture) {
  AdvanceTime(kOverdue, {kSecondAgent});
  FirstAgentAnswers();
  BOOST_TEST((AgentsOffered(20) == kOnlySecondAgent));
  BOOST_TEST(!router.HasReportOf(kFirstAgent, now));
}

// Answers that arrive at any time keep the agent from being silent.
BOOST_FIXTURE_TEST_CASE(FrequentAnswersRenewNoReport, Fixture) {
  for (Millis passed{0}; passed < kOverdue; passed = passed + kStep) {
    AdvanceTime(kStep, {kSecondAgent});
    FirstAgentAnswers();
  }
  BOOST_TEST((AgentsOffered(20) == kOnlySecondAgent));
}

BOOST_FIXTURE_TEST_CASE(ReportBringsAnAgentBack, Fixture) {
  AdvanceTime(kOverdue, {kSecondAgent});
  FirstAgentAnswers();
  Report(kFirstAgent);
  BOOST_TEST((AgentsOffered(20) == kBothAgents));
  Report(kFirstAgent, testing::kMaps);
  BOOST_TEST((AgentsOffered(20) == kOnlySecondAgent));
}

BOOST_FIXTURE_TEST_CASE(AnsweringAgentIsAskedForAnOverdueReport, Fixture) {
  AdvanceTime(kOverdue, {kSecondAgent});
  auto asked = ActionsOfType<ReportNeeded>(FirstAgentAnswers());
  BOOST_REQUIRE(asked.size() == 1U);
  BOOST_TEST((asked[0] == ReportNeeded{kFirstAgent, kOverdue}));
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).empty());
  AdvanceTime(FlowRouter::kReportRetryDelay, {kSecondAgent});
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).size() == 1U);
  Report(kFirstAgent);
  AdvanceTime(FlowRouter::kReportRetryDelay, {kSecondAgent});
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).empty());
}

// On a calm day some reports are lost; this must cost neither messages nor
// choice.
BOOST_FIXTURE_TEST_CASE(AgentWithOneLostReportGetsNewFlows, Fixture) {
  AdvanceTime(FlowRouter::kMinSilence - kStep, {kSecondAgent});
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).empty());
  BOOST_TEST((AgentsOffered(20) == kBothAgents));
}

// In a large fleet reports are seconds apart.
BOOST_FIXTURE_TEST_CASE(PatienceGrowsWithTheReportInterval, Fixture) {
  constexpr Millis kInterval{2000};
  router.OnReport({.service = testing::kDesk,
                   .data_centre = testing::kLocalDataCentre,
                   .state = UpstreamState::kReady,
                   .load = {.slots = 4},
                   .interval = kInterval},
                  kFirstAgent, now);
  AdvanceTime(kInterval * FlowRouter::kMaxMissedReports, {kSecondAgent});
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).empty());
  BOOST_TEST((AgentsOffered(20) == kBothAgents));
  AdvanceTime(kStep, {kSecondAgent});
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).size() == 1U);
  BOOST_TEST((AgentsOffered(20) == kOnlySecondAgent));
}

// A paused process could not receive the reports.
BOOST_FIXTURE_TEST_CASE(PauseMakesNoReportOverdue, Fixture) {
  now = now + Millis(5000);
  BOOST_TEST(ActionsOfType<ReportNeeded>(FirstAgentAnswers()).empty());
  BOOST_TEST((AgentsOffered(20) == kBothAgents));
}

// Another balancer may have heard the agent that has the address now.
BOOST_FIXTURE_TEST_CASE(NewsOfAnotherBalancerRenewsNoReport, Fixture) {
  AdvanceTime(kOverdue, {kSecondAgent});
  router.OnKnownAgents({{{kFirstAgent, testing::kDesk, false, Millis(0)}}},
                       now);
  BOOST_TEST((AgentsOffered(20) == kOnlySecondAgent));
}

// Guards against a caller that uses a port again and gets no answer, because a
// flow of that port is still cached at an address that has another agent now.
BOOST_FIXTURE_TEST_CASE(CopyOfRefusedOpeningIsOfferedElsewhere, Fixture) {
  router.OnAnswer({.flow = testing::kDeskFlow, .holding = Holding::kHeld}, {},
                  kFirstAgent, now, actions);
  Take();
  auto first = ActionsOfType<SendForward>(FromCaller(Opening()));
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first[0].agent == kFirstAgent));
  Answer(kFirstAgent, Holding::kRefused, flow::Reason::kWrongService);
  Report(kFirstAgent, testing::kMaps);
  auto copy =
      ActionsOfType<SendForward>(FromCaller(Opening(testing::kDeskRoute, 1)));
  BOOST_REQUIRE(copy.size() == 1U);
  BOOST_TEST((copy[0].agent == kSecondAgent));
}

// The upstream may hold the flow, and a second one would accept it, too.
BOOST_FIXTURE_TEST_CASE(CachedFlowSurvivesOtherRefusals, Fixture) {
  router.OnAnswer({.flow = testing::kDeskFlow, .holding = Holding::kHeld}, {},
                  kFirstAgent, now, actions);
  Take();
  FromCaller(Opening());
  Answer(kFirstAgent, Holding::kRefused, flow::Reason::kNotReady);
  BOOST_TEST(router.known_flows() == 1U);
  Answer(kSecondAgent, Holding::kRefused, flow::Reason::kWrongService);
  BOOST_TEST(router.known_flows() == 1U);
}

// The search goes on: an agent that answers may hold flows, whatever it is.
BOOST_FIXTURE_TEST_CASE(AgentWithOverdueReportIsStillAskedForFlows, Fixture) {
  AdvanceTime(kOverdue, {kSecondAgent});
  FirstAgentAnswers();
  FromCaller(Data(101, 500));
  Answer(kSecondAgent, Holding::kNotHeld);
  auto sent = ActionsOfType<SendForward>(Answer(kFirstAgent, Holding::kHeld));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].agent == kFirstAgent));
}

}  // namespace
}  // namespace filberthollow::decision::flows
