// filberthollow-measure: runs every measurement of slopes.h and prints the
// series as a JSON array, which tools/capacity.py reads.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "filberthollow/measure/slopes.h"

int main() {
  namespace measure = filberthollow::measure;
  const measure::Sizes targets{663, 1325, 2650, 5300, 10'600};
  const measure::Sizes flows{500, 1000, 2000, 4000, 8000};
  const measure::Sizes balancers{16, 32, 64, 128, 256, 512};
  const measure::Sizes service_targets{3, 7, 14, 28, 56};
  const measure::Sizes placement_targets{7, 100, 1000};
  const measure::Sizes changes{1, 10, 40, 160, 660};
  const measure::Sizes table_flows{50'000, 100'000, 200'000, 400'000};
  const measure::Sizes name_lengths{8, 16, 32, 64};
  nlohmann::json out = nlohmann::json::array();
  for (const measure::Series& series : {
           measure::DirectoryMemory(targets),
           measure::FlowMemory(flows),
           measure::TreeMemory(targets),
           measure::ViewMemory(targets),
           measure::SnapshotBytes(targets),
           measure::ServiceObjectBytes(service_targets),
           measure::IdleGossipBytes(balancers),
           measure::ChangeGossipBytes(balancers),
           measure::BurstGossipBytes(changes),
           measure::BurstPeakRate(changes),
           measure::BurstRounds(changes),
           measure::RendezvousMoved(placement_targets),
           measure::MaglevMoved(placement_targets),
           measure::RendezvousPeak(placement_targets),
           measure::MaglevPeak(placement_targets),
           measure::FlowTableMemory(table_flows),
           measure::FlowTableTime(table_flows),
           measure::HeartbeatBytes(name_lengths),
           measure::RoundsUntilConverged(balancers, 0),
           measure::RoundsUntilConverged(balancers, 5),
           measure::RoundsUntilConverged(balancers, 20),
           measure::PlacementTime(placement_targets),
           measure::MaglevBuildTime(placement_targets),
           measure::ViewBuildTime(targets),
           measure::RouteTime(targets),
           measure::HeartbeatTime(targets),
           measure::GossipMessageTime(targets),
           measure::RouterAgentMemory(targets),
           measure::RouterFlowMemory(flows),
           measure::GateFlowMemory(flows),
           measure::RouterPacketTime(flows),
           measure::RouterOfferTime(targets),
           measure::GatePacketTime(flows),
           measure::ReportBytes({1, 1000}),
           measure::HelloBytes({0, 4, 16}),
           measure::LocateBytes({1, 8, 64}),
       }) {
    nlohmann::json points = nlohmann::json::array();
    for (const measure::Point& point : series.points) {
      points.push_back({point.size, point.value});
    }
    out.push_back({{"name", series.name},
                   {"size_unit", series.size_unit},
                   {"value_unit", series.value_unit},
                   {"points", points}});
  }
  fmt::print("{}\n", out.dump(1));
  return 0;
}
