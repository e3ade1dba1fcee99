// The table of all settings that the nodes of the settings tree can have.
//
// `Settings` holds the resolved values for one target, `Overrides` the values
// that one node sets itself. Both have one member per field. The table maps
// each field to its members, name, range and description, so parsing,
// validation, merging and printing need no code per field.
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

// The settings of one target. The initial values are the defaults. For meaning
// and units, see the descriptions in fields.cc.
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

// The values that one node sets. Members without a value are inherited from the
// parent node.
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

// One entry of the table of settings.
struct Field {
  std::string_view name;
  uint32_t Settings::*value;
  std::optional<uint32_t> Overrides::*override_value;
  uint32_t min;
  uint32_t max;
  // For a field with named values: the comma-separated names of the values 0, 1
  // and so on. Empty for a number.
  std::string_view choices;
  std::string_view description;
};

inline constexpr size_t kFieldCount = 10;

// Returns the table, in the order in which settings are printed.
const std::array<Field, kFieldCount>& Fields();
// Returns the field called `name`, or null if there is none.
const Field* FindField(std::string_view name);
// Returns the text form of a value: its name if the field has named values,
// else the decimal number.
std::string ValueText(const Field& field, uint32_t value);
// Parses the text form of a value. Returns nullopt if `text` is malformed or
// the value is not allowed for the field.
std::optional<uint32_t> ParseValue(const Field& field, std::string_view text);
// Describes the allowed values for error messages and help, such as "1 to
// 4096".
std::string ExpectedText(const Field& field);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_FIELDS_H_
