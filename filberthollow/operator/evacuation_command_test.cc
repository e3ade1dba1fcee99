#include "filberthollow/operator/evacuation_command.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "filberthollow/decision/membership/evacuations.h"
#include "filberthollow/operator/commands.h"

namespace filberthollow::operator_tool {
namespace {

std::string EntryName(const std::string& data_centre) {
  return platform::kEvacuationPrefix + data_centre;
}

using nlohmann::json;
using platform::VersionOf;

constexpr uint64_t kSince = VersionOf(1, 57);

// One data centre as a balancer's page /status lists it.
std::string DataCentreText(const std::string& name,
                           const EvacuationCounts& counts) {
  return json{{"name", name},
              {"agents", counts.agents},
              {"agents_informed", counts.agents_informed},
              {"open_flows", counts.open_flows},
              {"in_flight", counts.in_flight}}
      .dump();
}

std::string StatusText(uint64_t revision, const std::string& data_centres) {
  return fmt::format(R"({{"packets": {{"revision": 7, "evacuations": )"
                     R"({{"revision": {}, "data_centres": [{}]}}}}}})",
                     revision, data_centres);
}

BalancerAnswer Answer(const std::string& name,
                      const std::optional<std::string>& status) {
  return MakeBalancerAnswer(name, "south-1", status);
}

// A balancer with north-1 in its list.
BalancerAnswer InformedBalancer(const std::string& name,
                                const EvacuationCounts& counts,
                                uint64_t revision = kSince) {
  return Answer(name, StatusText(revision, DataCentreText("north-1", counts)));
}

EvacuationReport ReportOf(std::vector<BalancerAnswer> balancers) {
  return MakeEvacuationReport({{{{"north-1", kSince}}}, std::move(balancers)});
}

constexpr EvacuationCounts kDone{.agents = 15, .agents_informed = 15};

// Guards against an object that is gone or has no name being taken for an
// evacuated data centre, and against a dependency on the content.
BOOST_AUTO_TEST_CASE(EntriesAreNamedByTheirObjects) {
  auto entries = ReadEvacuationEntries({{EntryName("south-2"), 60, "{}"},
                                        {EntryName("north-1"), 57, "[1]"},
                                        {EntryName("west-1"), 61, std::nullopt},
                                        {EntryName(""), 62, "{}"},
                                        {"config/keys", 63, "{}"}});
  BOOST_TEST((entries ==
              std::vector<EvacuationEntry>{{"north-1", 57}, {"south-2", 60}}));
}

BOOST_AUTO_TEST_CASE(EvacuationIsCompleteOnceAllAreInformedAndNoFlowIsOpen) {
  // Requests of closed flows may still be in flight.
  EvacuationReport report = ReportOf(
      {InformedBalancer("b1", {15, 15, 0, 1}), InformedBalancer("b2", kDone)});
  BOOST_TEST((report.progress == EvacuationProgress::kComplete));
  BOOST_TEST(EvacuationExitCode(report) == kExitSuccess);
  BOOST_REQUIRE(report.data_centres.size() == 1U);
  BOOST_TEST(report.data_centres[0].since_revision == kSince);
  BOOST_TEST(report.data_centres[0].counts->in_flight == 1U);
}

// A list as of a later revision has the same effect if its names are the same.
BOOST_AUTO_TEST_CASE(BalancersAreComparedByNamesAndNotByRevision) {
  EvacuationReport report =
      ReportOf({InformedBalancer("b1", kDone, VersionOf(1, 90)),
                InformedBalancer("b2", kDone)});
  BOOST_TEST(report.balancers_not_informed == 0U);
  BOOST_TEST(EvacuationExitCode(report) == kExitSuccess);
}

// Guards against an evacuation being called complete while one reachable
// balancer may still place flows there.
BOOST_AUTO_TEST_CASE(ReachableBalancerWithoutTheListIsNotInformed) {
  const std::vector<std::string> statuses{
      StatusText(VersionOf(1, 90), ""),  // an empty list
      StatusText(VersionOf(1, 90), DataCentreText("north-1", kDone) + "," +
                                       DataCentreText("south-2", kDone)),
      StatusText(0, ""),  // no list yet
      StatusText(0, DataCentreText("north-1", kDone)),
      R"({"packets": {"revision": 7}})",       // an earlier release
      R"({"members": {}})",                    // no passed-through flows
      R"({"packets": {"evacuations": [3]}})",  // unreadable
      StatusText(kSince, R"({"name": "north-1"})"),
      StatusText(kSince, R"({"name": "north-1", "agents": -1,
          "agents_informed": 0, "open_flows": 0, "in_flight": 0})"),
  };
  for (const std::string& status : statuses) {
    EvacuationReport report =
        ReportOf({InformedBalancer("b1", kDone), Answer("b2", status)});
    BOOST_TEST_CONTEXT(status) {
      BOOST_TEST(report.balancers[1].reachable);
      BOOST_TEST(!report.balancers[1].informed);
      BOOST_TEST(report.balancers_not_informed == 1U);
      BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);
    }
  }
}

