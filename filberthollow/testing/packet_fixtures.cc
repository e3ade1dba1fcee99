#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::testing {

std::shared_ptr<const decision::flows::RouteTable> TwoRoutes(
    uint64_t revision) {
  settings::Tree tree;
  tree.root.idle_flow_s = 15;
  tree.services["desk"].overrides.connections = 3;
  tree.services["maps"] = {};
  return std::make_shared<const decision::flows::RouteTable>(
      revision, tree,
      std::vector<settings::Route>{
          {.name = "desk", .address = kDeskRoute, .shares = {{"desk", 1}}},
          {.name = "maps",
           .address = kMapsRoute,
           .idempotent = true,
           .shares = {{"maps", 1}}}});
}

flow::PacketHeader Opening(base::Address route, uint32_t copy) {
  return {.source = kCaller,
          .destination = route,
          .sequence = 100,
          .acknowledged = copy,
          .opens = true};
}

flow::PacketHeader Data(uint32_t sequence, uint16_t bytes) {
  return {.source = kCaller,
          .destination = kDeskRoute,
          .sequence = sequence,
          .acknowledged = kUpstreamInitialSequence + 1,
          .data_bytes = bytes,
          .acknowledges = true};
}

flow::PacketHeader Finish(uint32_t sequence) {
  flow::PacketHeader header = Data(sequence, 0);
  header.finishes = true;
  return header;
}

flow::PacketHeader Acceptance() {
  return {.source = kDeskRoute,
          .destination = kCaller,
          .sequence = kUpstreamInitialSequence,
          .acknowledged = 101,
          .opens = true,
          .acknowledges = true};
}

flow::PacketHeader UpstreamData(uint32_t sequence, uint16_t bytes) {
  return {.source = kDeskRoute,
          .destination = kCaller,
          .sequence = sequence,
          .data_bytes = bytes,
          .acknowledges = true};
}

flow::PacketHeader Bounced(flow::PacketHeader header) {
  header.bounced = true;
  return header;
}

decision::flows::UpstreamHeartbeat MakeHeartbeat(
    uint64_t sequence,
    decision::flows::UpstreamState state,
    int64_t started) {
  return {.id = "i-" + std::to_string(started),
          .service = "desk",
          .started = base::Millis(started),
          .sequence = sequence,
          .state = state,
          .slots = 4};
}

}  // namespace filberthollow::testing
