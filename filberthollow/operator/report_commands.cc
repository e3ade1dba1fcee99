// The subcommands status, explain and evacuations, which query the processes
// over HTTP.
#include <fmt/format.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "filberthollow/config/bootstrap.h"
#include "filberthollow/operator/commands.h"
#include "filberthollow/operator/evacuation_command.h"
#include "filberthollow/operator/flow_story.h"

namespace filberthollow::operator_tool::internal {
namespace {

using nlohmann::json;

// One target as the balancers report it. State, address and service come from
// the balancer queried last; the other fields from the report with the highest
// settings revision.
struct TargetStatus {
  std::string service;
  std::string target;
  std::string data_centre;
  std::string state;
  std::string address;
  std::string admin;
  uint64_t settings_revision = 0;
  uint64_t load = 0;
};

struct BalancerStatus {
  config::BootstrapEntry entry;
  bool reachable = false;
  uint64_t revision = 0;
  bool platform_reachable = false;
  json members;
};

struct FleetStatus {
  uint64_t revision = 0;  // highest settings revision of any balancer
  std::vector<BalancerStatus> balancers;
  std::map<std::string, TargetStatus> targets;  // by member ID
  // Reachable balancers and live targets with an older revision.
  uint32_t lagging = 0;
};

BalancerStatus QueryBalancer(HttpBlockingStore& store,
                             const config::BootstrapEntry& entry) {
  BalancerStatus status{.entry = entry};
  auto text = store.Get(entry.admin, "/status");
  json parsed = text ? json::parse(*text, nullptr, false) : json();
  if (!parsed.is_object() || !parsed.contains("members")) {
    return status;
  }
  status.reachable = true;
  status.members = parsed["members"].value("members", json::array());
  status.revision = parsed["members"].value("revision", uint64_t{0});
  if (parsed.contains("config")) {
    status.platform_reachable =
        parsed["config"].value("platform_reachable", false);
  }
  return status;
}

void AddTargets(const json& members, FleetStatus& fleet) {
  for (const json& member : members) {
    if (member.value("kind", "") != "target") {
      continue;
    }
    TargetStatus& target = fleet.targets[member.value("id", "")];
    target.state = member.value("state", "");
    target.address = member.value("address", "");
    target.service = member.value("service", target.service);
    uint64_t revision = member.value("settings_revision", uint64_t{0});
    if (member.contains("target") && revision >= target.settings_revision) {
      target.target = member.value("target", "");
      target.data_centre = member.value("data_centre", "");
      target.admin = member.value("admin", "");
      target.settings_revision = revision;
      target.load = member.value("load", uint64_t{0});
    }
  }
}

base::Result<FleetStatus> QueryFleet(HttpBlockingStore& store) {
  auto objects = store.List(platform::kBootstrapPrefix);
  if (!objects) {
    return objects.error();
  }
  FleetStatus fleet;
  for (const auto& entry : config::ParseBootstrapList(*objects)) {
    BalancerStatus balancer = QueryBalancer(store, entry);
    fleet.revision = std::max(fleet.revision, balancer.revision);
    AddTargets(balancer.members, fleet);
    fleet.balancers.push_back(std::move(balancer));
  }
  for (const BalancerStatus& balancer : fleet.balancers) {
    bool is_lagging = balancer.reachable && balancer.revision < fleet.revision;
    fleet.lagging += is_lagging ? 1 : 0;
  }
  for (const auto& [id, target] : fleet.targets) {
    bool is_live = target.state != "left" && target.state != "dead";
    bool is_lagging = is_live && target.settings_revision < fleet.revision;
    fleet.lagging += is_lagging ? 1 : 0;
  }
  return fleet;
}

json FleetJson(const FleetStatus& fleet) {
  json balancers = json::array();
  for (const BalancerStatus& balancer : fleet.balancers) {
    balancers.push_back({{"name", balancer.entry.name},
                         {"data_centre", balancer.entry.data_centre},
                         {"reachable", balancer.reachable},
                         {"revision", balancer.revision},
                         {"platform_reachable", balancer.platform_reachable}});
  }
  json targets = json::array();
  for (const auto& [id, target] : fleet.targets) {
    targets.push_back({{"service", target.service},
                       {"data_centre", target.data_centre},
                       {"target", target.target},
                       {"state", target.state},
                       {"address", target.address},
                       {"revision", target.settings_revision},
                       {"load", target.load}});
  }
  return {{"revision", fleet.revision},
          {"lagging", fleet.lagging},
          {"balancers", balancers},
          {"targets", targets}};
}

void PrintFleet(const FleetStatus& fleet) {
  fmt::print("revision {}, {} processes lagging\n\n", fleet.revision,
             fleet.lagging);
  fmt::print("{:<16} {:<12} {:>9} {:<12} {}\n", "balancer", "data centre",
             "revision", "reachable", "platform");
  for (const BalancerStatus& b : fleet.balancers) {
    fmt::print("{:<16} {:<12} {:>9} {:<12} {}\n", b.entry.name,
               b.entry.data_centre, b.revision, b.reachable ? "yes" : "no",
               b.platform_reachable ? "up" : "down");
  }
  fmt::print("\n{:<16} {:<12} {:<10} {:<9} {:>9} {:>5}  {}\n", "service",
             "data centre", "target", "state", "revision", "load", "agent");
  for (const auto& [id, t] : fleet.targets) {
    fmt::print("{:<16} {:<12} {:<10} {:<9} {:>9} {:>5}  {}\n", t.service,
               t.data_centre, t.target, t.state, t.settings_revision, t.load,
               t.address);
  }
}

// Queries one process about a flow and appends what it reports to
// `explanations`. Returns whether it reported anything.
bool ExplainAt(HttpBlockingStore& store,
               const std::string& process_name,
               base::Address admin,
               const std::string& flow,
               json& explanations) {
  auto text = store.Get(admin, "/explain?flow=" + flow);
  json parsed = text ? json::parse(*text, nullptr, false) : json();
  if (!parsed.is_object()) {
    return false;
  }
  bool found = false;
  if (parsed.contains("relay")) {
    for (const json& event : parsed["relay"].value("events", json::array())) {
      explanations.push_back({{"process", process_name},
                              {"ms_ago", event["ms_ago"]},
                              {"event", event["event"]}});
      found = true;
    }
  }
  if (parsed.contains("flows") && parsed["flows"].contains("requests")) {
    explanations.push_back(
        {{"process", process_name}, {"holds", parsed["flows"]}});
    found = true;
  }
  return found;
}

// Adds the balancers named on the command line, by their address only, unless
// they are known already.
base::Result<base::Done> AddNamedBalancers(
    const std::vector<std::string>& arguments,
    std::vector<config::BootstrapEntry>& balancers) {
  for (const std::string& argument : arguments) {
    auto address = base::Address::Parse(argument);
    if (!address) {
      return address.error();
    }
    bool known =
        std::any_of(balancers.begin(), balancers.end(),
                    [&](const auto& entry) { return entry.admin == *address; });
    if (!known) {
      balancers.push_back({.name = argument, .admin = *address});
    }
  }
  return base::Done{};
}

}  // namespace

int RunStatus(const SubcommandContext& context) {
  auto fleet = QueryFleet(*context.store);
  if (!fleet) {
    return Fail(fleet.error());
  }
  if (context.json) {
    fmt::print("{}\n", FleetJson(*fleet).dump());
  } else {
    PrintFleet(*fleet);
  }
  return fleet->lagging == 0 ? kExitSuccess : kExitDifferent;
}

// Prints the timeline of a flow from log lines on standard input.
int ExplainFromLogs(const SubcommandContext& context) {
  FlowTimeline timeline = ReadFlowTimeline(std::cin, context.arguments[0]);
  fmt::print("{}", context.json ? TimelineJson(timeline) + "\n"
                                : TimelineText(timeline));
  if (timeline.unreadable > 0) {
    fmt::print(stderr, "filberthollow: {} lines could not be read\n",
               timeline.unreadable);
  }
  return timeline.entries.empty() ? kExitFailed : kExitSuccess;
}

int RunExplain(const SubcommandContext& context) {
  if (context.arguments.size() > 1) {
    return context.arguments[1] == "-" ? ExplainFromLogs(context) : kExitUsage;
  }
  auto fleet = QueryFleet(*context.store);
  if (!fleet) {
    return Fail(fleet.error());
  }
  const std::string& flow = context.arguments[0];
  json explanations = json::array();
  for (const BalancerStatus& balancer : fleet->balancers) {
    ExplainAt(*context.store, balancer.entry.name, balancer.entry.admin, flow,
              explanations);
  }
  for (const auto& [id, target] : fleet->targets) {
    if (auto admin = base::Address::Parse(target.admin)) {
      ExplainAt(*context.store, target.service + "/" + target.target, *admin,
                flow, explanations);
    }
  }
  if (context.json) {
    fmt::print("{}\n", explanations.dump());
  } else {
    for (const json& item : explanations) {
      std::string process = item["process"].get<std::string>();
      if (item.contains("event")) {
        fmt::print("{}: {} ms ago: {}\n", process, item["ms_ago"].dump(),
                   item["event"].get<std::string>());
      } else {
        fmt::print("{} holds {}\n", process, item["holds"].dump(2));
      }
    }
  }
  return explanations.empty() ? kExitFailed : kExitSuccess;
}

int RunEvacuations(const SubcommandContext& context) {
  EvacuationInputs inputs;
  std::vector<config::BootstrapEntry> balancers;
  if (auto objects = context.store->List(platform::kBootstrapPrefix)) {
    balancers = config::ParseBootstrapList(*objects);
  } else {
    Fail(objects.error());
    inputs.all_balancers_known = false;
  }
  if (auto added = AddNamedBalancers(context.arguments, balancers); !added) {
    Fail(added.error());
    return kExitUsage;
  }
  if (auto objects = context.store->List(platform::kEvacuationPrefix)) {
    inputs.entries = ReadEvacuationEntries(*objects);
  } else {
    Fail(objects.error());
  }
  std::vector<base::Address> servers;
  servers.reserve(balancers.size());
  for (const config::BootstrapEntry& balancer : balancers) {
    servers.push_back(balancer.admin);
  }
  auto pages = context.store->GetAll(servers, "/status");
  for (size_t i = 0; i < balancers.size(); ++i) {
    const config::BootstrapEntry& balancer = balancers[i];
    inputs.balancers.push_back(
        MakeBalancerAnswer(balancer.name, balancer.data_centre,
                           pages[i] ? std::optional(*pages[i]) : std::nullopt));
  }
  EvacuationReport report = MakeEvacuationReport(inputs);
  fmt::print("{}", context.json ? EvacuationReportJson(report) + "\n"
                                : EvacuationReportText(report));
  return EvacuationExitCode(report);
}

}  // namespace filberthollow::operator_tool::internal
