// The timeline of one flow, told from the log entries of many processes.
//
//   FlowTimeline timeline = ReadFlowTimeline(std::cin,
//   "100.64.0.7:40001>198.18.0.1:443"); fmt::print("{}",
//   TimelineText(timeline));
#ifndef FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_
#define FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace filberthollow::operator_tool {

// TimelineEntry is one log line that bears on the flow.
struct TimelineEntry {
  int64_t time_ms = 0;  // calendar time at the process that wrote it
  std::string process;
  std::string event;
  std::string details;     // the other fields, as "name=value"
  bool of_flow = false;    // names the flow; others tell what was believed
  uint64_t held_back = 0;  // entries of this event that were not written
  friend bool operator==(const TimelineEntry&, const TimelineEntry&) = default;
};

// FlowTimeline is ordered by time.
struct FlowTimeline {
  std::vector<TimelineEntry> entries;
  size_t unreadable = 0;  // entries that are no JSON object
  friend bool operator==(const FlowTimeline&, const FlowTimeline&) = default;
};

// kTimelineMarginMs is how long before the first and after the last line of a
// flow the beliefs of its processes are told.
inline constexpr int64_t kTimelineMarginMs = 3000;

// ReadFlowTimeline reads log entries of any number of processes in any order.
// Text in front of the JSON object, such as a collector's host name, is passed
// over.
FlowTimeline ReadFlowTimeline(std::istream& logs, const std::string& flow);
// TimelineText returns the timeline for a person, a line each.
std::string TimelineText(const FlowTimeline& timeline);
// TimelineJson returns it for programs.
std::string TimelineJson(const FlowTimeline& timeline);

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_
