// The story of one flow, told from the log lines of many processes.
//
//   FlowStory story = ReadStory(std::cin, "100.64.0.7:40001>198.18.0.1:443");
//   fmt::print("{}", StoryText(story));
#ifndef FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_
#define FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace filberthollow::operator_tool {

// StoryLine is one log line that bears on the flow.
struct StoryLine {
  int64_t time_ms = 0;  // calendar time at the process that wrote it
  std::string process;
  std::string event;
  std::string details;     // the other fields, as "name=value"
  bool of_flow = false;    // names the flow; others tell what was believed
  uint64_t held_back = 0;  // lines of this event that were not written
  friend bool operator==(const StoryLine&, const StoryLine&) = default;
};

// FlowStory is ordered by time.
struct FlowStory {
  std::vector<StoryLine> lines;
  size_t unreadable = 0;  // lines that are no JSON object
  friend bool operator==(const FlowStory&, const FlowStory&) = default;
};

// kStoryMargin is how long before the first and after the last line of a flow
// the beliefs of its processes are told.
inline constexpr int64_t kStoryMarginMs = 3000;

// ReadStory reads log lines of any number of processes in any order. Text in
// front of the JSON object, such as a collector's host name, is passed over.
FlowStory ReadStory(std::istream& logs, const std::string& flow);
// StoryText returns the story for a person, a line each.
std::string StoryText(const FlowStory& story);
// StoryJson returns it for programs.
std::string StoryJson(const FlowStory& story);

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_FLOW_STORY_H_
