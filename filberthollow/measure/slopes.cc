#include "filberthollow/measure/slopes.h"

#include <memory>

#include "filberthollow/decision/flows/target_flows.h"
#include "filberthollow/decision/flows/view_builder.h"
#include "filberthollow/decision/membership/gossip.h"
#include "filberthollow/measure/fixtures.h"
#include "filberthollow/settings/tree_json.h"
#include "filberthollow/wire/control_codec.h"
#include "filberthollow/wire/peer_codec.h"

namespace filberthollow::measure {

using internal::HeapPoints;
using internal::Keys;
using internal::kSeed;
using internal::ServiceName;
using internal::TargetRecord;
using internal::TimeCall;

namespace {

using base::Millis;
using decision::membership::MemberRecord;

decision::membership::Directory MakeDirectory(uint32_t records) {
  decision::membership::Directory directory;
  for (uint32_t i = 0; i < records; ++i) {
    directory.Merge(TargetRecord(i));
  }
  return directory;
}

settings::Tree MakeTree(uint32_t targets) {
  settings::Tree tree;
  tree.root.slots = 4;
  for (uint32_t i = 0; i < targets; ++i) {
    settings::ServiceNode& service = tree.services[ServiceName(i)];
    service.overrides.connections = 4000;
    std::string data_centre = "data-centre-" + std::to_string(i % 8);
    std::string target = "target-" + std::to_string(i);
    service.data_centres[data_centre].targets[target].weight = 100;
  }
  return tree;
}

std::unique_ptr<decision::flows::TargetFlows> MakeFlows(uint32_t count) {
  decision::flows::TargetIdentity identity{.service = base::ServiceId{1},
                                           .target = base::TargetId{2},
                                           .incarnation = base::Incarnation{3},
                                           .agent = {1, 1}};
  decision::flows::TargetLimits limits{.connections = count,
                                       .flows_per_caller = count};
  auto flows =
      std::make_unique<decision::flows::TargetFlows>(identity, limits, Keys());
  flows->SetReadiness(decision::flows::Readiness::kReady);
  for (uint32_t i = 0; i < count; ++i) {
    base::Address caller{0x0b000000 + i, 4000};
    flow::Open open{.service = identity.service, .nonce = i + 1};
    auto opened = flows->OnMessage({caller, base::FlowId{i + 1}, open},
                                   {caller, {}}, Millis(0));
    const auto& token =
        std::get<flow::Opened>(opened.sends[0].message.message).token;
    // A flow in use keeps its last answered request in the ledger; without it
    // the measured memory would be too small.
    flow::Request request{.token = token,
                          .seq = base::RequestSeq{1},
                          .time_left = Millis(1000),
                          .path = "/sheet"};
    flows->OnMessage({caller, token.flow, request}, {caller, {}}, Millis(0));
    flows->OnResult({{token.flow, request.seq},
                     decision::flows::UpstreamResult::kAnswered,
                     200,
                     std::string(200, 'x')},
                    Millis(1));
  }
  return flows;
}

}  // namespace

Series DirectoryMemory(const Sizes& records) {
  return {"directory_memory", "records", "bytes",
          HeapPoints(records, &MakeDirectory)};
}

Series FlowMemory(const Sizes& flows) {
  return {"flow_memory", "flows", "bytes", HeapPoints(flows, &MakeFlows)};
}

Series TreeMemory(const Sizes& targets) {
  return {"tree_memory", "targets", "bytes", HeapPoints(targets, &MakeTree)};
}

Series ViewMemory(const Sizes& targets) {
  return {"view_memory", "targets", "bytes",
          HeapPoints(targets, [](uint32_t size) {
            return decision::flows::BuildView(MakeDirectory(size),
                                              MakeTree(size), {});
          })};
}

Series SnapshotBytes(const Sizes& records) {
  Series series{"snapshot_bytes", "records", "bytes", {}};
  for (uint32_t size : records) {
    wire::Snapshot snapshot;
    for (uint32_t i = 0; i < size; ++i) {
      snapshot.records.push_back(TargetRecord(i));
    }
    settings::Tree tree = MakeTree(size);
    for (const auto& [name, node] : tree.services) {
      snapshot.objects.push_back({platform::kServicePrefix + name, 1,
                                  settings::ServiceJson(node).dump()});
    }
    series.points.push_back(
        {static_cast<double>(size),
         static_cast<double>(wire::EncodeSnapshot(snapshot, Keys()).size())});
  }
  return series;
}

Series ServiceObjectBytes(const Sizes& targets) {
  Series series{"service_object_bytes", "targets", "bytes", {}};
  for (uint32_t size : targets) {
    settings::ServiceNode service;
    for (uint32_t i = 0; i < size; ++i) {
      std::string data_centre = "data-centre-" + std::to_string(i % 8);
      service.data_centres[data_centre]
          .targets["target-" + std::to_string(i)]
          .weight = 100;
    }
    series.points.push_back(
        {static_cast<double>(size),
         static_cast<double>(settings::ServiceJson(service).dump().size())});
  }
  return series;
}

Series HeartbeatBytes(const Sizes& name_lengths) {
  Series series{"heartbeat_bytes", "bytes of names", "bytes", {}};
  for (uint32_t length : name_lengths) {
    std::string name(length / 2, 'n');
    size_t heartbeat =
        wire::EncodeControl(wire::Heartbeat{TargetRecord(0), 1, name, name, 80},
                            Keys())
            .size();
    size_t ack = wire::EncodeControl(wire::HeartbeatAck{}, Keys()).size();
    series.points.push_back(
        {static_cast<double>(length), static_cast<double>(heartbeat + ack)});
  }
  return series;
}

Series ViewBuildTime(const Sizes& targets) {
  Series series{"view_build_time", "targets", "us", {}};
  for (uint32_t size : targets) {
    decision::membership::Directory directory = MakeDirectory(size);
    settings::Tree tree = MakeTree(size);
    size_t sum = 0;
    double us = TimeCall(20, [&](uint32_t /*i*/) {
      sum += decision::flows::BuildView(directory, tree, {}).services.size();
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

Series RouteTime(const Sizes& targets) {
  Series series{"route_time", "targets", "us", {}};
  for (uint32_t size : targets) {
    decision::flows::Router router(Keys());
    router.SetView(
        decision::flows::BuildView(MakeDirectory(size), MakeTree(size), {}));
    base::Address caller{1, 2};
    flow::FlowToken token =
        Keys().Sign({.service = base::ServiceIdOf(ServiceName(0)),
                     .incarnation = base::Incarnation{1000},
                     .agent = {3, 4},
                     .flow = base::FlowId{5}},
                    caller);
    std::string datagram = wire::EncodeUp(flow::Request{
        .token = token, .seq = base::RequestSeq{1}, .path = "/sheet?tag=1-1"});
    size_t sum = 0;
    double us = TimeCall(100'000, [&](uint32_t i) {
      auto up = wire::DecodeUp(datagram);
      auto route = router.RouteMessage(*up, caller, Millis(i));
      const auto& forward = std::get<decision::flows::ForwardToAgent>(route);
      sum += wire::EncodeRelayedUp({caller, forward.flow, *up}, Keys()).size();
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

Series HeartbeatTime(const Sizes& targets) {
  Series series{"heartbeat_time", "targets", "us", {}};
  for (uint32_t size : targets) {
    MemberRecord self{.id = decision::membership::MemberId{1},
                      .kind = decision::membership::MemberKind::kBalancer,
                      .address = {1, 1}};
    decision::membership::Gossip gossip(self, kSeed);
    decision::membership::Observer observer(self.id);
    for (uint32_t i = 0; i < size; ++i) {
      gossip.LearnWithoutSpreading(TargetRecord(i));
    }
    std::string datagram = wire::EncodeControl(
        wire::Heartbeat{TargetRecord(0), 1, "data-centre-1", "target-1", 80},
        Keys());
    size_t sum = 0;
    double us = TimeCall(50'000, [&](uint32_t i) {
      auto message = wire::DecodeControl(datagram, Keys());
      const auto& heartbeat = std::get<wire::Heartbeat>(*message);
      observer.OnHeartbeat(heartbeat.record, Millis(i));
      gossip.Learn(heartbeat.record);
      sum += wire::EncodeControl(
                 wire::HeartbeatAck{.member = heartbeat.record.id}, Keys())
                 .size();
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

Series GossipMessageTime(const Sizes& targets) {
  Series series{"gossip_message_time", "targets", "us", {}};
  for (uint32_t size : targets) {
    MemberRecord self{.id = decision::membership::MemberId{1},
                      .kind = decision::membership::MemberKind::kBalancer,
                      .address = {1, 1}};
    decision::membership::Gossip gossip(self, kSeed);
    for (uint32_t i = 0; i < size; ++i) {
      gossip.LearnWithoutSpreading(TargetRecord(i));
    }
    MemberRecord peer = self;
    peer.id = decision::membership::MemberId{2};
    peer.address = {2, 2};
    decision::membership::GossipMessage message{.sender = peer};
    for (uint32_t i = 0; i < decision::membership::Gossip::kMaxRecords; ++i) {
      message.records.push_back(TargetRecord(i));
    }
    message.group_digests = decision::membership::GroupDigests{};
    std::string datagram = wire::EncodeControl(message, Keys());
    size_t sum = 0;
    double us = TimeCall(20'000, [&](uint32_t /*i*/) {
      auto received = wire::DecodeControl(datagram, Keys());
      for (const decision::membership::GossipSend& send : gossip.OnMessage(
               std::get<decision::membership::GossipMessage>(*received),
               peer.address)) {
        sum += wire::EncodeControl(send.message, Keys()).size();
      }
    });
    series.points.push_back({static_cast<double>(size), sum == 0 ? 0 : us});
  }
  return series;
}

}  // namespace filberthollow::measure
