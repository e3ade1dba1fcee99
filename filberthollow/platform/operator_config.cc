#include "filberthollow/platform/operator_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/settings/fields.h"

namespace filberthollow::platform {
namespace {

using nlohmann::json;

constexpr int64_t kMillisPerSecond = 1000;

// Clamps a number from the operator to the range of the setting `field_name`,
// which must exist.
uint32_t ClampToFieldRange(std::string_view field_name, int64_t value) {
  const settings::Field* field = settings::FindField(field_name);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(value, field->min, field->max));
}

// Returns the address that callers send packets of a route to. The port is
// given as the route's path prefix, such as "/8443/".
base::Result<base::Address> ParseRouteAddress(const json& route) {
  std::string prefix = route.at("pathPrefix").get<std::string>();
  std::erase(prefix, '/');
  return base::Address::Parse(
      fmt::format("{}:{}", route.at("host").get<std::string>(), prefix));
}

// A route without a list of shares sends all flows to its one service.
std::vector<settings::RouteShare> ParseShares(const json& route) {
  std::vector<settings::RouteShare> shares;
  if (route.contains("split") && route["split"].is_array()) {
    for (const json& part : route["split"]) {
      shares.push_back({part.at("service").get<std::string>(),
                        part.at("weight").get<uint32_t>()});
    }
  }
  if (shares.empty()) {
    shares.push_back({route.at("service").get<std::string>(), 1});
  }
  return shares;
}

base::Result<settings::Snapshot> ConvertConfig(const json& config) {
  settings::Snapshot snapshot{.version = config.at("version").get<uint64_t>()};
  if (config.contains("limits") && config["limits"].contains("idleTimeoutMs")) {
    // Rounded up to whole seconds: it is better to keep a flow slightly longer
    // than to end it too early.
    int64_t idle_ms = config["limits"]["idleTimeoutMs"].get<int64_t>();
    snapshot.tree.root.idle_flow_s = ClampToFieldRange(
        "idle_flow_s", (idle_ms + kMillisPerSecond - 1) / kMillisPerSecond);
  }
  for (const json& service : config.at("services")) {
    std::string name = service.at("name").get<std::string>();
    settings::ServiceNode& node = snapshot.tree.services[name];
    if (service.contains("healthPath")) {
      snapshot.health_paths[name] = service["healthPath"].get<std::string>();
    }
    double cold_rate = service.value("coldPerS", 0.0);
    if (cold_rate > 0) {
      snapshot.cold_limits[name] = {
          .requests_per_second = cold_rate,
          .duration = base::Millis(static_cast<int64_t>(
              service.value("coldStartS", 0.0) * kMillisPerSecond))};
    }
    if (service.contains("connectionLimit")) {
      node.overrides.connections = ClampToFieldRange(
          "connections", service["connectionLimit"].get<int64_t>());
    }
  }
  for (const json& route : config.at("routes")) {
    auto address = ParseRouteAddress(route);
    if (!address) {
      return address.error().WithContext("read route", route.at("name"));
    }
    snapshot.routes.push_back(
        {.name = route.at("name").get<std::string>(),
         .address = *address,
         .idempotent = route.value("kind", "unsafe") != "unsafe",
         .priority = route.value("priority", 0U),
         .latency_goal_ms =
             route.value("aimMs", settings::kDefaultLatencyGoalMs),
         .timeout_ms = route.value("timeoutMs", 0U),
         .shares = ParseShares(route)});
  }
  return snapshot;
}

// Keeps only the operator's configuration, if it changed, and renames it to
// kSnapshotObject.
WatchAnswer ToSnapshotAnswer(const WatchAnswer& answer) {
  WatchAnswer snapshot_answer{.revision = answer.revision,
                              .unreadable = answer.unreadable};
  for (const StoredObject& object : answer.objects) {
    if (object.name == kOperatorConfig && object.value) {
      snapshot_answer.objects.push_back(object);
      snapshot_answer.objects.back().name = kSnapshotObject;
    }
  }
  return snapshot_answer;
}

}  // namespace

base::Result<settings::Snapshot> ParseOperatorConfig(std::string_view text,
                                                     std::string_view source) {
  try {
    return ConvertConfig(json::parse(text));
  } catch (const json::exception& error) {
    return base::MakeError(std::errc::invalid_argument, "read configuration",
                           std::string(source), error.what());
  }
}

void OperatorConfigStore::Read(const std::string& name,
                               Handler<StoredObject> done) {
  m_store.Read(name, std::move(done));
}

void OperatorConfigStore::Write(const std::string& name,
                                uint64_t if_version,
                                const std::string& value,
                                Handler<WriteAnswer> done) {
  m_store.Write(name, if_version, value, std::move(done));
}

void OperatorConfigStore::Delete(const std::string& name,
                                 uint64_t if_version,
                                 Handler<WriteAnswer> done) {
  m_store.Delete(name, if_version, std::move(done));
}

void OperatorConfigStore::Watch(const WatchQuery& query,
                                Handler<WatchAnswer> done) {
  if (query.prefix != kConfigPrefix) {
    m_store.Watch(query, std::move(done));
    return;
  }
  WatchQuery operator_query = query;
  operator_query.prefix = kOperatorPrefix;
  m_store.Watch(operator_query,
                [done](const base::Result<WatchAnswer>& answer) {
                  if (!answer) {
                    done(answer.error());
                    return;
                  }
                  done(ToSnapshotAnswer(*answer));
                });
}

}  // namespace filberthollow::platform
