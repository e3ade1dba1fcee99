// Reconstructs the timeline of one flow from the logs of many processes.
//
//   FlowTimeline timeline =
//       ReadFlowTimeline(std::cin, "100.64.0.7:40001>198.18.0.1:443");
//   fmt::print("{}", TimelineText(timeline));
#ifndef FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_
#define FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace filberthollow::operator_tool {

// TimelineEntry is one log line that is relevant to the flow: either a line
// about the flow itself, or a line about the state of a process that handled
// the flow.
struct TimelineEntry {
  int64_t time_ms = 0;  // wall-clock time at the process that wrote the line
  std::string process;
  std::string event;
  std::string details;     // the remaining fields, as "name=value"
  bool of_flow = false;    // the line names the flow
  uint64_t held_back = 0;  // lines of this event that the log suppressed
  friend bool operator==(const TimelineEntry&, const TimelineEntry&) = default;
};

// FlowTimeline holds the entries ordered by time. Clocks of different hosts are
// not corrected for skew.
struct FlowTimeline {
  std::vector<TimelineEntry> entries;
  // Non-empty input lines without a JSON object that has the fields event,
  // time and process.
  size_t unreadable = 0;
  friend bool operator==(const FlowTimeline&, const FlowTimeline&) = default;
};

// Lines about the state of a process are included from this long before the
// first line about the flow until this long after the last one.
inline constexpr int64_t kTimelineMarginMs = 3000;

// ReadFlowTimeline reads log lines of any number of processes in any order.
// Text before the JSON object of a line, such as a host name added by a log
// collector, is ignored.
FlowTimeline ReadFlowTimeline(std::istream& logs, const std::string& flow);
// TimelineText formats the timeline as text with one line per entry. Entries
// about the flow itself are marked with `*`.
std::string TimelineText(const FlowTimeline& timeline);
// TimelineJson formats the timeline as one JSON object.
std::string TimelineJson(const FlowTimeline& timeline);

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_
