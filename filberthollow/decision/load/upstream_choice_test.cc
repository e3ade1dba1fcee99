#include "filberthollow/decision/load/upstream_choice.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace filberthollow::decision::load {
namespace {

constexpr uint64_t kLocalDataCentre = 1;
constexpr uint64_t kRemoteDataCentre = 2;

UpstreamCandidate Candidate(uint32_t host,
                            uint64_t data_centre,
                            UpstreamLoad load) {
  return {.agent = {host, 1}, .data_centre = data_centre, .load = load};
}

std::optional<size_t> ChooseUpstream(
    const std::vector<UpstreamCandidate>& candidates,
    uint64_t data_centre,
    uint64_t key) {
  return LeastWorkChoice().Choose(candidates, {data_centre, key});
}

BOOST_AUTO_TEST_CASE(NoUpstreamIsChosenWithoutCandidates) {
  BOOST_TEST(!ChooseUpstream({}, kLocalDataCentre, 0).has_value());
}

BOOST_AUTO_TEST_CASE(UpstreamWithLeastWorkPerSlotIsChosen) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(1, kLocalDataCentre, {.slots = 2, .in_flight = 2}),
      Candidate(2, kLocalDataCentre, {.slots = 8, .in_flight = 3})};
  BOOST_TEST(*ChooseUpstream(candidates, kLocalDataCentre, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(LocalDataCentreIsPreferredUntilBusier) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(1, kLocalDataCentre, {.slots = 4, .in_flight = 1}),
      Candidate(2, kRemoteDataCentre, {.slots = 4, .in_flight = 0})};
  BOOST_TEST(*ChooseUpstream(candidates, kLocalDataCentre, 0) == 0U);
  candidates[0].load.in_flight = 4;
  BOOST_TEST(*ChooseUpstream(candidates, kLocalDataCentre, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamCountsAsBusier) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(1, kLocalDataCentre,
                {.slots = 4, .in_flight = 2, .cold_ms = 900}),
      Candidate(2, kLocalDataCentre, {.slots = 4, .in_flight = 2})};
  BOOST_TEST(*ChooseUpstream(candidates, kLocalDataCentre, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(OpenFlowsCountByTheirExpectedRequests) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(1, kLocalDataCentre,
                {.slots = 4, .open_flows = 40, .in_flight_mean = 100}),
      Candidate(2, kLocalDataCentre,
                {.slots = 4, .open_flows = 5, .in_flight_mean = 100})};
  BOOST_TEST(*ChooseUpstream(candidates, kLocalDataCentre, 0) == 1U);
}

// Guards against many simultaneous flows all going to the upstream that was
// idle in the last report.
BOOST_AUTO_TEST_CASE(FlowsPlacedSinceLoadReportCount) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(1, kLocalDataCentre, {.slots = 4, .in_flight = 0}),
      Candidate(2, kLocalDataCentre, {.slots = 4, .in_flight = 1})};
  candidates[0].placed_since_load = 3;
  BOOST_TEST(*ChooseUpstream(candidates, kLocalDataCentre, 0) == 1U);
}

// Guards against balancers that all send their next flows to the upstream that
// was idle in the last report.
BOOST_AUTO_TEST_CASE(SampledChoiceSpreadsFlowsOverSeveralUpstreams) {
  std::vector<UpstreamCandidate> candidates;
  for (uint32_t host = 1; host <= 8; ++host) {
    candidates.push_back(
        Candidate(host, kLocalDataCentre,
                  {.slots = 4, .in_flight = static_cast<uint16_t>(host)}));
  }
  LeastWorkChoice least_work;
  SampledChoice sampled(least_work, 2);
  std::vector<uint32_t> chosen(candidates.size(), 0);
  constexpr uint32_t kFlows = 800;
  for (uint64_t key = 0; key < kFlows; ++key) {
    ++chosen[*sampled.Choose(candidates, {kLocalDataCentre, key})];
  }
  BOOST_TEST(chosen[0] > kFlows / 8);  // the least loaded is preferred
  BOOST_TEST(chosen[0] < kFlows / 3);  // but does not get everything
  BOOST_TEST(chosen.back() == 0U);     // the most loaded loses each draw
}

BOOST_AUTO_TEST_CASE(SampledChoiceUsesAllOfFewCandidates) {
  std::vector<UpstreamCandidate> candidates{
      Candidate(1, kLocalDataCentre, {.slots = 4, .in_flight = 3}),
      Candidate(2, kLocalDataCentre, {.slots = 4, .in_flight = 1})};
  LeastWorkChoice least_work;
  SampledChoice sampled(least_work, 2);
  for (uint64_t key = 0; key < 20; ++key) {
    BOOST_TEST(*sampled.Choose(candidates, {kLocalDataCentre, key}) == 1U);
  }
  BOOST_TEST(!sampled.Choose({}, {kLocalDataCentre, 0}).has_value());
}

}  // namespace
}  // namespace filberthollow::decision::load
