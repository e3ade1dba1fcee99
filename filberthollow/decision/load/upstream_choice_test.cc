#include "filberthollow/decision/load/upstream_choice.h"

#include <algorithm>
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

// Upstreams in several data centres, and callers in the local one.
struct SeveralDataCentres {
  static constexpr uint32_t kFlows = 4000;
  std::vector<UpstreamCandidate> candidates;

  // Adds `count` upstreams with two slots, of which one in `busy_divisor` has
  // a request in each slot; none if it is zero.
  void AddUpstreams(uint64_t data_centre,
                    uint32_t count,
                    uint32_t busy_divisor) {
    for (uint32_t i = 0; i < count; ++i) {
      bool busy = busy_divisor > 0 && i % busy_divisor == 0;
      uint16_t in_flight = busy ? 2 : 0;
      candidates.push_back(
          Candidate(static_cast<uint32_t>(candidates.size()) + 1, data_centre,
                    {.slots = 2, .in_flight = in_flight, .open_flows = 20}));
    }
  }
  // Returns the share of the flows that go to another data centre.
  double RemoteShare() const {
    uint32_t remote = 0;
    for (uint64_t key = 0; key < kFlows; ++key) {
      size_t chosen =
          *DefaultUpstreamChoice().Choose(candidates, {kLocalDataCentre, key});
      remote += candidates[chosen].data_centre == kLocalDataCentre ? 0 : 1;
    }
    return static_cast<double>(remote) / kFlows;
  }
};

// Guards against balancers without local upstreams that all send their flows to
// the one that was idle in the last report.
BOOST_FIXTURE_TEST_CASE(IdleUpstreamDoesNotDrawAllFlowsOfOtherDataCentres,
                        SeveralDataCentres) {
  AddUpstreams(kRemoteDataCentre, 20, 1);
  candidates[0].load.in_flight = 0;
  uint32_t chosen = 0;
  for (uint64_t key = 0; key < kFlows; ++key) {
    bool idle = *DefaultUpstreamChoice().Choose(candidates,
                                                {kLocalDataCentre, key}) == 0;
    chosen += idle ? 1 : 0;
  }
  BOOST_TEST(chosen < kFlows / 5);
}

// The target is a third of what two draws among all upstreams bring with five
// data centres: 64% of the flows.
BOOST_FIXTURE_TEST_CASE(FlowsStayInTheOwnDataCentreAtAnyNumberOfThem,
                        SeveralDataCentres) {
  constexpr double kMaxRemoteShare = 0.64 / 3;
  for (uint64_t data_centre = 1; data_centre <= 5; ++data_centre) {
    AddUpstreams(data_centre, 22, 5);
  }
  BOOST_TEST(RemoteShare() < kMaxRemoteShare);
}

BOOST_FIXTURE_TEST_CASE(FlowsLeaveABusyDataCentre, SeveralDataCentres) {
  AddUpstreams(kLocalDataCentre, 22, 1);
  AddUpstreams(kRemoteDataCentre, 88, 5);
  BOOST_TEST(RemoteShare() > 0.75);
}

BOOST_FIXTURE_TEST_CASE(FlowsLeaveADataCentreWithOneBusyUpstream,
                        SeveralDataCentres) {
  AddUpstreams(kLocalDataCentre, 1, 1);
  AddUpstreams(kRemoteDataCentre, 20, 0);
  BOOST_TEST(RemoteShare() == 1.0);
}

BOOST_FIXTURE_TEST_CASE(FlowsOfADataCentreWithoutUpstreamsAreSpread,
                        SeveralDataCentres) {
  AddUpstreams(kRemoteDataCentre, 20, 0);
  candidates[0].load.in_flight = 2;
  std::vector<uint32_t> chosen(candidates.size(), 0);
  for (uint64_t key = 0; key < kFlows; ++key) {
    ++chosen[*DefaultUpstreamChoice().Choose(candidates,
                                             {kLocalDataCentre, key})];
  }
  BOOST_TEST(chosen[0] == 0U);  // busier than any other draw
  BOOST_TEST(*std::max_element(chosen.begin(), chosen.end()) < kFlows / 10);
}

BOOST_FIXTURE_TEST_CASE(FlowsLeaveAColdDataCentre, SeveralDataCentres) {
  AddUpstreams(kLocalDataCentre, 20, 1);
  AddUpstreams(kRemoteDataCentre, 20, 1);
  double share_of_warm = RemoteShare();
  for (UpstreamCandidate& candidate : candidates) {
    bool local = candidate.data_centre == kLocalDataCentre;
    candidate.load.cold_ms = local ? 900 : 0;
  }
  BOOST_TEST(RemoteShare() > share_of_warm + 0.5);
}

}  // namespace
}  // namespace filberthollow::decision::load
