#include "filberthollow/settings/fields.h"

#include <fmt/format.h>

#include <charconv>
#include <vector>

namespace filberthollow::settings {
namespace {

using S = Settings;
using O = Overrides;

constexpr std::array<Field, kFieldCount> kFields{{
    {"slots", &S::slots, &O::slots, 1, 4096, "",
     "requests at the upstream at one time"},
    {"queue_length", &S::queue_length, &O::queue_length, 0, 65'536, "",
     "requests that may wait for a slot"},
    {"connections", &S::connections, &O::connections, 1, 100'000, "",
     "open flows of the target"},
    {"flows_per_caller", &S::flows_per_caller, &O::flows_per_caller, 1, 100'000,
     "", "open flows of one caller address at the target"},
    {"retry_percent", &S::retry_percent, &O::retry_percent, 0, 100, "",
     "retries allowed for each hundred first attempts"},
    {"weight", &S::weight, &O::weight, 0, 10'000, "",
     "share of new flows relative to other targets; 0 takes none"},
    {"idle_flow_s", &S::idle_flow_s, &O::idle_flow_s, 1, 604'800, "",
     "seconds after which a flow without traffic ends"},
    {"stop_ms", &S::stop_ms, &O::stop_ms, 0, 600'000, "",
     "milliseconds that a planned stop waits for work in progress"},
    {"placement", &S::placement, &O::placement, 0, 1, "stable,balanced",
     "stable moves fewest flows; balanced evens out the load"},
    {"trust_shed", &S::trust_shed, &O::trust_shed, 0, 1, "no,yes",
     "whether a 503 of the upstream means that the request did not run"},
}};

std::vector<std::string_view> Split(std::string_view list) {
  std::vector<std::string_view> names;
  while (!list.empty()) {
    size_t comma = std::min(list.find(','), list.size());
    names.push_back(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return names;
}

}  // namespace

const std::array<Field, kFieldCount>& Fields() {
  return kFields;
}

const Field* FindField(std::string_view name) {
  for (const Field& field : kFields) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

std::string ValueText(const Field& field, uint32_t value) {
  std::vector<std::string_view> names = Split(field.choices);
  return value < names.size() ? std::string(names[value])
                              : std::to_string(value);
}

std::optional<uint32_t> ParseValue(const Field& field, std::string_view text) {
  std::vector<std::string_view> names = Split(field.choices);
  for (uint32_t i = 0; i < names.size(); ++i) {
    if (names[i] == text) {
      return i;
    }
  }
  if (!names.empty()) {
    return std::nullopt;
  }
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stop != end || value < field.min ||
      value > field.max) {
    return std::nullopt;
  }
  return value;
}

std::string ExpectedText(const Field& field) {
  if (field.choices.empty()) {
    return fmt::format("{} to {}", field.min, field.max);
  }
  std::string text;
  for (std::string_view name : Split(field.choices)) {
    text += fmt::format("{}\"{}\"", text.empty() ? "" : " or ", name);
  }
  return text;
}

}  // namespace filberthollow::settings
