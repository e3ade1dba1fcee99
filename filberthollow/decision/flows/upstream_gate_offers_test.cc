// Which new flows an agent offers to its upstream.
#include <boost/test/unit_test.hpp>

#include "filberthollow/decision/flows/upstream_gate.h"
#include "filberthollow/testing/gate_fixture.h"

namespace filberthollow::decision::flows {
namespace {

using flow::Reason;
using testing::ActionsOfType;
using testing::kBalancer;
using testing::kDesk;
using testing::kDeskRoute;
using testing::kInformedBalancer;
using testing::kMaps;
using testing::kMapsRoute;
using testing::kUnknownRoute;
using testing::MakeHeartbeat;
using testing::Opening;
using testing::RefusalReasonOf;
using Gate = testing::GateFixture;

constexpr ForwardSource kUninformedBalancer{.balancer = kBalancer};
constexpr uint64_t kOwnRevision = 5;
constexpr uint64_t kNewerRevision = 6;

// ReadyUpstream is a gate for the service kDesk with a ready upstream.
struct ReadyUpstream : Gate {
  ReadyUpstream() { DeliverHeartbeat(MakeHeartbeat(1)); }

  // Returns why a new flow is refused, or nothing if the upstream gets it.
  std::optional<Reason> Offer(base::Address route,
                              uint64_t revision,
                              base::ServiceId service,
                              const ForwardSource& source) {
    gate.OnForward({.revision = revision, .service = service, .packet = "p"},
                   Opening(route), source, now, actions);
    GateActions taken = TakeActions();
    auto reason = RefusalReasonOf(taken);
    BOOST_TEST(ActionsOfType<DeliverToUpstream>(taken).size() ==
               (reason ? 0U : 1U));
    return reason;
  }
};

BOOST_FIXTURE_TEST_CASE(DisallowedNewFlowIsRefusedImmediately, Gate) {
  BOOST_TEST((RefusalReasonOf(Forward(Opening())) == Reason::kNotReady));
  DeliverHeartbeat(MakeHeartbeat(1));
  BOOST_TEST(
      (RefusalReasonOf(Forward(Opening(kMapsRoute))) == Reason::kWrongService));
  BOOST_TEST(
      (RefusalReasonOf(Forward(Opening(kUnknownRoute))) == Reason::kNoRoute));
  DeliverHeartbeat(MakeHeartbeat(2, UpstreamState::kDraining));
  BOOST_TEST((RefusalReasonOf(Forward(Opening())) == Reason::kDraining));
}

BOOST_FIXTURE_TEST_CASE(NewerRoutesOfBalancerOverrideLocalRoutes, Gate) {
  DeliverHeartbeat(MakeHeartbeat(1));
  auto newer = decision::flows::Forward{.revision = 6, .packet = "p"};
  BOOST_TEST(
      ActionsOfType<DeliverToUpstream>(Forward(Opening(kUnknownRoute), newer))
          .size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ConnectionLimitIsEnforced, Gate) {
  DeliverHeartbeat(MakeHeartbeat(1));
  for (uint16_t port = 1; port <= 4; ++port) {
    flow::PacketHeader header = Opening();
    header.source.port = port;
    GateActions offered = Forward(header);
    if (port <= 3) {
      BOOST_TEST(ActionsOfType<DeliverToUpstream>(offered).size() == 1U);
    } else {
      BOOST_TEST((RefusalReasonOf(offered) == Reason::kConnectionLimit));
    }
  }
}

// AgentWithoutConfiguration has just started, and the store turns it away.
struct AgentWithoutConfiguration : ReadyUpstream {
  AgentWithoutConfiguration() {
    gate.SetRoutes(std::make_shared<const RouteTable>());
  }
};

// The balancer has the report of an agent that had the address before.
BOOST_FIXTURE_TEST_CASE(FlowMeantForAnotherServiceIsRefused,
                        AgentWithoutConfiguration) {
  for (const ForwardSource& source : {kUninformedBalancer, kInformedBalancer}) {
    BOOST_TEST((Offer(kMapsRoute, kOwnRevision, kMaps, source) ==
                Reason::kWrongService));
  }
}

BOOST_FIXTURE_TEST_CASE(FlowMeantForOwnServiceNeedsNoConfiguration,
                        AgentWithoutConfiguration) {
  BOOST_TEST(
      !Offer(kDeskRoute, kOwnRevision, kDesk, kUninformedBalancer).has_value());
}

// Balancers of the previous release don't name the service.
BOOST_FIXTURE_TEST_CASE(FlowForNoNamedServiceNeedsAConfirmedReport,
                        AgentWithoutConfiguration) {
  BOOST_TEST((Offer(kDeskRoute, kOwnRevision, {}, kUninformedBalancer) ==
              Reason::kNotReady));
  BOOST_TEST(
      !Offer(kDeskRoute, kOwnRevision, {}, kInformedBalancer).has_value());
}

BOOST_FIXTURE_TEST_CASE(NewerConfigurationOfBalancerNamesTheService,
                        ReadyUpstream) {
  BOOST_TEST((Offer(kDeskRoute, kNewerRevision, kMaps, kInformedBalancer) ==
              Reason::kWrongService));
  BOOST_TEST(!Offer(kUnknownRoute, kNewerRevision, kDesk, kUninformedBalancer)
                  .has_value());
}

// The agent's own configuration decides if it is at least as new, whatever the
// balancer names.
BOOST_FIXTURE_TEST_CASE(OwnConfigurationDecidesIfNotOlder, ReadyUpstream) {
  BOOST_TEST((Offer(kMapsRoute, kOwnRevision, kDesk, kInformedBalancer) ==
              Reason::kWrongService));
  BOOST_TEST((Offer(kUnknownRoute, kOwnRevision, kDesk, kInformedBalancer) ==
              Reason::kNoRoute));
  BOOST_TEST(
      !Offer(kDeskRoute, kOwnRevision, kMaps, kUninformedBalancer).has_value());
}

// The on-call engineer must be able to tell why an agent took a flow.
BOOST_FIXTURE_TEST_CASE(DecisionNamesTheOffer, AgentWithoutConfiguration) {
  gate.OnForward({.revision = kOwnRevision, .service = kMaps, .packet = "p"},
                 Opening(kMapsRoute), kUninformedBalancer, now, actions);
  auto decided = ActionsOfType<OfferDecided>(TakeActions());
  BOOST_REQUIRE(decided.size() == 1U);
  Offerer expected{
      .balancer = kBalancer, .revision = kOwnRevision, .service = kMaps};
  BOOST_TEST((decided[0].offerer == expected));
}

}  // namespace
}  // namespace filberthollow::decision::flows