BOOST_AUTO_TEST_CASE(EvacuationIsIncompleteWhileAnAgentIsNotInformed) {
  EvacuationReport report = ReportOf({InformedBalancer("b1", {15, 14, 0, 0})});
  BOOST_TEST(report.agents_not_informed == 1U);
  BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);
}

BOOST_AUTO_TEST_CASE(EvacuationIsIncompleteWhileFlowsAreOpen) {
  EvacuationReport report =
      ReportOf({InformedBalancer("b1", {15, 15, 230, 3})});
  BOOST_TEST(report.open_flows == 230U);
  BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);
}

// Bootstrap entries in the store don't expire, so a balancer that is gone for
// good must not keep an evacuation from being complete. It is still pointed
// out.
BOOST_AUTO_TEST_CASE(UnreachableBalancerIsShownButDoesNotBlock) {
  EvacuationReport report =
      ReportOf({InformedBalancer("b1", kDone), Answer("b2", std::nullopt),
                Answer("b3", "<html>")});
  BOOST_TEST(report.balancers_not_informed == 2U);
  BOOST_TEST(report.balancers_unreachable == 2U);
  BOOST_TEST(EvacuationExitCode(report) == kExitSuccess);
  std::string text = EvacuationReportText(report);
  BOOST_TEST(text.ends_with(
      "evacuation complete; 2 balancers not informed (2 unreachable)\n"));
}

// Guards against "complete" without anyone who says so.
BOOST_AUTO_TEST_CASE(ProgressIsUnknownIfNoBalancerCanBeReached) {
  BOOST_TEST(EvacuationExitCode(ReportOf({})) == kExitFailed);
  EvacuationReport report = ReportOf({Answer("b1", std::nullopt)});
  BOOST_TEST(EvacuationExitCode(report) == kExitFailed);
  BOOST_TEST(!report.data_centres[0].counts.has_value());
  // Nor is it known that a withdrawn evacuation is over.
  report = MakeEvacuationReport(
      {std::vector<EvacuationEntry>{}, {Answer("b1", std::nullopt)}});
  BOOST_TEST(EvacuationExitCode(report) == kExitFailed);
}

// The balancers named on the command line may not be all.
BOOST_AUTO_TEST_CASE(ProgressIsUnknownWithoutTheListOfBalancers) {
  EvacuationInputs inputs{.entries = {{{"north-1", kSince}}},
                          .balancers = {InformedBalancer("b1", kDone)},
                          .all_balancers_known = false};
  EvacuationReport report = MakeEvacuationReport(inputs);
  BOOST_TEST(EvacuationExitCode(report) == kExitFailed);
  BOOST_TEST(EvacuationReportText(report).ends_with(
      "evacuation unknown: the list of balancers could not be read\n"));
}

// A balancer that has just started knows few agents, and one with an older list
// counts agents as informed by that list.
BOOST_AUTO_TEST_CASE(CountsAreThoseOfTheBestInformedBalancers) {
  std::string outdated =
      StatusText(VersionOf(1, 50), DataCentreText("north-1", {20, 20, 0, 0}) +
                                       "," + DataCentreText("south-2", kDone));
  EvacuationReport report = ReportOf({InformedBalancer("b1", {2, 2, 9, 0}),
                                      InformedBalancer("b2", {15, 14, 40, 2}),
                                      InformedBalancer("b3", {15, 14, 41, 1}),
                                      InformedBalancer("b4", {15, 13, 60, 5}),
                                      Answer("b5", outdated)});
  BOOST_TEST(
      (report.data_centres[0].counts == EvacuationCounts{15, 14, 41, 1}));
}

// The withdrawal of an evacuation is followed with the same command.
BOOST_AUTO_TEST_CASE(WithdrawnEvacuationIsOverOnceNoBalancerListsIt) {
  std::string empty = StatusText(VersionOf(1, 90), "");
  EvacuationReport report = MakeEvacuationReport(
      {std::vector<EvacuationEntry>{},
       {Answer("b1", empty), InformedBalancer("b2", kDone)}});
  BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);
  BOOST_TEST(EvacuationReportText(report).ends_with(
      "no data centre is evacuated; incomplete: 1 balancer not informed (0 "
      "unreachable)\n"));
  report = MakeEvacuationReport(
      {std::vector<EvacuationEntry>{}, {Answer("b1", empty)}});
  BOOST_TEST(EvacuationExitCode(report) == kExitSuccess);
  BOOST_TEST(
      EvacuationReportText(report).ends_with("no data centre is evacuated\n"));
}

