#include "filberthollow/operator/evacuation_command.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "filberthollow/decision/membership/evacuations.h"
#include "filberthollow/operator/commands.h"

namespace filberthollow::operator_tool {
namespace {

using decision::membership::kMaxDataCentreBytes;
using decision::membership::kMaxEvacuations;
using nlohmann::json;
using DataCentre = EvacuationReport::DataCentre;
using Names = std::set<std::string>;

// Member of the page /status that describes the packets of passed-through
// flows.
constexpr const char* kPacketsMember = "packets";

// One figure of EvacuationCounts: its name in JSON and its column.
struct CountField {
  const char* name;
  const char* heading;
  uint64_t EvacuationCounts::*value;
};
constexpr std::array<CountField, 4> kCountFields{{
    {"agents", "agents", &EvacuationCounts::agents},
    {"agents_informed", "informed", &EvacuationCounts::agents_informed},
    {"open_flows", "open flows", &EvacuationCounts::open_flows},
    {"in_flight", "in flight", &EvacuationCounts::in_flight},
}};

constexpr std::array<const char*, 3> kProgressNames{"complete", "incomplete",
                                                    "unknown"};

// Returns the number in a field; throws json::exception if there is none.
uint64_t NumberIn(const json& object, const char* field) {
  const json& value = object.at(field);
  // get<uint64_t>() would convert negative numbers and fractions.
  return value.get_ref<const json::number_unsigned_t&>();
}

BalancerAnswer::DataCentre ParseDataCentre(const json& in) {
  BalancerAnswer::DataCentre out{.name = in.at("name").get<std::string>()};
  for (const CountField& field : kCountFields) {
    out.counts.*field.value = NumberIn(in, field.name);
  }
  return out;
}

Names NamesIn(const BalancerAnswer& balancer) {
  Names names;
  for (const auto& data_centre : balancer.evacuated) {
    names.insert(data_centre.name);
  }
  return names;
}

// Returns the data centres of the store's entries, without counts. As in the
// balancers, names that are too long are ignored, and so are those beyond the
// first kMaxEvacuations in sorted order.
std::vector<DataCentre> FromEntries(
    const std::vector<EvacuationEntry>& entries) {
  std::vector<DataCentre> data_centres;
  size_t count = 0;
  for (const EvacuationEntry& entry : entries) {
    bool within_limits = entry.data_centre.size() <= kMaxDataCentreBytes &&
                         count < kMaxEvacuations;
    count += within_limits ? 1 : 0;
    data_centres.push_back({.name = entry.data_centre,
                            .since_revision = entry.revision,
                            .within_limits = within_limits});
  }
  return data_centres;
}

// Returns the balancer that has the newest list, or null if none has a list.
const BalancerAnswer* BalancerWithNewestList(
    const std::vector<BalancerAnswer>& balancers) {
  auto newest = std::max_element(
      balancers.begin(), balancers.end(),
      [](const auto& a, const auto& b) { return a.revision < b.revision; });
  bool has_list = newest != balancers.end() && newest->revision > 0;
  return has_list ? &*newest : nullptr;
}

// Returns the names that an informed balancer has in its list, or nullopt if
// they can't be known.
std::optional<Names> NamesToExpect(const EvacuationInputs& inputs,
                                   const std::vector<DataCentre>& stored) {
  if (inputs.entries) {
    Names names;
    for (const DataCentre& data_centre : stored) {
      if (data_centre.within_limits) {
        names.insert(data_centre.name);
      }
    }
    return names;
  }
  const BalancerAnswer* newest = BalancerWithNewestList(inputs.balancers);
  return newest != nullptr ? std::optional(NamesIn(*newest)) : std::nullopt;
}

// Returns the counts of a data centre as the best informed balancers say. These
// have the expected list and know the most agents and, among them, the most
// informed ones. If they differ in the flows, the higher numbers count, so that
// an evacuation is not called complete too early.
std::optional<EvacuationCounts> BestCounts(
    const EvacuationInputs& inputs,
    const std::vector<EvacuationReport::Balancer>& balancers,
    const std::string& name) {
  std::optional<std::pair<bool, EvacuationCounts>> best;
  for (size_t i = 0; i < balancers.size(); ++i) {
    for (const auto& data_centre : inputs.balancers[i].evacuated) {
      if (data_centre.name == name) {
        best = std::max(best, std::optional(std::pair(balancers[i].informed,
                                                      data_centre.counts)));
      }
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

EvacuationProgress ProgressOf(const EvacuationReport& report) {
  bool entry_ignored = std::any_of(
      report.data_centres.begin(), report.data_centres.end(),
      [](const DataCentre& data_centre) { return !data_centre.within_limits; });
  if (report.balancers_not_informed > report.balancers_unreachable ||
      report.agents_not_informed > 0 || report.open_flows > 0 ||
      entry_ignored) {
    return EvacuationProgress::kIncomplete;
  }
  bool nothing_to_do = report.data_centres.empty() && report.balancers.empty();
  bool none_reached = report.balancers_unreachable == report.balancers.size();
  if (!report.store_readable || !report.all_balancers_known ||
      (none_reached && !nothing_to_do)) {
    return EvacuationProgress::kUnknown;
  }
  return EvacuationProgress::kComplete;
}

std::string_view NoteOn(const DataCentre& data_centre) {
  if (!data_centre.within_limits) {
    return "ignored: too long a name, or too many entries";
  }
  bool without_agents = data_centre.counts && data_centre.counts->agents == 0;
  return without_agents ? "no agent known there; check the name" : "";
}

std::string YesOrNo(bool value) {
  return value ? "yes" : "no";
}

std::string RevisionText(uint64_t revision) {
  return revision == 0 ? "-" : std::to_string(revision);
}

// Ends a line of a table, without spaces at its end if the column is empty.
void AddLastColumn(std::string& text,
                   std::string_view separator,
                   std::string_view value) {
  if (!value.empty()) {
    text.append(separator).append(value);
  }
  text.erase(text.find_last_not_of(' ') + 1);
  text += "\n";
}

std::string Counted(uint64_t count, std::string_view noun) {
  return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}

// Returns what is missing, for the closing line.
std::string MissingText(const EvacuationReport& report) {
  std::vector<std::string> missing;
  if (report.balancers_not_informed > 0) {
    missing.push_back(
        fmt::format("{} not informed ({} unreachable)",
                    Counted(report.balancers_not_informed, "balancer"),
                    report.balancers_unreachable));
  }
  if (report.agents_not_informed > 0) {
    missing.push_back(Counted(report.agents_not_informed, "agent") +
                      " not informed");
  }
  if (report.open_flows > 0) {
    missing.push_back(Counted(report.open_flows, "flow") + " still open");
  }
  auto ignored = std::count_if(
      report.data_centres.begin(), report.data_centres.end(),
      [](const DataCentre& data_centre) { return !data_centre.within_limits; });
  if (ignored > 0) {
    missing.push_back(fmt::format("{} {} of the store ignored", ignored,
                                  ignored == 1 ? "entry" : "entries"));
  }
  return fmt::format("{}", fmt::join(missing, ", "));
}

std::string ClosingLine(const EvacuationReport& report) {
  std::string missing = MissingText(report);
  if (report.progress == EvacuationProgress::kIncomplete) {
    return (report.data_centres.empty()
                ? "no data centre is evacuated; incomplete: "
                : "evacuation incomplete: ") +
           missing;
  }
  if (report.progress == EvacuationProgress::kUnknown) {
    std::string_view cause = "no balancer could be reached";
    if (!report.store_readable) {
      cause = "the store could not be read";
    } else if (!report.all_balancers_known) {
      cause = "the list of balancers could not be read";
    }
    return fmt::format("evacuation unknown: {}{}{}", cause,
                       missing.empty() ? "" : "; ", missing);
  }
  return fmt::format("{}{}{}",
                     report.data_centres.empty() ? "no data centre is evacuated"
                                                 : "evacuation complete",
                     missing.empty() ? "" : "; ", missing);
}

}  // namespace

std::vector<EvacuationEntry> ReadEvacuationEntries(
    const std::vector<platform::StoredObject>& objects) {
  const std::string_view prefix = platform::kEvacuationPrefix;
  std::map<std::string, uint64_t> revisions;
  for (const platform::StoredObject& object : objects) {
    if (object.value && object.name.starts_with(prefix) &&
        object.name.size() > prefix.size()) {
      revisions[object.name.substr(prefix.size())] = object.version;
    }
  }
  std::vector<EvacuationEntry> entries;
  entries.reserve(revisions.size());
  for (const auto& [name, revision] : revisions) {
    entries.push_back({name, revision});
  }
  return entries;
}

BalancerAnswer MakeBalancerAnswer(
    std::string name,
    std::string data_centre,
    const std::optional<std::string>& status_text) {
  BalancerAnswer answer{.name = std::move(name),
                        .data_centre = std::move(data_centre)};
  json status = json::parse(status_text.value_or(""), nullptr, false);
  answer.reachable = status.is_object();
  if (!answer.reachable) {
    return answer;
  }
  try {
    const json& evacuations = status.at(kPacketsMember).at("evacuations");
    std::vector<BalancerAnswer::DataCentre> evacuated;
    for (const json& item : evacuations.at("data_centres")) {
      evacuated.push_back(ParseDataCentre(item));
    }
    answer.revision = NumberIn(evacuations, "revision");
    answer.evacuated = std::move(evacuated);
  } catch (const json::exception&) {
    // Absent or unreadable: the balancer knows no list.
  }
  return answer;
}

EvacuationReport MakeEvacuationReport(const EvacuationInputs& inputs) {
  EvacuationReport report{.store_readable = inputs.entries.has_value(),
                          .all_balancers_known = inputs.all_balancers_known};
  if (inputs.entries) {
    report.data_centres = FromEntries(*inputs.entries);
  }
  std::optional<Names> expected = NamesToExpect(inputs, report.data_centres);
  if (!inputs.entries && expected) {
    for (const std::string& name : *expected) {
      report.data_centres.push_back({.name = name});
    }
  }
  for (const BalancerAnswer& answer : inputs.balancers) {
    Names names = NamesIn(answer);
    bool informed = answer.reachable && answer.revision > 0 && expected &&
                    names == *expected;
    report.balancers_not_informed += informed ? 0 : 1;
    report.balancers_unreachable += answer.reachable ? 0 : 1;
    report.balancers.push_back({.name = answer.name,
                                .data_centre = answer.data_centre,
                                .reachable = answer.reachable,
                                .informed = informed,
                                .revision = answer.revision,
                                .evacuated = std::move(names)});
  }
  for (DataCentre& data_centre : report.data_centres) {
    data_centre.counts = BestCounts(inputs, report.balancers, data_centre.name);
    if (const auto& counts = data_centre.counts) {
      report.agents_not_informed +=
          counts->agents - std::min(counts->agents, counts->agents_informed);
      report.open_flows += counts->open_flows;
    }
  }
  report.progress = ProgressOf(report);
  return report;
}

int EvacuationExitCode(const EvacuationReport& report) {
  static constexpr std::array<int, 3> kExitCodes{kExitSuccess, kExitDifferent,
                                                 kExitFailed};
  return kExitCodes.at(static_cast<size_t>(report.progress));
}

std::string EvacuationReportText(const EvacuationReport& report) {
  std::string text;
  if (!report.store_readable) {
    text +=
        "the store could not be read; balancers are compared with the newest "
        "list of a balancer\n\n";
  }
  text += fmt::format("{:<16} {:>14}", "data centre", "since revision");
  for (const CountField& field : kCountFields) {
    text += fmt::format(" {:>10}", field.heading);
  }
  text += "  note\n";
  for (const DataCentre& data_centre : report.data_centres) {
    text += fmt::format("{:<16} {:>14}", data_centre.name,
                        RevisionText(data_centre.since_revision));
    for (const CountField& field : kCountFields) {
      text += fmt::format(
          " {:>10}", data_centre.counts
                         ? std::to_string((*data_centre.counts).*field.value)
                         : "-");
    }
    AddLastColumn(text, "  ", NoteOn(data_centre));
  }
  text += fmt::format("\n{:<20} {:<16} {:>14} {:<8} {:<9} {}\n", "balancer",
                      "data centre", "list revision", "informed", "reachable",
                      "evacuated in its list");
  for (const EvacuationReport::Balancer& balancer : report.balancers) {
    text +=
        fmt::format("{:<20} {:<16} {:>14} {:<8} {:<9}", balancer.name,
                    balancer.data_centre, RevisionText(balancer.revision),
                    YesOrNo(balancer.informed), YesOrNo(balancer.reachable));
    AddLastColumn(text, " ",
                  fmt::format("{}", fmt::join(balancer.evacuated, ", ")));
  }
  return text + "\n" + ClosingLine(report) + "\n";
}

std::string EvacuationReportJson(const EvacuationReport& report) {
  json data_centres = json::array();
  for (const DataCentre& data_centre : report.data_centres) {
    json out{{"name", data_centre.name},
             {"since_revision", data_centre.since_revision},
             {"within_limits", data_centre.within_limits}};
    for (const CountField& field : kCountFields) {
      out[field.name] = data_centre.counts
                            ? json((*data_centre.counts).*field.value)
                            : json();
    }
    data_centres.push_back(std::move(out));
  }
  json balancers = json::array();
  for (const EvacuationReport::Balancer& balancer : report.balancers) {
    balancers.push_back({{"name", balancer.name},
                         {"data_centre", balancer.data_centre},
                         {"reachable", balancer.reachable},
                         {"informed", balancer.informed},
                         {"revision", balancer.revision},
                         {"evacuated", balancer.evacuated}});
  }
  return json{
      {"store_readable", report.store_readable},
      {"all_balancers_known", report.all_balancers_known},
      {"progress", kProgressNames.at(static_cast<size_t>(report.progress))},
      {"data_centres", data_centres},
      {"balancers", balancers},
      {"balancers_not_informed", report.balancers_not_informed},
      {"balancers_unreachable", report.balancers_unreachable},
      {"agents_not_informed", report.agents_not_informed},
      {"open_flows", report.open_flows}}
      .dump();
}

}  // namespace filberthollow::operator_tool
