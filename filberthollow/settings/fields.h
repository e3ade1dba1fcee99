// The settings that nodes of the tree may hold, in one table.
//
// `Settings` is the resolved set for one target; `Overrides` is what one node
// states itself. Both have a member for each field, and the table ties the
// members to the field's name, range and description, so that reading,
// checking, merging and showing need no code of their own per field.
//
//   for (const Field& field : Fields()) {
//     fmt::print("{} = {}\n", field.name, settings.*field.value);
//   }
#ifndef FILBERTHOLLOW_SETTINGS_FIELDS_H_
#define FILBERTHOLLOW_SETTINGS_FIELDS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filberthollow::settings {

// Settings of one target. The initial values are the defaults.
struct Settings {
  uint32_t slots = 4;
  uint32_t queue_length = 64;
  uint32_t connections = 2000;
  uint32_t flows_per_caller = 2000;
  uint32_t retry_percent = 10;
  uint32_t weight = 100;
  uint32_t idle_flow_s = 86'400;
  uint32_t stop_ms = 30'000;
  uint32_t placement = 0;
  uint32_t trust_shed = 0;
  friend auto operator<=>(const Settings&, const Settings&) = default;
};

// Overrides holds what a node states; an empty member is inherited.
struct Overrides {
  std::optional<uint32_t> slots;
  std::optional<uint32_t> queue_length;
  std::optional<uint32_t> connections;
  std::optional<uint32_t> flows_per_caller;
  std::optional<uint32_t> retry_percent;
  std::optional<uint32_t> weight;
  std::optional<uint32_t> idle_flow_s;
  std::optional<uint32_t> stop_ms;
  std::optional<uint32_t> placement;
  std::optional<uint32_t> trust_shed;
  friend auto operator<=>(const Overrides&, const Overrides&) = default;
};

// Field describes one setting.
struct Field {
  std::string_view name;
  uint32_t Settings::*value;
  std::optional<uint32_t> Overrides::*override_value;
  uint32_t min;
  uint32_t max;
  std::string_view choices;  // comma-separated names of 0, 1, ...; or empty
  std::string_view description;
};

inline constexpr size_t kFieldCount = 10;

// Fields returns the table, in the order in which settings are shown.
const std::array<Field, kFieldCount>& Fields();
// FindField returns the field of that name, or null.
const Field* FindField(std::string_view name);
// ValueText returns a value as a person writes it, by its choice's name where
// the field has choices.
std::string ValueText(const Field& field, uint32_t value);
// ParseValue reads what ValueText() writes; nothing if it is not allowed.
std::optional<uint32_t> ParseValue(const Field& field, std::string_view text);
// ExpectedText describes the allowed values, such as "1 to 4096".
std::string ExpectedText(const Field& field);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_FIELDS_H_
