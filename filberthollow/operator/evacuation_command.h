// The report of the subcommand evacuations: which data centres are evacuated,
// and whether all balancers and agents know of it and no flow is open there any
// more.
//
//   EvacuationInputs inputs{.entries = ReadEvacuationEntries(objects)};
//   inputs.balancers.push_back(
//       MakeBalancerAnswer("front-1", "north-1", status_text));
//   EvacuationReport report = MakeEvacuationReport(inputs);
//   fmt::print("{}", EvacuationReportText(report));
#ifndef FILBERTHOLLOW_OPERATOR_EVACUATION_COMMAND_H_
#define FILBERTHOLLOW_OPERATOR_EVACUATION_COMMAND_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "filberthollow/platform/object_store.h"

namespace filberthollow::operator_tool {

// EvacuationEntry is one object below platform::kEvacuationPrefix.
struct EvacuationEntry {
  std::string data_centre;
  uint64_t revision = 0;  // of the store, since which the entry applies
  friend bool operator==(const EvacuationEntry&,
                         const EvacuationEntry&) = default;
};

// EvacuationCounts is what a balancer knows about an evacuated data centre.
struct EvacuationCounts {
  uint64_t agents = 0;
  uint64_t agents_informed = 0;  // have reported the same or a newer list
  // Sums of what the last load reports of the agents say.
  uint64_t open_flows = 0;
  uint64_t in_flight = 0;
  friend auto operator<=>(const EvacuationCounts&,
                          const EvacuationCounts&) = default;
};

// BalancerAnswer is what one balancer says about evacuations.
struct BalancerAnswer {
  struct DataCentre {
    std::string name;
    EvacuationCounts counts;
    friend bool operator==(const DataCentre&, const DataCentre&) = default;
  };

  std::string name;
  std::string data_centre;  // of the balancer; empty if it is not known
  bool reachable = false;
  // Of its list; 0 if it knows none or is of a release without evacuations.
  uint64_t revision = 0;
  std::vector<DataCentre> evacuated;  // according to its list
  friend bool operator==(const BalancerAnswer&,
                         const BalancerAnswer&) = default;
};

// EvacuationInputs is what the report is made of.
struct EvacuationInputs {
  // Entries in the store; nullopt if they could not be read.
  std::optional<std::vector<EvacuationEntry>> entries;
  std::vector<BalancerAnswer> balancers;
  // False if the bootstrap entries could not be read, so that there may be
  // other balancers.
  bool all_balancers_known = true;
  friend bool operator==(const EvacuationInputs&,
                         const EvacuationInputs&) = default;
};

enum class EvacuationProgress : uint8_t {
  kComplete,
  kIncomplete,
  // Nothing shows that the evacuation is incomplete, but the entries or the
  // list of balancers could not be read, or no balancer could be reached.
  kUnknown,
};

// EvacuationReport is the result of the subcommand.
struct EvacuationReport {
  struct DataCentre {
    std::string name;
    uint64_t since_revision = 0;  // 0 if the store could not be read
    // False for entries that exceed the limits of a list (see
    // decision/membership/evacuations.h), which the balancers ignore.
    bool within_limits = true;
    // As the best informed balancers say; nullopt if no balancer that could be
    // reached has the data centre in its list.
    std::optional<EvacuationCounts> counts;
    friend bool operator==(const DataCentre&, const DataCentre&) = default;
  };
  struct Balancer {
    std::string name;
    std::string data_centre;
    bool reachable = false;
    // The names in its list are those in the store or, if the store could not
    // be read, those of the newest list of any balancer.
    bool informed = false;
    uint64_t revision = 0;
    std::set<std::string> evacuated;
    friend bool operator==(const Balancer&, const Balancer&) = default;
  };

  bool store_readable = false;
  bool all_balancers_known = false;  // as in EvacuationInputs
  EvacuationProgress progress = EvacuationProgress::kUnknown;
  std::vector<DataCentre> data_centres;  // sorted by name
  std::vector<Balancer> balancers;
  // Including the unreachable ones.
  uint64_t balancers_not_informed = 0;
  uint64_t balancers_unreachable = 0;
  // In the evacuated data centres.
  uint64_t agents_not_informed = 0;
  uint64_t open_flows = 0;
  friend bool operator==(const EvacuationReport&,
                         const EvacuationReport&) = default;
};

// ReadEvacuationEntries returns the entries that the objects below
// platform::kEvacuationPrefix stand for, sorted by name. Their content is not
// interpreted.
std::vector<EvacuationEntry> ReadEvacuationEntries(
    const std::vector<platform::StoredObject>& objects);
// MakeBalancerAnswer decodes the JSON of a balancer's page /status, or nullopt
// if the page could not be fetched. A balancer whose page has no member
// "evacuations", or an unreadable one, is reachable and knows no list.
BalancerAnswer MakeBalancerAnswer(
    std::string name,
    std::string data_centre,
    const std::optional<std::string>& status_text);

// MakeEvacuationReport compares what the balancers say with the store.
EvacuationReport MakeEvacuationReport(const EvacuationInputs& inputs);
// Returns the exit code of the subcommand (see commands.h).
int EvacuationExitCode(const EvacuationReport& report);
// EvacuationReportText formats the report as two tables and a closing line.
std::string EvacuationReportText(const EvacuationReport& report);
// EvacuationReportJson formats the report as one JSON object.
std::string EvacuationReportJson(const EvacuationReport& report);

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_EVACUATION_COMMAND_H_
