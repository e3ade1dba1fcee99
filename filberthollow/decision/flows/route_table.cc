#include "filberthollow/decision/flows/route_table.h"

#include <algorithm>

namespace filberthollow::decision::flows {
namespace {

constexpr int64_t kMillisPerSecond = 1000;

uint64_t HashOf(const flow::FlowEnds& flow) {
  return base::HashWords(
      {flow.caller.ip, flow.caller.port, flow.route.ip, flow.route.port});
}

}  // namespace

base::ServiceId CompiledRoute::ServiceFor(const flow::FlowEnds& flow) const {
  uint64_t total = 0;
  for (const CompiledShare& share : shares) {
    total += share.weight;
  }
  if (total == 0) {
    return shares.front().service;
  }
  uint64_t point = HashOf(flow) % total;
  for (const CompiledShare& share : shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return shares.back().service;
}

bool CompiledRoute::Allows(base::ServiceId service) const {
  return std::any_of(shares.begin(), shares.end(), [=](const auto& share) {
    return share.service == service && share.weight > 0;
  });
}

RouteTable::RouteTable(uint64_t revision,
                       const settings::Tree& tree,
                       const std::vector<settings::Route>& routes,
                       const settings::ColdLimits& cold_limits)
    : m_revision(revision),
      m_idle_timeout(int64_t{settings::Resolve(tree, {}).settings.idle_flow_s} *
                     kMillisPerSecond) {
  for (const auto& [name, node] : tree.services) {
    m_connection_limits[base::ServiceIdOf(name)] =
        settings::Resolve(tree, {name, "", ""}).settings.connections;
  }
  for (const auto& [name, limit] : cold_limits) {
    m_cold_limits[base::ServiceIdOf(name)] = limit;
  }
  for (const settings::Route& route : routes) {
    CompiledRoute& compiled = m_routes[route.address];
    compiled = {.idempotent = route.idempotent,
                .priority = route.priority,
                .latency_goal = base::Millis(route.latency_goal_ms),
                .timeout = base::Millis(route.timeout_ms)};
    for (const settings::RouteShare& share : route.shares) {
      compiled.shares.push_back(
          {base::ServiceIdOf(share.service), share.weight});
    }
  }
}

const CompiledRoute* RouteTable::Find(base::Address address) const {
  auto found = m_routes.find(address);
  bool usable = found != m_routes.end() && !found->second.shares.empty();
  return usable ? &found->second : nullptr;
}

uint32_t RouteTable::ConnectionLimit(base::ServiceId service) const {
  auto found = m_connection_limits.find(service);
  return found == m_connection_limits.end() ? settings::Settings{}.connections
                                            : found->second;
}

settings::ColdLimit RouteTable::ColdLimitOf(base::ServiceId service) const {
  auto found = m_cold_limits.find(service);
  return found == m_cold_limits.end() ? settings::ColdLimit{} : found->second;
}

}  // namespace filberthollow::decision::flows
