#include "filberthollow/lab/pattern.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "filberthollow/settings/json_reader.h"
#include "filberthollow/settings/process_file.h"

namespace filberthollow::lab {
namespace {

using nlohmann::json;
using settings::ObjectReader;

// NumberField is a row of a table: a number of a pattern or of a part of one,
// and the values that it may have.
template <class Owner>
struct NumberField {
  std::string_view name;
  uint32_t Owner::*member;
  uint32_t min;
  uint32_t max;
};

constexpr std::array<NumberField<Pattern>, 10> kPatternFields{{
    {"seconds", &Pattern::seconds, 1, 3600},
    {"balancers", &Pattern::balancers, 1, 1000},
    {"upstreams", &Pattern::upstreams, 1, 5300},
    {"data_centres", &Pattern::data_centres, 1, 8},
    {"slots", &Pattern::slots, 1, 1000},
    {"upstream_queue", &Pattern::upstream_queue, 0, 10'000},
    {"cold_ms", &Pattern::cold_ms, 0, 60'000},
    {"cold_percent", &Pattern::cold_percent, 100, 1000},
    {"delay_ms", &Pattern::delay_ms, 0, 500},
    {"loss_per_mille", &Pattern::loss_per_mille, 0, 500},
}};
constexpr std::array<NumberField<RequestKind>, 14> kKindFields{{
    {"per_second", &RequestKind::per_second, 0, 200'000},
    {"work_ms", &RequestKind::work_ms, 1, 60'000},
    {"spread_percent", &RequestKind::spread_percent, 0, 300},
    {"goal_ms", &RequestKind::goal_ms, 1, 60'000},
    {"deadline_ms", &RequestKind::deadline_ms, 1, 120'000},
    {"timeout_ms", &RequestKind::timeout_ms, 0, 120'000},
    {"worth", &RequestKind::worth, 0, 10'000},
    {"late_worth", &RequestKind::late_worth, 0, 10'000},
    {"priority", &RequestKind::priority, 0, 100},
    {"retries", &RequestKind::retries, 0, 10},
    {"sessions", &RequestKind::sessions, 1, 1'000'000},
    {"requests_per_flow", &RequestKind::requests_per_flow, 0, 1'000'000},
    {"tail_per_mille", &RequestKind::tail_per_mille, 0, 1000},
    {"tail_factor", &RequestKind::tail_factor, 1, 100},
}};
constexpr std::array<NumberField<UpstreamSpeed>, 1> kSpeedFields{{
    {"percent", &UpstreamSpeed::percent, 1, 1000},
}};
constexpr std::array<NumberField<PatternEvent>, 5> kEventFields{{
    {"at_ms", &PatternEvent::at_ms, 0, 3'600'000},
    {"for_ms", &PatternEvent::for_ms, 0, 3'600'000},
    {"percent", &PatternEvent::percent, 0, 10'000},
    {"upstreams", &PatternEvent::upstreams, 1, 5300},
    {"outage_ms", &PatternEvent::outage_ms, 0, 60'000},
}};

constexpr std::array<std::pair<std::string_view, EventKind>, 9> kEventKinds{{
    {"burst", EventKind::kBurst},
    {"crash", EventKind::kCrash},
    {"slow", EventKind::kSlow},
    {"grey", EventKind::kGrey},
    {"lying_load", EventKind::kLyingLoad},
    {"release", EventKind::kRelease},
    {"restart_all", EventKind::kRestartAll},
    {"restart_balancers", EventKind::kRestartBalancers},
    {"lose_data_centre", EventKind::kLoseDataCentre},
}};

template <class Owner, size_t kSize>
void ReadNumbers(ObjectReader& reader,
                 const std::array<NumberField<Owner>, kSize>& fields,
                 Owner& owner) {
  for (const NumberField<Owner>& field : fields) {
    owner.*field.member =
        reader.Number(field.name, field.min, field.max, owner.*field.member);
  }
}

bool ReadFlag(ObjectReader& reader, std::string_view name, bool fallback) {
  const json* value = reader.Raw(name);
  if (value != nullptr && !value->is_boolean()) {
    reader.Fail(name, value->dump(), "true or false");
    return fallback;
  }
  return value == nullptr ? fallback : value->get<bool>();
}

void ReadKind(ObjectReader& reader, RequestKind& kind) {
  kind.name = reader.Text("name");
  ReadNumbers(reader, kKindFields, kind);
  kind.idempotent = ReadFlag(reader, "idempotent", kind.idempotent);
  kind.long_flows = ReadFlag(reader, "long_flows", kind.long_flows);
}

void ReadSpeed(ObjectReader& reader, UpstreamSpeed& speed) {
  ReadNumbers(reader, kSpeedFields, speed);
}

void ReadEvent(ObjectReader& reader, PatternEvent& event) {
  std::string name = reader.Text("event");
  bool known = false;
  for (const auto& [text, kind] : kEventKinds) {
    if (text == name) {
      event.event = kind;
      known = true;
    }
  }
  if (!known) {
    reader.Fail("event", name, "the name of an event, such as \"burst\"");
  }
  ReadNumbers(reader, kEventFields, event);
  event.kind = reader.OptionalText("kind", "");
}

// Reads a list of objects into `items`. Returns the first error.
template <class Item>
std::optional<base::Error> ReadList(ObjectReader& parent,
                                    std::string_view name,
                                    void (*read)(ObjectReader&, Item&),
                                    std::vector<Item>& items) {
  const json* list = parent.Raw(name);
  if (list == nullptr) {
    return std::nullopt;
  }
  if (!list->is_array()) {
    parent.Fail(name, list->dump(), "a list of objects");
    return std::nullopt;
  }
  for (const json& object : *list) {
    ObjectReader reader(object, parent.path() + "." + std::string(name) + "[" +
                                    std::to_string(items.size()) + "]");
    read(reader, items.emplace_back());
    if (auto error = reader.Finish()) {
      return error;
    }
  }
  return std::nullopt;
}

}  // namespace

base::Result<Pattern> ParsePattern(std::string_view text,
                                   std::string_view source) {
  auto object = settings::ParseJson(text, source);
  if (!object) {
    return object.error();
  }
  ObjectReader reader(*object, std::string(source));
  Pattern pattern;
  pattern.name = reader.Text("name");
  pattern.answers = reader.Text("answers");
  ReadNumbers(reader, kPatternFields, pattern);
  if (auto error = ReadList(reader, "speeds", &ReadSpeed, pattern.speeds)) {
    return *error;
  }
  if (auto error = ReadList(reader, "kinds", &ReadKind, pattern.kinds)) {
    return *error;
  }
  if (auto error = ReadList(reader, "events", &ReadEvent, pattern.events)) {
    return *error;
  }
  if (pattern.kinds.empty()) {
    reader.Fail("kinds", "none", "at least one kind of request");
  }
  if (auto error = reader.Finish()) {
    return *error;
  }
  return pattern;
}

base::Result<Pattern> ReadPattern(const std::string& path) {
  auto text = settings::ReadFile(path);
  if (!text) {
    return text.error();
  }
  return ParsePattern(*text, path);
}

Pattern Scaled(Pattern pattern, uint32_t balancers, uint32_t upstreams) {
  for (RequestKind& kind : pattern.kinds) {
    kind.per_second = static_cast<uint32_t>(uint64_t{kind.per_second} *
                                            upstreams / pattern.upstreams);
    kind.sessions =
        std::max(1U, static_cast<uint32_t>(uint64_t{kind.sessions} * upstreams /
                                           pattern.upstreams));
  }
  pattern.balancers = balancers;
  pattern.upstreams = upstreams;
  return pattern;
}

}  // namespace filberthollow::lab
