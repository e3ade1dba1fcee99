#include "filberthollow/settings/routes.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/settings/json_reader.h"
#include "filberthollow/settings/tree_json.h"

namespace filberthollow::settings {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxWeight = 1'000'000;
constexpr uint32_t kMaxPriority = 1000;
constexpr uint32_t kMaxLatencyGoalMs = 3'600'000;
constexpr uint32_t kMaxTimeoutMs = 3'600'000;
constexpr uint32_t kMaxColdDurationMs = 3'600'000;

base::Error NotAList(const std::string& path, const json& found) {
  return base::MakeError(
      std::errc::invalid_argument, "read settings", path,
      fmt::format("found {}, expected a list", found.type_name()));
}

base::Result<RouteShare> ReadShare(const json& value, const std::string& path) {
  ObjectReader reader(value, path);
  RouteShare share{reader.Text("service"),
                   reader.Number("weight", 0, kMaxWeight, 1)};
  if (auto error = reader.Finish()) {
    return *error;
  }
  return share;
}

// Parses a JSON list by calling `read` for each item.
template <class T>
base::Result<std::vector<T>> ReadList(
    const json& list,
    const std::string& path,
    base::Result<T> (*read)(const json&, const std::string&)) {
  if (!list.is_array()) {
    return NotAList(path, list);
  }
  std::vector<T> values;
  for (const json& item : list) {
    auto value = read(item, fmt::format("{}[{}]", path, values.size()));
    if (!value) {
      return value.error();
    }
    values.push_back(std::move(*value));
  }
  return values;
}

base::Result<Route> ReadRoute(const json& value, const std::string& path) {
  ObjectReader reader(value, path);
  Route route{
      .name = reader.Text("name"),
      .address = reader.AddressOf("address"),
      .priority = reader.Number("priority", 0, kMaxPriority, 0),
      .latency_goal_ms = reader.Number("latency_goal_ms", 1, kMaxLatencyGoalMs,
                                       kDefaultLatencyGoalMs),
      .timeout_ms = reader.Number("timeout_ms", 0, kMaxTimeoutMs, 0)};
  const json* idempotent = reader.Raw("idempotent");
  const json* shares = reader.Raw("shares");
  if (idempotent == nullptr || !idempotent->is_boolean()) {
    reader.Fail("idempotent", "no boolean", "true or false");
  }
  if (shares == nullptr) {
    reader.Fail("shares", "nothing", "a list");
  }
  if (auto error = reader.Finish()) {
    return *error;
  }
  route.idempotent = idempotent->get<bool>();
  auto read = ReadList<RouteShare>(*shares, path + ".shares", &ReadShare);
  if (!read) {
    return read.error();
  }
  route.shares = std::move(*read);
  return route;
}

base::Result<ColdLimit> ReadColdLimit(const json& value,
                                      const std::string& path) {
  ObjectReader reader(value, path);
  const json* rate = reader.Raw("requests_per_second");
  if (rate == nullptr || !rate->is_number() || rate->get<double>() < 0) {
    reader.Fail("requests_per_second", "no number from 0", "a number from 0");
  }
  ColdLimit limit{.duration = base::Millis(
                      reader.Number("duration_ms", 0, kMaxColdDurationMs, 0))};
  if (auto error = reader.Finish()) {
    return *error;
  }
  limit.requests_per_second = rate->get<double>();
  return limit;
}

base::Result<ColdLimits> ReadColdLimits(const json& value,
                                        const std::string& path) {
  ColdLimits limits;
  for (const auto& [service, limit] : value.items()) {
    auto read = ReadColdLimit(limit, fmt::format("{}.{}", path, service));
    if (!read) {
      return read.error();
    }
    limits[service] = *read;
  }
  return limits;
}

json RouteJson(const Route& route) {
  json shares = json::array();
  for (const RouteShare& share : route.shares) {
    shares.push_back({{"service", share.service}, {"weight", share.weight}});
  }
  return {{"name", route.name},
          {"address", route.address.Text()},
          {"idempotent", route.idempotent},
          {"priority", route.priority},
          {"latency_goal_ms", route.latency_goal_ms},
          {"timeout_ms", route.timeout_ms},
          {"shares", shares}};
}

}  // namespace

base::Result<Snapshot> ParseSnapshot(std::string_view text,
                                     std::string_view source) {
  base::Result<json> parsed = ParseJson(text, source);
  if (!parsed) {
    return parsed.error();
  }
  json routes = json::array();
  if (parsed->is_object() && parsed->contains("routes")) {
    routes = std::move((*parsed)["routes"]);
    parsed->erase("routes");
  }
  uint64_t version = 0;
  if (parsed->is_object() && parsed->contains("version")) {
    if (!(*parsed)["version"].is_number_unsigned()) {
      return base::MakeError(std::errc::invalid_argument, "read settings",
                             std::string(source) + ".version",
                             "expected a number");
    }
    version = (*parsed)["version"].get<uint64_t>();
    parsed->erase("version");
  }
  std::map<std::string, std::string> health_paths;
  if (parsed->is_object() && parsed->contains("health_paths")) {
    for (const auto& [service, path] : (*parsed)["health_paths"].items()) {
      if (!path.is_string()) {
        return base::MakeError(
            std::errc::invalid_argument, "read settings",
            std::string(source) + ".health_paths." + service,
            "expected a string with the path of the health check");
      }
      health_paths[service] = path.get<std::string>();
    }
    parsed->erase("health_paths");
  }
  base::Result<ColdLimits> cold_limits{ColdLimits{}};
  if (parsed->is_object() && parsed->contains("cold_limits")) {
    cold_limits = ReadColdLimits((*parsed)["cold_limits"],
                                 std::string(source) + ".cold_limits");
    parsed->erase("cold_limits");
  }
  if (!cold_limits) {
    return cold_limits.error();
  }
  auto tree = TreeFromJson(*parsed, source);
  if (!tree) {
    return tree.error();
  }
  auto read =
      ReadList<Route>(routes, std::string(source) + ".routes", &ReadRoute);
  if (!read) {
    return read.error();
  }
  return Snapshot{std::move(*tree), std::move(*read), std::move(health_paths),
                  version, std::move(*cold_limits)};
}

std::string SnapshotText(const Snapshot& snapshot) {
  json out = TreeJson(snapshot.tree);
  out["routes"] = json::array();
  for (const Route& route : snapshot.routes) {
    out["routes"].push_back(RouteJson(route));
  }
  out["health_paths"] = snapshot.health_paths;
  for (const auto& [service, limit] : snapshot.cold_limits) {
    out["cold_limits"][service] = {
        {"requests_per_second", limit.requests_per_second},
        {"duration_ms", limit.duration.count()}};
  }
  if (snapshot.version > 0) {
    out["version"] = snapshot.version;
  }
  return out.dump();
}

}  // namespace filberthollow::settings
