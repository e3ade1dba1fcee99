// Measurements of the real decision objects at several sizes, in one process.
//
// Each function measures one quantity at each of the given sizes and returns a
// series of points, from which tools/capacity.py fits a straight line and works
// out the figure at the size of the letter.
//
//   Series series = FlowMemory({1000, 2000, 4000});
#ifndef FILBERTHOLLOW_MEASURE_SLOPES_H_
#define FILBERTHOLLOW_MEASURE_SLOPES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace filberthollow::measure {

// Point is a size and what was measured at it.
struct Point {
  double size = 0;
  double value = 0;
  friend bool operator==(const Point&, const Point&) = default;
};

// Series is one quantity at several sizes.
struct Series {
  std::string name;
  std::string size_unit;
  std::string value_unit;
  std::vector<Point> points;
  friend bool operator==(const Series&, const Series&) = default;
};

using Sizes = std::vector<uint32_t>;

// Memory, in bytes of the allocator's heap.
Series DirectoryMemory(const Sizes& records);
Series FlowMemory(const Sizes& flows);
Series TreeMemory(const Sizes& targets);
Series ViewMemory(const Sizes& targets);

// Bytes of a snapshot, and of a service's object at the platform.
Series SnapshotBytes(const Sizes& records);
Series ServiceObjectBytes(const Sizes& targets);

// Gossip of one balancer, by the number of balancers: bytes a second without
// news, bytes sent for one change, and rounds until all know of a change.
Series IdleGossipBytes(const Sizes& balancers);
Series ChangeGossipBytes(const Sizes& balancers);
// Bytes sent and rounds taken by a burst of changes at once, by their number,
// among 128 balancers; and the most bytes a balancer sends in one round.
Series BurstGossipBytes(const Sizes& changes);
Series BurstPeakRate(const Sizes& changes);
Series BurstRounds(const Sizes& changes);
Series RoundsUntilConverged(const Sizes& balancers, uint32_t loss_percent);

// Share of flows that move when one of `targets` leaves, times their number;
// 1 is the least possible. And peak over mean of the flows on equal targets.
Series RendezvousMoved(const Sizes& targets);
Series MaglevMoved(const Sizes& targets);
Series RendezvousPeak(const Sizes& targets);
Series MaglevPeak(const Sizes& targets);

// A per-balancer flow table, for comparison: its memory, and microseconds of
// processor time a lookup.
Series FlowTableMemory(const Sizes& flows);
Series FlowTableTime(const Sizes& flows);

// Size of the datagrams of one heartbeat and its answer.
Series HeartbeatBytes(const Sizes& name_lengths);

// Processor time, in microseconds.
Series PlacementTime(const Sizes& targets);
Series MaglevBuildTime(const Sizes& targets);
Series ViewBuildTime(const Sizes& targets);
Series RouteTime(const Sizes& targets);
Series HeartbeatTime(const Sizes& targets);
Series GossipMessageTime(const Sizes& targets);

// Passed-through flows, in packet_slopes.cc: memory of what a balancer knows of
// agents and flows and of an agent's flows; processor time of a packet, with
// its encoding, and of a new flow; bytes of an agent's report.
Series RouterAgentMemory(const Sizes& agents);
Series RouterFlowMemory(const Sizes& flows);
Series GateFlowMemory(const Sizes& flows);
Series RouterPacketTime(const Sizes& flows);
Series RouterOfferTime(const Sizes& agents);
Series GatePacketTime(const Sizes& flows);
Series ReportBytes(const Sizes& loads);
Series HelloBytes(const Sizes& balancers);
Series LocateBytes(const Sizes& flows);

}  // namespace filberthollow::measure

#endif  // FILBERTHOLLOW_MEASURE_SLOPES_H_