// Guards against a report that fails, or says complete, without the store.
BOOST_AUTO_TEST_CASE(BalancersAreComparedWithNewestListWithoutTheStore) {
  EvacuationReport report = MakeEvacuationReport(
      {std::nullopt,
       {InformedBalancer("b1", kDone), Answer("b2", StatusText(3, ""))}});
  BOOST_REQUIRE(report.data_centres.size() == 1U);
  BOOST_TEST(report.data_centres[0].name == "north-1");
  BOOST_TEST(report.balancers[0].informed);
  BOOST_TEST(!report.balancers[1].informed);
  BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);

  report =
      MakeEvacuationReport({std::nullopt, {InformedBalancer("b1", kDone)}});
  BOOST_TEST(EvacuationExitCode(report) == kExitFailed);
  BOOST_TEST(EvacuationReportText(report).ends_with(
      "evacuation unknown: the store could not be read\n"));

  // No balancer has a list to compare with.
  report =
      MakeEvacuationReport({std::nullopt, {Answer("b1", StatusText(0, ""))}});
  BOOST_TEST(report.balancers_not_informed == 1U);
  BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);
}

// Balancers never list such entries, so they don't make them uninformed, but
// the operator must not believe that these data centres are evacuated.
BOOST_AUTO_TEST_CASE(EntriesBeyondTheLimitsOfAListAreReported) {
  using decision::membership::kMaxDataCentreBytes;
  using decision::membership::kMaxEvacuations;
  std::vector<EvacuationEntry> entries{
      {std::string(kMaxDataCentreBytes + 1, 'a'), kSince}};
  std::string listed;
  for (size_t i = 0; i < kMaxEvacuations + 1; ++i) {
    entries.push_back({fmt::format("zone-{:02}", i), kSince});
    if (i < kMaxEvacuations) {
      listed += (listed.empty() ? "" : ",") +
                DataCentreText(entries.back().data_centre, kDone);
    }
  }
  EvacuationReport report =
      MakeEvacuationReport({entries, {Answer("b1", StatusText(90, listed))}});
  BOOST_TEST(report.balancers[0].informed);
  BOOST_TEST(!report.data_centres.front().within_limits);
  BOOST_TEST(report.data_centres[kMaxEvacuations].within_limits);
  BOOST_TEST(!report.data_centres[kMaxEvacuations + 1].within_limits);
  BOOST_TEST(EvacuationExitCode(report) == kExitDifferent);
  BOOST_TEST(EvacuationReportText(report).ends_with(
      "evacuation incomplete: 2 entries of the store ignored\n"));
}

BOOST_AUTO_TEST_CASE(TextShowsBothTablesAndTheClosingLine) {
  EvacuationReport report =
      ReportOf({InformedBalancer("b1", {15, 14, 230, 3}),
                Answer("b2", StatusText(0, "")), Answer("b3", std::nullopt)});
  BOOST_TEST(
      EvacuationReportText(report) ==
      "data centre      since revision     agents   informed open flows"
      "  in flight  note\n"
      "north-1           1000000000057         15         14        230"
      "          3\n"
      "\n"
      "balancer             data centre       list revision informed reachable"
      " evacuated in its list\n"
      "b1                   south-1           1000000000057 yes      yes      "
      " north-1\n"
      "b2                   south-1                       - no       yes\n"
      "b3                   south-1                       - no       no\n"
      "\n"
      "evacuation incomplete: 2 balancers not informed (1 unreachable), 1 agent"
      " not informed, 230 flows still open\n");
}

// A misspelt name matches no data centre and has no effect.
BOOST_AUTO_TEST_CASE(NameWithoutAgentsIsPointedOut) {
  EvacuationReport report = ReportOf({InformedBalancer("b1", {})});
  BOOST_TEST(EvacuationExitCode(report) == kExitSuccess);
  BOOST_TEST(EvacuationReportText(report).find("check the name") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(JsonContainsTheReport) {
  EvacuationReport report = ReportOf(
      {InformedBalancer("b1", {15, 14, 230, 3}), Answer("b2", std::nullopt)});
  json expected = json::parse(R"({
    "store_readable": true, "all_balancers_known": true,
    "progress": "incomplete",
    "data_centres": [
      {"name": "north-1", "since_revision": 1000000000057,
       "within_limits": true, "agents": 15, "agents_informed": 14,
       "open_flows": 230, "in_flight": 3}],
    "balancers": [
      {"name": "b1", "data_centre": "south-1", "reachable": true,
       "informed": true, "revision": 1000000000057, "evacuated": ["north-1"]},
      {"name": "b2", "data_centre": "south-1", "reachable": false,
       "informed": false, "revision": 0, "evacuated": []}],
    "balancers_not_informed": 1, "balancers_unreachable": 1,
    "agents_not_informed": 1, "open_flows": 230})");
  BOOST_TEST((json::parse(EvacuationReportJson(report)) == expected));
}

}  // namespace
}  // namespace filberthollow::operator_tool
