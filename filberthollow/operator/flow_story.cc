#include "filberthollow/operator/flow_story.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>

namespace filberthollow::operator_tool {
namespace {

using nlohmann::json;

// Fields that have a place of their own in a story.
constexpr std::array<std::string_view, 7> kOwnPlace{
    "time", "up_ms", "process", "level", "event", "flow", "held_back"};

bool HasOwnPlace(std::string_view name) {
  return std::find(kOwnPlace.begin(), kOwnPlace.end(), name) != kOwnPlace.end();
}

std::string DetailsOf(const json& line) {
  std::string details;
  for (const auto& [name, value] : line.items()) {
    if (HasOwnPlace(name) || value == "") {
      continue;
    }
    details += fmt::format(
        "{}{}={}", details.empty() ? "" : " ", name,
        value.is_string() ? value.get<std::string>() : value.dump());
  }
  return details;
}

std::optional<json> ParseLine(const std::string& text) {
  size_t start = text.find('{');
  if (start == text.npos) {
    return std::nullopt;
  }
  json line = json::parse(text.begin() + static_cast<ptrdiff_t>(start),
                          text.end(), nullptr, false);
  bool usable = line.is_object() && line.contains("event") &&
                line["event"].is_string() && line.contains("time") &&
                line["time"].is_number() && line.contains("process") &&
                line["process"].is_string();
  return usable ? std::optional<json>(std::move(line)) : std::nullopt;
}

StoryLine StoryLineOf(const json& line, const std::string& flow) {
  return {.time_ms = line["time"].get<int64_t>(),
          .process = line["process"].get<std::string>(),
          .event = line["event"].get<std::string>(),
          .details = DetailsOf(line),
          .of_flow = line.value("flow", json()) == flow,
          .held_back = line.value("held_back", uint64_t{0})};
}

// Drops the beliefs of processes that had no part in the flow, and those from
// other times.
void KeepWhatBears(std::vector<StoryLine>& lines) {
  std::set<std::string> processes;
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  for (const StoryLine& line : lines) {
    if (line.of_flow) {
      processes.insert(line.process);
      first = std::min(first, line.time_ms);
      last = std::max(last, line.time_ms);
    }
  }
  std::erase_if(lines, [&](const StoryLine& line) {
    bool near = line.time_ms >= first - kStoryMarginMs &&
                line.time_ms <= last + kStoryMarginMs;
    return !line.of_flow && (!near || !processes.contains(line.process));
  });
}

}  // namespace

FlowStory ReadStory(std::istream& logs, const std::string& flow) {
  FlowStory story;
  for (std::string text; std::getline(logs, text);) {
    auto line = ParseLine(text);
    if (!line) {
      story.unreadable += text.empty() ? 0 : 1;
      continue;
    }
    StoryLine read = StoryLineOf(*line, flow);
    // Lines about other flows tell nothing of this one.
    if (read.of_flow || !line->contains("flow")) {
      story.lines.push_back(std::move(read));
    }
  }
  KeepWhatBears(story.lines);
  std::stable_sort(
      story.lines.begin(), story.lines.end(),
      [](const auto& a, const auto& b) { return a.time_ms < b.time_ms; });
  return story;
}

std::string StoryText(const FlowStory& story) {
  std::string text;
  int64_t start = story.lines.empty() ? 0 : story.lines.front().time_ms;
  for (const StoryLine& line : story.lines) {
    fmt::format_to(std::back_inserter(text), "{:>8} ms  {} {:<18} {:<18} {}",
                   line.time_ms - start, line.of_flow ? "*" : " ", line.process,
                   line.event, line.details);
    if (line.held_back > 0) {
      fmt::format_to(std::back_inserter(text), " (+{} not written)",
                     line.held_back);
    }
    text += '\n';
  }
  return text;
}

std::string StoryJson(const FlowStory& story) {
  json lines = json::array();
  for (const StoryLine& line : story.lines) {
    lines.push_back({{"time", line.time_ms},
                     {"process", line.process},
                     {"event", line.event},
                     {"details", line.details},
                     {"of_flow", line.of_flow},
                     {"held_back", line.held_back}});
  }
  return json{{"lines", lines}, {"unreadable", story.unreadable}}.dump();
}

}  // namespace filberthollow::operator_tool
