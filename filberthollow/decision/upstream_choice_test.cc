#include "filberthollow/decision/upstream_choice.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace filberthollow::decision {
namespace {

constexpr uint64_t kHome = 1;
constexpr uint64_t kAway = 2;

UpstreamOption Option(uint32_t host, uint64_t data_centre, UpstreamLoad load) {
  return {.agent = {host, 1}, .data_centre = data_centre, .load = load};
}

BOOST_AUTO_TEST_CASE(NothingIsChosenFromNothing) {
  BOOST_TEST(!ChooseUpstream({}, kHome, 0).has_value());
}

BOOST_AUTO_TEST_CASE(TheLeastBusyForItsSlotsIsChosen) {
  std::vector<UpstreamOption> options{
      Option(1, kHome, {.slots = 2, .busy = 2}),
      Option(2, kHome, {.slots = 8, .busy = 3})};
  BOOST_TEST(*ChooseUpstream(options, kHome, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(HomeIsPreferredUntilItIsBusier) {
  std::vector<UpstreamOption> options{
      Option(1, kHome, {.slots = 4, .busy = 1}),
      Option(2, kAway, {.slots = 4, .busy = 0})};
  BOOST_TEST(*ChooseUpstream(options, kHome, 0) == 0U);
  options[0].load.busy = 4;
  BOOST_TEST(*ChooseUpstream(options, kHome, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(AColdUpstreamCountsAsBusier) {
  std::vector<UpstreamOption> options{
      Option(1, kHome, {.slots = 4, .busy = 2, .cold_ms = 900}),
      Option(2, kHome, {.slots = 4, .busy = 2})};
  BOOST_TEST(*ChooseUpstream(options, kHome, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(OpenFlowsCountByTheWorkThatTheyBring) {
  std::vector<UpstreamOption> options{
      Option(1, kHome, {.slots = 4, .open = 40, .busy_mean = 100}),
      Option(2, kHome, {.slots = 4, .open = 5, .busy_mean = 100})};
  BOOST_TEST(*ChooseUpstream(options, kHome, 0) == 1U);
}

// Many callers at once must not all go to the upstream that was idle in the
// last report.
BOOST_AUTO_TEST_CASE(WhatWasPlacedSinceTheReportCounts) {
  std::vector<UpstreamOption> options{
      Option(1, kHome, {.slots = 4, .busy = 0}),
      Option(2, kHome, {.slots = 4, .busy = 1})};
  options[0].placed = 3;
  BOOST_TEST(*ChooseUpstream(options, kHome, 0) == 1U);
}

}  // namespace
}  // namespace filberthollow::decision
