// Measurements of passthrough flows, whose packets are forwarded unchanged.
#include <memory>

#include "filberthollow/decision/flows/flow_router.h"
#include "filberthollow/decision/flows/upstream_gate.h"
#include "filberthollow/measure/fixtures.h"
#include "filberthollow/measure/slopes.h"
#include "filberthollow/testing/packet_fixtures.h"
#include "filberthollow/wire/packet_codec.h"

namespace filberthollow::measure {

using internal::HeapPoints;
using internal::TimeCall;

namespace {

using base::Address;
using base::Millis;

constexpr Millis kNow{10'000};
constexpr uint64_t kRevision = 5;
constexpr uint32_t kTimedPackets = 50'000;
constexpr size_t kPacketBytes = 932;

Address AgentAddress(uint32_t index) {
  return {0x0a000000 + index, 7720};
}

// Returns `head` with the address of caller `caller` as its source.
flow::PacketHeader WithCaller(flow::PacketHeader header, uint32_t caller) {
  header.source = {0x64400000 + caller, 40'000};
  return header;
}

// Returns a router that has a report from each of `agents` agents. The first
// seven serve the measured service, the others one service each.
std::unique_ptr<decision::flows::FlowRouter> MakeRouter(uint32_t agents) {
  constexpr uint32_t kServiceAgents = 7;
  auto router = std::make_unique<decision::flows::FlowRouter>(0, kNow);
  router->SetRoutes(testing::TwoRoutes(kRevision));
  for (uint32_t i = 0; i < agents; ++i) {
    base::ServiceId service =
        i < kServiceAgents ? testing::kDesk : base::ServiceId{i};
    router->OnReport({.service = service,
                      .state = decision::flows::UpstreamState::kReady,
                      .interval = Millis(200)},
                     AgentAddress(i), kNow);
  }
  return router;
}

// Makes `router` know `flows` flows, all held by the first agent.
void AddKnownFlows(decision::flows::FlowRouter& router, uint32_t flows) {
  decision::flows::RouterActions actions;
  for (uint32_t i = 0; i < flows; ++i) {
    router.OnAnswer({.flow = WithCaller(testing::Opening(), i).FromCaller(),
                     .holding = decision::flows::Holding::kHeld},
                    {}, AgentAddress(0), kNow, actions);
    actions.clear();
  }
}

// Returns a gate with `flows` open flows. Its connection limit is one above
// that, so that none is refused.
std::unique_ptr<decision::flows::UpstreamGate> MakeGate(uint32_t flows) {
  auto gate = std::make_unique<decision::flows::UpstreamGate>(
      decision::flows::GateOptions{.service = testing::kDesk,
                                   .first_start = true},
      kNow);
  settings::Tree tree;
  tree.services["desk"].overrides.connections = flows + 1;
  gate->SetRoutes(std::make_shared<const decision::flows::RouteTable>(
      kRevision, tree,
      std::vector<settings::Route>{{.name = "desk",
                                    .address = testing::kDeskRoute,
                                    .shares = {{"desk", 1}}}}));
  decision::flows::GateActions actions;
  gate->OnHeartbeat(testing::MakeHeartbeat(1), kNow, actions);
  for (uint32_t i = 0; i < flows; ++i) {
    gate->OnForward({.revision = kRevision}, WithCaller(testing::Opening(), i),
                    {.balancer = AgentAddress(0), .has_report = true}, kNow,
                    actions);
    flow::PacketHeader accepted = testing::Acceptance();
    accepted.destination = WithCaller(testing::Opening(), i).source;
    gate->OnUpstreamPacket("", accepted, kNow, actions);
    actions.clear();
  }
  return gate;
}

// For each size, measures the encoded bytes of the message `make(size)`.
template <class Make>
std::vector<Point> EncodedBytes(const Sizes& sizes, Make make) {
  std::vector<Point> points;
  for (uint32_t size : sizes) {
    std::string datagram = wire::EncodePacketMessage(make(size));
    points.push_back(
        {static_cast<double>(size), static_cast<double>(datagram.size())});
  }
  return points;
}

}  // namespace

Series RouterAgentMemory(const Sizes& agents) {
  return {"router_agent_memory", "agents", "bytes",
          HeapPoints(agents, &MakeRouter)};
}

Series RouterFlowMemory(const Sizes& flows) {
  return {"router_flow_memory", "flows", "bytes",
          HeapPoints(flows, [](uint32_t size) {
            auto router = MakeRouter(1);
            AddKnownFlows(*router, size);
            return router;
          })};
}

Series GateFlowMemory(const Sizes& flows) {
  return {"gate_flow_memory", "flows", "bytes", HeapPoints(flows, &MakeGate)};
}

Series RouterPacketTime(const Sizes& flows) {
  Series series{"router_packet_time", "flows", "us", {}};
  std::string packet(kPacketBytes, 'p');
  for (uint32_t size : flows) {
    auto router = MakeRouter(1);
    AddKnownFlows(*router, size);
    size_t sum = 0;
    decision::flows::RouterActions actions;
    double us = TimeCall(kTimedPackets, [&](uint32_t i) {
      router->OnCallerPacket(
          packet, WithCaller(testing::Data(1, 900), i % size), kNow, actions);
      sum +=
          wire::EncodePacketMessage(
              std::get<decision::flows::SendForward>(actions.front()).message)
              .size();
      actions.clear();
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

Series RouterOfferTime(const Sizes& agents) {
  constexpr uint32_t kTimedOffers = 2000;
  Series series{"router_offer_time", "agents", "us", {}};
  for (uint32_t size : agents) {
    auto router = MakeRouter(size);
    size_t sum = 0;
    decision::flows::RouterActions actions;
    double us = TimeCall(kTimedOffers, [&](uint32_t i) {
      router->OnCallerPacket("p", WithCaller(testing::Opening(), i), kNow,
                             actions);
      sum += actions.size();
      actions.clear();
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

Series GatePacketTime(const Sizes& flows) {
  Series series{"gate_packet_time", "flows", "us", {}};
  std::string packet(kPacketBytes, 'p');
  for (uint32_t size : flows) {
    auto gate = MakeGate(size);
    std::string datagram = wire::EncodePacketMessage(
        decision::flows::Forward{.revision = kRevision, .packet = packet});
    size_t sum = 0;
    decision::flows::GateActions actions;
    double us = TimeCall(kTimedPackets, [&](uint32_t i) {
      auto message = wire::DecodePacketMessage(datagram);
      gate->OnForward(std::get<decision::flows::Forward>(*message),
                      WithCaller(testing::Data(101, 0), i % size),
                      {.balancer = AgentAddress(0), .has_report = true}, kNow,
                      actions);
      sum += actions.size();
      actions.clear();
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

Series ReportBytes(const Sizes& loads) {
  return {"report_bytes", "load", "bytes",
          EncodedBytes(loads, [](uint32_t size) {
            return decision::flows::UpstreamReport{
                .load = {.in_flight = static_cast<uint16_t>(size)}};
          })};
}

Series HelloBytes(const Sizes& balancers) {
  return {"hello_bytes", "balancers named", "bytes",
          EncodedBytes(balancers, [](uint32_t size) {
            decision::flows::BalancerHello hello;
            for (uint32_t i = 0; i < size; ++i) {
              hello.balancers.push_back(AgentAddress(i));
            }
            return hello;
          })};
}

Series LocateBytes(const Sizes& flows) {
  return {"locate_bytes", "flows asked for", "bytes",
          EncodedBytes(flows, [](uint32_t size) {
            return decision::flows::Locate{
                std::vector<decision::flows::FlowQuestion>(size)};
          })};
}

}  // namespace filberthollow::measure
