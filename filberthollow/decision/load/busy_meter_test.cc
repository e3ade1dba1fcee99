#include "filberthollow/decision/load/busy_meter.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::load {
namespace {

using base::Millis;

constexpr flow::FlowEnds kFlow{{1, 2}, {3, 4}};

BOOST_AUTO_TEST_CASE(MeanConvergesToCount) {
  InFlightMeter meter(Millis(0));
  meter.Begin(kFlow, Millis(0));
  meter.Begin(kFlow, Millis(0));
  BOOST_TEST(meter.Mean(Millis(0)) == 0.0);
  BOOST_TEST(meter.Mean(Millis(10'000)) > 1.99);
  meter.End(Millis(10'000));
  BOOST_TEST(meter.count() == 1U);
  BOOST_TEST(meter.Mean(Millis(20'000)) < 1.01);
}

BOOST_AUTO_TEST_CASE(TakesOverdueRequestsOldestFirst) {
  InFlightMeter meter(Millis(0));
  meter.Begin(kFlow, Millis(0));
  meter.Begin(kFlow, Millis(500));
  BOOST_TEST(!meter.TakeOverdue(InFlightMeter::kMaxRequestTime).has_value());
  auto overdue = meter.TakeOverdue(InFlightMeter::kMaxRequestTime + Millis(1));
  BOOST_REQUIRE(overdue.has_value());
  BOOST_TEST((overdue->started_at == Millis(0)));
  BOOST_TEST(!meter.TakeOverdue(InFlightMeter::kMaxRequestTime + Millis(1))
                  .has_value());
}

}  // namespace
}  // namespace filberthollow::decision::load
