#include "filberthollow/operator/flow_story.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace filberthollow::operator_tool {
namespace {

constexpr const char* kFlow = "100.64.0.7:40001>198.18.0.1:443";

// Log lines of three processes, out of order; one has a log collector's prefix
// and one is not a log line.
constexpr const char* kLogs = R"(
 8.30 entry-1 {"time":1100,"up_ms":9,"process":"entry-1","level":"warning","event":"flow_reset","flow":"100.64.0.7:40001>198.18.0.1:443","reason":"flow_lost","revision":7}
{"time":1000,"up_ms":9,"process":"entry-1","level":"info","event":"flow_offered","flow":"100.64.0.7:40001>198.18.0.1:443","agent":"10.0.0.2:7720","tries":1}
{"time":1004,"up_ms":9,"process":"side-2","level":"info","event":"flow_taken","flow":"100.64.0.7:40001>198.18.0.1:443","reason":"","busy":3}
{"time":1050,"up_ms":9,"process":"entry-1","level":"warning","event":"agent_silent","agent":"10.0.0.2:7720","held_back":2}
{"time":1051,"up_ms":9,"process":"entry-9","level":"warning","event":"agent_silent","agent":"10.0.0.2:7720"}
{"time":90000,"up_ms":9,"process":"entry-1","level":"info","event":"ready"}
{"time":1001,"up_ms":9,"process":"entry-1","level":"info","event":"flow_offered","flow":"1.1.1.1:1>198.18.0.1:443"}
not a log line {
)";

FlowTimeline RecordedTimeline() {
  std::istringstream logs(kLogs);
  return ReadFlowTimeline(logs, kFlow);
}

BOOST_AUTO_TEST_CASE(EntriesAreOrderedAndIncludeProcessState) {
  FlowTimeline timeline = RecordedTimeline();
  BOOST_REQUIRE(timeline.entries.size() == 4U);
  BOOST_TEST(timeline.entries[0].event == "flow_offered");
  BOOST_TEST(timeline.entries[0].details == "agent=10.0.0.2:7720 tries=1");
  BOOST_TEST(timeline.entries[1].process == "side-2");
  BOOST_TEST(timeline.entries[1].details == "busy=3");
  BOOST_TEST(timeline.entries[2].event == "agent_silent");
  BOOST_TEST(!timeline.entries[2].of_flow);
  BOOST_TEST(timeline.entries[2].held_back == 2U);
  BOOST_TEST(timeline.entries[3].event == "flow_reset");
  BOOST_TEST(timeline.unreadable == 1U);
}

BOOST_AUTO_TEST_CASE(TextAndJsonContainTheSameEntries) {
  FlowTimeline timeline = RecordedTimeline();
  std::string text = TimelineText(timeline);
  BOOST_TEST(text.find("flow_lost") != text.npos);
  BOOST_TEST(text.find("(+2 not written)") != text.npos);
  BOOST_TEST(TimelineJson(timeline).find("flow_lost") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnknownFlowHasEmptyTimeline) {
  std::istringstream logs(kLogs);
  BOOST_TEST(
      ReadFlowTimeline(logs, "9.9.9.9:9>198.18.0.1:443").entries.empty());
}

}  // namespace
}  // namespace filberthollow::operator_tool
