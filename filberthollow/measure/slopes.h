// Measurements of the production decision objects at several sizes, in one
// process.
//
// Each function measures one quantity at each of the given sizes and returns a
// series of points. tools/capacity.py fits a straight line through the points
// and works out the value at the required size. Functions run in the calling
// thread.
//
//   Series series = FlowMemory({1000, 2000, 4000});
#ifndef FILBERTHOLLOW_MEASURE_SLOPES_H_
#define FILBERTHOLLOW_MEASURE_SLOPES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace filberthollow::measure {

// Point is one measured value and the size that it was measured at.
struct Point {
  double size = 0;
  double value = 0;
  friend bool operator==(const Point&, const Point&) = default;
};

// Series holds the values of one quantity at several sizes. `size_unit` and
// `value_unit` are texts for people, such as "flows" and "bytes".
struct Series {
  std::string name;
  std::string size_unit;
  std::string value_unit;
  std::vector<Point> points;
  friend bool operator==(const Series&, const Series&) = default;
};

// Sizes lists the sizes to measure at.
using Sizes = std::vector<uint32_t>;

// Memory, in bytes allocated on the heap: of a membership directory, of the
// flows of one target, of the configuration tree, and of a view of the targets.
Series DirectoryMemory(const Sizes& records);
Series FlowMemory(const Sizes& flows);
Series TreeMemory(const Sizes& targets);
Series ViewMemory(const Sizes& targets);

// Size in bytes of an encoded snapshot, and of the JSON object that the
// platform stores for one service.
Series SnapshotBytes(const Sizes& records);
Series ServiceObjectBytes(const Sizes& targets);

// Gossip bytes per second that each balancer sends while nothing changes.
Series IdleGossipBytes(const Sizes& balancers);
// Additional gossip bytes that each balancer sends because of one change.
Series ChangeGossipBytes(const Sizes& balancers);
// A burst of simultaneous changes among 128 balancers: bytes that each balancer
// sends, the highest rate in one gossip round in bytes/s per balancer (a mean
// over the balancers), and gossip rounds until all balancers agree, up to 400.
Series BurstGossipBytes(const Sizes& changes);
Series BurstPeakRate(const Sizes& changes);
Series BurstRounds(const Sizes& changes);
// Gossip rounds until all balancers know one change, up to 200, with
// `loss_percent` of the datagrams lost; the worst of five seeds.
Series RoundsUntilConverged(const Sizes& balancers, uint32_t loss_percent);

// Share of flows that are placed on another target after one target has left,
// multiplied by the number of targets. The minimum is 1.
Series RendezvousMoved(const Sizes& targets);
Series MaglevMoved(const Sizes& targets);
// Flows on the most loaded target over the mean, with targets of equal weight.
Series RendezvousPeak(const Sizes& targets);
Series MaglevPeak(const Sizes& targets);

// A table of all flows in each balancer, for comparison with stateless
// placement: its memory in bytes, and the processor time of one lookup in
// microseconds.
Series FlowTableMemory(const Sizes& flows);
Series FlowTableTime(const Sizes& flows);

// Total size in bytes of the datagrams of one heartbeat and its
// acknowledgement. `name_lengths` are the lengths of the data centre and target
// names together.
Series HeartbeatBytes(const Sizes& name_lengths);

// Processor time of one operation, in microseconds. Route, heartbeat and gossip
// times include decoding the message and encoding the answer.
Series PlacementTime(const Sizes& targets);
Series MaglevBuildTime(const Sizes& targets);
Series ViewBuildTime(const Sizes& targets);
Series RouteTime(const Sizes& targets);
Series HeartbeatTime(const Sizes& targets);
Series GossipMessageTime(const Sizes& targets);

// The functions below measure passthrough flows (packet_slopes.cc).
//
// Memory in bytes of a balancer's agents, of a balancer's flows and of an
// agent's flows.
Series RouterAgentMemory(const Sizes& agents);
Series RouterFlowMemory(const Sizes& flows);
Series GateFlowMemory(const Sizes& flows);
// Processor time in microseconds: of a packet of a known flow at a balancer
// with its encoding, of the first packet of a new flow at a balancer, and of a
// packet of a known flow at an agent with its decoding.
Series RouterPacketTime(const Sizes& flows);
Series RouterOfferTime(const Sizes& agents);
Series GatePacketTime(const Sizes& flows);
// Encoded bytes of an agent's report by its load, of a balancer's hello by the
// number of balancers it lists, and of a Locate message by the number of flows
// it asks for.
Series ReportBytes(const Sizes& loads);
Series HelloBytes(const Sizes& balancers);
Series LocateBytes(const Sizes& flows);

}  // namespace filberthollow::measure

#endif  // FILBERTHOLLOW_MEASURE_SLOPES_H_
