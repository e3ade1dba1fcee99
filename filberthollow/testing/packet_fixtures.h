// Packet headers, routes and heartbeats shared by the tests of pass-through
// flows.
#ifndef FILBERTHOLLOW_TESTING_PACKET_FIXTURES_H_
#define FILBERTHOLLOW_TESTING_PACKET_FIXTURES_H_

#include <memory>
#include <string>
#include <vector>

#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/decision/flows/route_table.h"
#include "filberthollow/flow/packet.h"

namespace filberthollow::testing {

inline constexpr base::Address kCaller{0x64400007, 40001};
inline constexpr base::Address kDeskRoute{0xc6120001, 443};
inline constexpr base::Address kMapsRoute{0xc6120002, 443};
inline constexpr base::Address kUnknownRoute{0xc6120009, 443};
inline constexpr flow::FlowEnds kDeskFlow{kCaller, kDeskRoute};
inline const base::ServiceId kDesk = base::ServiceIdOf("desk");
inline const base::ServiceId kMaps = base::ServiceIdOf("maps");
// The sequence number of Acceptance().
inline constexpr uint32_t kUpstreamInitialSequence = 5000;

// Returns routes for two services. The requests of kDesk must not be repeated;
// those of kMaps are idempotent. kDesk has a connection limit of 3, and idle
// flows expire after 15 s.
std::shared_ptr<const decision::flows::RouteTable> TwoRoutes(uint64_t revision);

// Headers of a caller's packets on kDeskFlow, or on `route`. `copy` is the copy
// number of a retransmitted opening packet.
flow::PacketHeader Opening(base::Address route = kDeskRoute, uint32_t copy = 0);
flow::PacketHeader Data(uint32_t sequence, uint16_t bytes);
flow::PacketHeader Finish(uint32_t sequence);
// Headers of the upstream's packets on kDeskFlow.
flow::PacketHeader Acceptance();
flow::PacketHeader UpstreamData(uint32_t sequence, uint16_t bytes);
// Returns the header as it is when the upstream bounces the packet.
flow::PacketHeader Bounced(flow::PacketHeader header);

// Returns a heartbeat of an upstream of kDesk. `started` is the start time in
// milliseconds, which identifies the run.
decision::flows::UpstreamHeartbeat MakeHeartbeat(
    uint64_t sequence,
    decision::flows::UpstreamState state =
        decision::flows::UpstreamState::kReady,
    int64_t started = 1000);

// Returns the actions of type T, in order.
template <class T, class Actions>
std::vector<T> ActionsOfType(const Actions& actions) {
  std::vector<T> found;
  for (const auto& action : actions) {
    if (const T* wanted = std::get_if<T>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_PACKET_FIXTURES_H_
