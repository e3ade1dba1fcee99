#include "filberthollow/decision/flows/flow_guesses.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::flows {
namespace {

using base::Millis;

constexpr base::Address kBalancer{7, 7000};
constexpr Millis kNow{1000};

flow::FlowEnds Flow(uint32_t number) {
  return {{number, 1}, {1, 443}};
}

// After a power failure, thousands of lost flows are probed within the
// retention of an outcome. Guards against outcomes that took the room of
// further probes, so that the agent stayed unsure.
BOOST_AUTO_TEST_CASE(OutcomesDoNotLimitPendingProbes) {
  FlowProbes probes;
  constexpr uint32_t kFlows = FlowProbes::kMaxPendingProbes * 4;
  for (uint32_t flow = 0; flow < kFlows; ++flow) {
    probes.Begin(Flow(flow), {kBalancer, "p"}, kNow);
    BOOST_REQUIRE(probes.RecordBounce(Flow(flow), kNow).has_value());
  }
  BOOST_TEST(probes.IsKnownNotHeld(Flow(0)));
  BOOST_TEST(probes.IsKnownNotHeld(Flow(kFlows - 1)));
}

BOOST_AUTO_TEST_CASE(PendingProbesAreLimited) {
  FlowProbes probes;
  for (uint32_t flow = 0; flow <= FlowProbes::kMaxPendingProbes; ++flow) {
    probes.Begin(Flow(flow), {kBalancer, "p"}, kNow);
  }
  BOOST_TEST(!probes.Confirm(Flow(FlowProbes::kMaxPendingProbes)).has_value());
  BOOST_TEST(probes.Confirm(Flow(0)).has_value());
  probes.Begin(Flow(FlowProbes::kMaxPendingProbes), {kBalancer, "p"}, kNow);
  BOOST_TEST(probes.Confirm(Flow(FlowProbes::kMaxPendingProbes)).has_value());
}

BOOST_AUTO_TEST_CASE(ExpiredProbesMakeRoom) {
  FlowProbes probes;
  for (uint32_t flow = 0; flow < FlowProbes::kMaxPendingProbes; ++flow) {
    probes.Begin(Flow(flow), {kBalancer, "p"}, kNow);
  }
  probes.DropExpired(kNow + FlowProbes::kRetention + Millis(1));
  probes.Begin(Flow(1), {kBalancer, "p"}, kNow);
  BOOST_TEST(probes.Confirm(Flow(1)).has_value());
}

}  // namespace
}  // namespace filberthollow::decision::flows
