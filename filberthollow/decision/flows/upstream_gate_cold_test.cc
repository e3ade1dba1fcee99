// Tests how many new flows an agent lets through to a cold upstream.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using flow::Reason;
using load::ColdLimiter;
using testing::ActionsOfType;
using testing::kDesk;
using testing::MakeHeartbeat;

constexpr double kRate = 4;
constexpr load::ColdBounds kBounds{.overshoot = 1.3, .slack = 2};
constexpr size_t kAllowed = 5;  // floor(kRate * kBounds.overshoot)
constexpr size_t kMany = 20;
constexpr Millis kColdTime{5000};
constexpr Millis kHeartbeatInterval{1000};
constexpr Millis kPause{1500};
constexpr int64_t kFirstRunStarted = 100'000;

std::shared_ptr<const RouteTable> RoutesWithRate(double rate) {
  settings::Tree tree;
  tree.services["desk"].overrides.connections = 10'000;
  return std::make_shared<const RouteTable>(
      5, tree,
      std::vector<settings::Route>{{.name = "desk",
                                    .address = testing::kDeskRoute,
                                    .shares = {{"desk", 1}}}},
      settings::ColdLimits{
          {"desk", {.requests_per_second = rate, .duration = kColdTime}}});
}

// Fixture is an agent beside an upstream that tells when it is cold. The
// upstream accepts each new flow at once. Both can be restarted.
struct Fixture {
  Millis now{50'000};
  std::unique_ptr<UpstreamGate> gate;
  std::shared_ptr<const RouteTable> routes = RoutesWithRate(kRate);
  bool evacuated = false;
  Millis cold_until{0};
  int64_t run_started = kFirstRunStarted;
  uint64_t sequence = 1;
  bool answers = true;              // the upstream process runs
  std::vector<Millis> cold_opened;  // new flows that reached it while cold
  std::vector<flow::PacketHeader> openings;  // of the flows that reached it
  uint16_t next_port = 1;

  // The agent has run for longer than the second in which it may not open
  // flows.
  Fixture() {
    StartAgent();
    Advance(ColdLimiter::kWindow + Millis(1));
  }

  void StartAgent() {
    gate = std::make_unique<UpstreamGate>(
        GateOptions{.service = kDesk, .cold_bounds = kBounds}, now);
    gate->SetRoutes(routes);
    GateActions ignored;
    gate->SetEvacuated(evacuated, now, ignored);
  }
  void StartRun(int64_t started) {
    run_started = started;
    sequence = 1;
    answers = true;
    BecomeCold();
  }
  void BecomeCold() { cold_until = now + kColdTime; }
  HeartbeatOutcome Heartbeat() {
    UpstreamHeartbeat beat =
        MakeHeartbeat(sequence++, UpstreamState::kReady, run_started);
    beat.cold_remaining = std::max(cold_until - now, Millis(0));
    GateActions ignored;
    return gate->OnHeartbeat(beat, now, ignored);
  }
  void SetEvacuated(bool value) {
    evacuated = value;
    GateActions actions;
    gate->SetEvacuated(value, now, actions);
  }
  // Sends the packet to the gate, and answers as the upstream what is
  // delivered. Returns the reason if the flow is refused.
  std::optional<Reason> Send(const flow::PacketHeader& header, bool is_new) {
    GateActions actions;
    gate->OnForward({.revision = 5, .packet = "p"}, header,
                    testing::kInformedBalancer, now, actions);
    if (ActionsOfType<DeliverToUpstream>(actions).empty()) {
      return ActionsOfType<AnswerBalancer>(actions).at(0).answer.reason;
    }
    GateActions ignored;
    if (!answers) {
      gate->OnUpstreamPacket("b", testing::Bounced(header), now, ignored);
      return std::nullopt;
    }
    if (is_new) {
      openings.push_back(header);
      if (now < cold_until) {
        cold_opened.push_back(now);
      }
    }
    flow::PacketHeader acceptance = testing::Acceptance();
    acceptance.destination = header.source;
    gate->OnUpstreamPacket("a", acceptance, now, ignored);
    return std::nullopt;
  }
  std::optional<Reason> Open() {
    flow::PacketHeader header = testing::Opening();
    header.source.port = next_port++;
    return Send(header, true);
  }
  // Returns how many of `count` new flows reach the upstream.
  size_t Open(size_t count) {
    size_t before = openings.size();
    for (size_t i = 0; i < count; ++i) {
      Open();
    }
    return openings.size() - before;
  }
  void Copy() {
    if (!openings.empty()) {
      flow::PacketHeader header = openings.back();
      ++header.acknowledged;
      Send(header, false);
    }
  }
  void Tick() {
    GateActions ignored;
    gate->OnTick(now, ignored);
  }
  void Advance(Millis time) {
    for (Millis end = now + time; now < end;) {
      now = now + std::min(testing::kTickStep, end - now);
      Tick();
    }
  }
  // Lets time pass with a heartbeat in each interval.
  void AdvanceWithHeartbeats(Millis time) {
    for (Millis end = now + time; now < end;) {
      Advance(std::min(kHeartbeatInterval, end - now));
      Heartbeat();
    }
  }
};

// An upstream that is not cold.
struct WarmFixture : Fixture {
  WarmFixture() {
    Heartbeat();
    Advance(testing::kTickStep);
  }
};

BOOST_FIXTURE_TEST_CASE(WarmUpstreamIsNotLimited, WarmFixture) {
  BOOST_TEST(Open(kMany) == kMany);
  BOOST_TEST(gate->Report(now).load.openings_left == load::kUnlimitedOpenings);
}

BOOST_FIXTURE_TEST_CASE(ColdUpstreamIsLimitedInAnySecond, Fixture) {
  BecomeCold();
  Heartbeat();
  BOOST_TEST(Open(3) == 3U);
  BOOST_TEST(gate->Report(now).load.openings_left == 2U);
  BOOST_TEST(Open(kMany) == kAllowed - 3);
  BOOST_TEST((Open() == Reason::kColdLimit));
  Advance(ColdLimiter::kWindow);
  BOOST_TEST(Open(kMany) == 0U);
  Advance(Millis(1));
  BOOST_TEST(Open(kMany) == kAllowed);
}

// Guards against any effect where no limit is configured.
BOOST_FIXTURE_TEST_CASE(WithoutLimitAColdUpstreamTakesAllFlows, Fixture) {
  routes = RoutesWithRate(0);
  StartAgent();
  BecomeCold();
  Heartbeat();
  BOOST_TEST(Open(kMany) == kMany);
  BOOST_TEST(gate->Report(now).load.openings_left == load::kUnlimitedOpenings);
  answers = false;
  Open();
  answers = true;
  Heartbeat();
  SetEvacuated(true);
  SetEvacuated(false);
  BOOST_TEST(Open(kMany) == kMany);
}

// Guards against a limit that is spent twice, by an agent that is killed and by
// the next one.
BOOST_FIXTURE_TEST_CASE(AgentKilledBesideAColdUpstreamKeepsTheLimit, Fixture) {
  BecomeCold();
  Heartbeat();
  BOOST_TEST(Open(kMany) == kAllowed);
  Advance(Millis(10));
  StartAgent();
  Heartbeat();
  BOOST_TEST((Open() == Reason::kColdLimit));
  BOOST_TEST(gate->Report(now).load.openings_left == 0U);
  Advance(ColdLimiter::kWindow + Millis(1));
  BOOST_TEST(Open(kMany) == kAllowed);
}

// Guards against taking the first heartbeat of a run for a sign that nothing
// was delivered to it: the killed agent had offered it flows before.
BOOST_FIXTURE_TEST_CASE(FirstHeartbeatOfARunDoesNotEndTheWait, Fixture) {
  StartRun(kFirstRunStarted + 1);
  BOOST_TEST(Open(1) == 0U);  // no heartbeat yet
  Heartbeat();
  BOOST_TEST(Open(kMany) == kAllowed);
  StartAgent();
  sequence = 1;
  Heartbeat();
  BOOST_TEST((Open() == Reason::kColdLimit));
}

// Guards against unlimited flows from a restarted agent that has not received
// the configuration yet.
BOOST_FIXTURE_TEST_CASE(AgentWithoutConfigurationOpensNoFlow, Fixture) {
  routes = std::make_shared<const RouteTable>();
  StartAgent();
  BecomeCold();
  Heartbeat();
  BOOST_TEST((Open() == Reason::kColdLimit));
}

BOOST_FIXTURE_TEST_CASE(EvacuationRefusesNewFlowsAndKeepsOpenOnes,
                        WarmFixture) {
  BOOST_TEST(Open(1) == 1U);
  GateActions actions;
  gate->SetEvacuated(true, now, actions);
  BOOST_TEST(ActionsOfType<ReportNow>(actions).size() == 1U);
  gate->SetEvacuated(true, now, actions);
  BOOST_TEST(actions.size() == 1U);
  BOOST_TEST((Open() == Reason::kEvacuated));
  flow::PacketHeader data = testing::Data(101, 500);
  data.source.port = 1;
  BOOST_TEST(!Send(data, false).has_value());
}

// Guards against a burst on upstreams that cooled down after their last
// heartbeat.
BOOST_FIXTURE_TEST_CASE(UpstreamIsInDoubtAfterAnEvacuation, WarmFixture) {
  SetEvacuated(true);
  BecomeCold();
  Advance(Millis(10));
  SetEvacuated(false);
  BOOST_TEST(Open(kMany) == kAllowed);
  Advance(Millis(10));
  cold_until = now;  // it was warm after all
  Heartbeat();
  BOOST_TEST(Open(kMany) == kMany);
}

// Guards against a burst on a new run before its first heartbeat.
BOOST_FIXTURE_TEST_CASE(UpstreamThatBouncesIsInDoubt, WarmFixture) {
  answers = false;
  Open();
  answers = true;
  Advance(UpstreamLiveness::kRefusalBackoff);
  BOOST_TEST(Open(kMany) == kAllowed - 1);  // the bounced one was delivered
}

BOOST_FIXTURE_TEST_CASE(UpstreamThatLostAFlowIsInDoubt, WarmFixture) {
  BOOST_TEST(Open(1) == 1U);
  flow::PacketHeader data = testing::Data(101, 500);
  data.source.port = 1;
  GateActions ignored;
  gate->OnUpstreamPacket("b", testing::Bounced(data), now, ignored);
  BOOST_TEST(Open(kMany) == kAllowed - 1);
}

BOOST_FIXTURE_TEST_CASE(UpstreamThatWasSilentIsInDoubt, WarmFixture) {
  GateActions ignored;
  gate->OnForward({.revision = 5, .packet = "p"}, testing::Opening(),
                  testing::kInformedBalancer, now, ignored);
  Advance(UpstreamLiveness::kSilenceTimeout + testing::kTickStep);
  gate->OnHealthCheck(true, now, ignored);
  BOOST_TEST(Open(kMany) == kAllowed - 1);
}

// Guards against a burst on a run whose heartbeats are not believed yet: its
// host's wall clock was set back, so that it seems to have started earlier.
BOOST_FIXTURE_TEST_CASE(ClockSetBackDoesNotLiftTheLimit, WarmFixture) {
  StartRun(kFirstRunStarted - 1);
  BOOST_TEST((Heartbeat() == HeartbeatOutcome::kEarlierRun));
  BOOST_TEST(Open(kMany) == kAllowed);
  AdvanceWithHeartbeats(kHeartbeatInterval * 2);
  BOOST_TEST(Open(kMany) == kAllowed);
}

// Guards against a burst before the heartbeats that arrived during a pause of
// the agent are read.
BOOST_FIXTURE_TEST_CASE(UpstreamIsInDoubtAfterAPauseOfTheAgent, WarmFixture) {
  now = now + kPause;
  BOOST_TEST(Open(kMany) == kAllowed);
  Tick();
  BOOST_TEST(Open(kMany) == 0U);
  Heartbeat();
  BOOST_TEST(Open(kMany) == 0U);  // in the same millisecond as the doubt
  Advance(Millis(1));
  Heartbeat();
  BOOST_TEST(Open(kMany) == kMany);
}

// Copies of an opening packet may reach a restarted upstream as new flows.
BOOST_FIXTURE_TEST_CASE(CopiesAreDeliveredAndCounted, Fixture) {
  BecomeCold();
  Heartbeat();
  BOOST_TEST(Open(1) == 1U);
  GateActions actions;
  flow::PacketHeader copy = openings[0];
  for (size_t i = 0; i < kAllowed; ++i) {
    gate->OnForward({.revision = 5, .packet = "p"}, copy,
                    testing::kInformedBalancer, now, actions);
  }
  BOOST_TEST(ActionsOfType<DeliverToUpstream>(actions).size() == kAllowed);
  BOOST_TEST((Open() == Reason::kColdLimit));
}

// Steps of the property test.
using Step = void (*)(Fixture& fixture);
constexpr std::array<Step, 16> kSteps{
    [](Fixture& f) { f.Open(1); }, [](Fixture& f) { f.Open(3); },
    [](Fixture& f) { f.Open(kMany); }, [](Fixture& f) { f.Copy(); },
    [](Fixture& f) { f.Advance(Millis(1)); },
    [](Fixture& f) { f.Advance(Millis(120)); },
    [](Fixture& f) { f.Advance(ColdLimiter::kWindow); },
    [](Fixture& f) { f.AdvanceWithHeartbeats(kColdTime); },
    [](Fixture& f) { f.Heartbeat(); }, [](Fixture& f) { f.StartAgent(); },
    // A restart in place that is seen by its first heartbeat.
    [](Fixture& f) {
      f.StartRun(f.run_started + 1);
      f.Heartbeat();
    },
    // The same after the wall clock was set back.
    [](Fixture& f) {
      f.StartRun(f.run_started - 1);
      f.Heartbeat();
    },
    // A restart that is seen by a bounced packet, before the first heartbeat.
    [](Fixture& f) {
      f.answers = false;
      f.Advance(Millis(5));
      f.Open(1);
      f.StartRun(f.run_started + 1);
    },
    // A restart during a silence, before the first heartbeat.
    [](Fixture& f) {
      GateActions ignored;
      flow::PacketHeader header = testing::Opening();
      header.source.port = f.next_port++;
      f.gate->OnForward({.revision = 5, .packet = "p"}, header,
                        testing::kInformedBalancer, f.now, ignored);
      f.Advance(UpstreamLiveness::kSilenceTimeout + testing::kTickStep);
      f.StartRun(f.run_started + 1);
      f.gate->OnHealthCheck(true, f.now, ignored);
    },
    // The upstream turns cold just before an evacuation ends.
    [](Fixture& f) {
      f.SetEvacuated(true);
      f.Heartbeat();
      f.Advance(Millis(50));
      f.BecomeCold();
      f.SetEvacuated(false);
    },
    // A restart during a pause of the agent.
    [](Fixture& f) {
      f.StartRun(f.run_started + 1);
      f.now = f.now + kPause;
    }};

RC_BOOST_PROP(NoSecondHasMoreNewFlowsThanAllowed, ()) {
  auto steps = *rc::gen::container<std::vector<size_t>>(
      60, rc::gen::inRange<size_t>(0, kSteps.size()));
  Fixture fixture;
  for (size_t step : steps) {
    kSteps.at(step)(fixture);
  }
  const std::vector<Millis>& opened = fixture.cold_opened;
  double bound = kRate * kBounds.overshoot + kBounds.slack;
  auto allowed = static_cast<size_t>(bound);
  for (size_t i = allowed; i < opened.size(); ++i) {
    RC_ASSERT(opened[i] - opened[i - allowed] > ColdLimiter::kWindow);
  }
}

}  // namespace
}  // namespace filberthollow::decision::flows
