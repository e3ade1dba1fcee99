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

// Log fields that are not listed in the details: most have their own member in
// TimelineEntry, and up_ms and level are left out.
constexpr std::array<std::string_view, 7> kNonDetailFields{
    "time", "up_ms", "process", "level", "event", "flow", "held_back"};

bool IsNonDetailField(std::string_view name) {
  return std::find(kNonDetailFields.begin(), kNonDetailFields.end(), name) !=
         kNonDetailFields.end();
}

std::string FormatDetails(const json& line) {
  std::string details;
  for (const auto& [name, value] : line.items()) {
    if (IsNonDetailField(name) || value == "") {
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

TimelineEntry MakeTimelineEntry(const json& line, const std::string& flow) {
  return {.time_ms = line["time"].get<int64_t>(),
          .process = line["process"].get<std::string>(),
          .event = line["event"].get<std::string>(),
          .details = FormatDetails(line),
          .of_flow = line.value("flow", json()) == flow,
          .held_back = line.value("held_back", uint64_t{0})};
}

// Removes entries about the state of processes that did not log the flow, and
// entries about state outside the time of the flow plus kTimelineMarginMs.
void RemoveUnrelatedEntries(std::vector<TimelineEntry>& entries) {
  std::set<std::string> processes;
  int64_t first = INT64_MAX;
  int64_t last = INT64_MIN;
  for (const TimelineEntry& entry : entries) {
    if (entry.of_flow) {
      processes.insert(entry.process);
      first = std::min(first, entry.time_ms);
      last = std::max(last, entry.time_ms);
    }
  }
  std::erase_if(entries, [&](const TimelineEntry& entry) {
    bool near = entry.time_ms >= first - kTimelineMarginMs &&
                entry.time_ms <= last + kTimelineMarginMs;
    return !entry.of_flow && (!near || !processes.contains(entry.process));
  });
}

}  // namespace

FlowTimeline ReadFlowTimeline(std::istream& logs, const std::string& flow) {
  FlowTimeline timeline;
  for (std::string text; std::getline(logs, text);) {
    auto line = ParseLine(text);
    if (!line) {
      timeline.unreadable += text.empty() ? 0 : 1;
      continue;
    }
    TimelineEntry entry = MakeTimelineEntry(*line, flow);
    // Skips lines about other flows.
    if (entry.of_flow || !line->contains("flow")) {
      timeline.entries.push_back(std::move(entry));
    }
  }
  RemoveUnrelatedEntries(timeline.entries);
  std::stable_sort(
      timeline.entries.begin(), timeline.entries.end(),
      [](const auto& a, const auto& b) { return a.time_ms < b.time_ms; });
  return timeline;
}

std::string TimelineText(const FlowTimeline& timeline) {
  std::string text;
  int64_t start =
      timeline.entries.empty() ? 0 : timeline.entries.front().time_ms;
  for (const TimelineEntry& entry : timeline.entries) {
    fmt::format_to(std::back_inserter(text), "{:>8} ms  {} {:<18} {:<18} {}",
                   entry.time_ms - start, entry.of_flow ? "*" : " ",
                   entry.process, entry.event, entry.details);
    if (entry.held_back > 0) {
      fmt::format_to(std::back_inserter(text), " (+{} not written)",
                     entry.held_back);
    }
    text += '\n';
  }
  return text;
}

std::string TimelineJson(const FlowTimeline& timeline) {
  json entries = json::array();
  for (const TimelineEntry& entry : timeline.entries) {
    entries.push_back({{"time", entry.time_ms},
                       {"process", entry.process},
                       {"event", entry.event},
                       {"details", entry.details},
                       {"of_flow", entry.of_flow},
                       {"held_back", entry.held_back}});
  }
  return json{{"lines", entries}, {"unreadable", timeline.unreadable}}.dump();
}

}  // namespace filberthollow::operator_tool
