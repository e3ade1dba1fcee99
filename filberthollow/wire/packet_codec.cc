#include "filberthollow/wire/packet_codec.h"

#include <algorithm>

#include "filberthollow/wire/capnp_frame.h"
#include "filberthollow/wire/generated/packets.capnp.h"

namespace filberthollow::wire {
namespace {

using base::Value;
using decision::flows::BalancerHello;
using decision::flows::FlowAnswer;
using decision::flows::Forward;
using decision::flows::kMaxFlowsPerLocate;
using decision::flows::kMaxKnownAgents;
using decision::flows::KnownAgents;
using decision::flows::Locate;
using decision::flows::Located;
using decision::flows::UpstreamReport;
using decision::load::UpstreamLoad;
using decision::membership::EvacuationList;
using decision::membership::kMaxDataCentreBytes;
using decision::membership::kMaxEvacuations;

using Builder = generated::PacketMessage::Builder;

capnp::Data::Reader DataOf(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string StringOf(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

template <class Builder>
void WriteEnds(const flow::FlowEnds& flow, Builder out) {
  out.setCallerIp(flow.caller.ip);
  out.setCallerPort(flow.caller.port);
  out.setRouteIp(flow.route.ip);
  out.setRoutePort(flow.route.port);
}

template <class Reader>
flow::FlowEnds ReadEnds(Reader in) {
  return {{in.getCallerIp(), in.getCallerPort()},
          {in.getRouteIp(), in.getRoutePort()}};
}

void Write(const UpstreamLoad& load, generated::UpstreamLoad::Builder out) {
  out.setSlots(load.slots);
  out.setBusy(load.in_flight);
  out.setOpen(load.open_flows);
  out.setBusyMean(load.in_flight_mean);
  out.setColdMs(load.cold_ms);
  out.setOpeningsLeft(load.openings_left);
  out.setWorkAgeMs(load.work_age_ms);
  out.setWorkUs(load.work_us);
}

UpstreamLoad Read(generated::UpstreamLoad::Reader in) {
  return {.slots = in.getSlots(),
          .in_flight = in.getBusy(),
          .open_flows = in.getOpen(),
          .in_flight_mean = in.getBusyMean(),
          .cold_ms = in.getColdMs(),
          .openings_left = in.getOpeningsLeft(),
          .work_age_ms = in.getWorkAgeMs(),
          .work_us = in.getWorkUs()};
}

// Returns how many names of the list are sent.
uint32_t SentNames(const EvacuationList& list) {
  return static_cast<uint32_t>(
      std::min(list.data_centres.size(), kMaxEvacuations));
}

void Write(const EvacuationList& list, generated::EvacuationList::Builder out) {
  out.setRevision(list.revision);
  uint32_t count = SentNames(list);
  auto names = out.initDataCentres(count);
  for (uint32_t i = 0; i < count; ++i) {
    names.set(i, list.data_centres[i]);
  }
}

bool Read(generated::EvacuationList::Reader in, EvacuationList& out) {
  out.revision = in.getRevision();
  if (in.getDataCentres().size() > kMaxEvacuations) {
    return false;
  }
  for (auto name : in.getDataCentres()) {
    if (name.size() > kMaxDataCentreBytes) {
      return false;
    }
    out.data_centres.emplace_back(name.begin(), name.size());
  }
  return true;
}

void Write(const Forward& m, Builder message) {
  auto out = message.initForward();
  out.setRevision(m.revision);
  out.setGuess(m.probe);
  out.setService(Value(m.service));
  out.setPacket(DataOf(m.packet));
}

bool Read(generated::Forward::Reader in, PacketMessage& out) {
  out = Forward{.revision = in.getRevision(),
                .probe = in.getGuess(),
                .service = base::ServiceId{in.getService()},
                .packet = StringOf(in.getPacket())};
  return true;
}

void Write(const Locate& m, Builder message) {
  auto count =
      static_cast<uint32_t>(std::min(m.flows.size(), kMaxFlowsPerLocate));
  auto flows = message.initLocate().initFlows(count);
  for (uint32_t i = 0; i < count; ++i) {
    WriteEnds(m.flows[i].flow, flows[i]);
    flows[i].setAcknowledged(m.flows[i].acknowledged);
  }
}

bool Read(generated::Locate::Reader in, PacketMessage& out) {
  Locate locate;
  for (auto flow : in.getFlows()) {
    locate.flows.push_back({ReadEnds(flow), flow.getAcknowledged()});
  }
  bool valid = locate.flows.size() <= kMaxFlowsPerLocate;
  out = std::move(locate);
  return valid;
}

void Write(const Located& m, Builder message) {
  auto out = message.initLocated();
  Write(m.load, out.initLoad());
  auto count =
      static_cast<uint32_t>(std::min(m.flows.size(), kMaxFlowsPerLocate));
  auto flows = out.initFlows(count);
  for (uint32_t i = 0; i < count; ++i) {
    WriteEnds(m.flows[i].flow, flows[i]);
    flows[i].setHolding(static_cast<uint8_t>(m.flows[i].holding));
  }
}

bool Read(generated::Located::Reader in, PacketMessage& out) {
  Located located{.load = Read(in.getLoad())};
  for (auto flow : in.getFlows()) {
    if (flow.getHolding() >
        static_cast<uint8_t>(decision::flows::Holding::kUnsure)) {
      return false;
    }
    located.flows.push_back(
        {ReadEnds(flow),
         static_cast<decision::flows::Holding>(flow.getHolding())});
  }
  bool valid = located.flows.size() <= kMaxFlowsPerLocate;
  out = std::move(located);
  return valid;
}

void Write(const FlowAnswer& m, Builder message) {
  auto out = message.initAnswer();
  WriteEnds(m.flow, out.initFlow());
  Write(m.load, out.initLoad());
  out.setHolding(static_cast<uint8_t>(m.holding));
  out.setReason(static_cast<uint8_t>(m.reason));
  out.setPacket(DataOf(m.packet));
}

bool Read(generated::FlowAnswer::Reader in, PacketMessage& out) {
  if (in.getHolding() >
          static_cast<uint8_t>(decision::flows::Holding::kRefused) ||
      !flow::IsReason(in.getReason())) {
    return false;
  }
  out = FlowAnswer{
      .flow = ReadEnds(in.getFlow()),
      .holding = static_cast<decision::flows::Holding>(in.getHolding()),
      .reason = static_cast<flow::Reason>(in.getReason()),
      .load = Read(in.getLoad()),
      .packet = StringOf(in.getPacket())};
  return true;
}

void Write(const UpstreamReport& m, Builder message) {
  auto out = message.initReport();
  out.setService(Value(m.service));
  out.setDataCentre(m.data_centre);
  out.setRun(m.run);
  out.setState(static_cast<uint8_t>(m.state));
  out.setSilent(m.silent);
  Write(m.load, out.initLoad());
  out.setRevision(m.revision);
  out.setIntervalMs(static_cast<uint16_t>(
      std::clamp<int64_t>(m.interval.count(), 0, UINT16_MAX)));
  out.setLeaving(m.leaving);
  out.setConfirmation(static_cast<uint8_t>(m.confirmation));
  out.setEvacuationRevision(m.evacuation_revision);
  if (m.evacuations.revision > 0) {
    Write(m.evacuations, out.initEvacuations());
  }
}

bool Read(generated::UpstreamReport::Reader in, PacketMessage& out) {
  if (in.getState() >
          static_cast<uint8_t>(decision::flows::UpstreamState::kGone) ||
      in.getConfirmation() >
          static_cast<uint8_t>(
              decision::flows::ReportConfirmation::kReceived)) {
    return false;
  }
  UpstreamReport report{
      .service = base::ServiceId{in.getService()},
      .data_centre = in.getDataCentre(),
      .run = in.getRun(),
      .state = static_cast<decision::flows::UpstreamState>(in.getState()),
      .silent = in.getSilent(),
      .load = Read(in.getLoad()),
      .revision = in.getRevision(),
      .interval = base::Millis(in.getIntervalMs()),
      .leaving = in.getLeaving(),
      .confirmation = static_cast<decision::flows::ReportConfirmation>(
          in.getConfirmation()),
      .evacuation_revision = in.getEvacuationRevision()};
  bool valid = Read(in.getEvacuations(), report.evacuations);
  out = std::move(report);
  return valid;
}

void Write(const BalancerHello& m, Builder message) {
  auto out = message.initHello();
  out.setRevision(m.revision);
  out.setLeaving(m.leaving);
  out.setRun(m.run);
  out.setNewcomerIp(m.newcomer.ip);
  out.setNewcomerPort(m.newcomer.port);
  out.setConfirmsReport(m.confirms_report);
  out.setTakesTurns(m.takes_turns);
  if (m.evacuations.revision > 0) {
    Write(m.evacuations, out.initEvacuations());
  }
  auto count =
      static_cast<uint32_t>(std::min(m.balancers.size(), kMaxHelloBalancers));
  auto ips = out.initBalancerIps(count);
  auto ports = out.initBalancerPorts(count);
  for (uint32_t i = 0; i < count; ++i) {
    ips.set(i, m.balancers[i].ip);
    ports.set(i, m.balancers[i].port);
  }
}

bool Read(generated::BalancerHello::Reader in, PacketMessage& out) {
  auto ips = in.getBalancerIps();
  auto ports = in.getBalancerPorts();
  if (ips.size() != ports.size() || ips.size() > kMaxHelloBalancers) {
    return false;
  }
  BalancerHello hello{.revision = in.getRevision(),
                      .run = in.getRun(),
                      .leaving = in.getLeaving(),
                      .newcomer = {in.getNewcomerIp(), in.getNewcomerPort()},
                      .confirms_report = in.getConfirmsReport(),
                      .takes_turns = in.getTakesTurns()};
  for (uint32_t i = 0; i < ips.size(); ++i) {
    hello.balancers.push_back({ips[i], ports[i]});
  }
  bool valid = Read(in.getEvacuations(), hello.evacuations);
  out = std::move(hello);
  return valid;
}

void Write(const KnownAgents& m, Builder message) {
  auto count =
      static_cast<uint32_t>(std::min(m.agents.size(), kMaxKnownAgents));
  auto agents = message.initKnown().initAgents(count);
  for (uint32_t i = 0; i < count; ++i) {
    agents[i].setIp(m.agents[i].agent.ip);
    agents[i].setPort(m.agents[i].agent.port);
    agents[i].setService(Value(m.agents[i].service));
    agents[i].setLeaving(m.agents[i].leaving);
    agents[i].setHeardAgoMs(static_cast<uint32_t>(
        std::clamp<int64_t>(m.agents[i].heard_ago.count(), 0, UINT32_MAX)));
  }
}

bool Read(generated::KnownAgents::Reader in, PacketMessage& out) {
  if (in.getAgents().size() > kMaxKnownAgents) {
    return false;
  }
  KnownAgents known;
  for (auto agent : in.getAgents()) {
    known.agents.push_back({.agent = {agent.getIp(), agent.getPort()},
                            .service = base::ServiceId{agent.getService()},
                            .leaving = agent.getLeaving(),
                            .heard_ago = base::Millis(agent.getHeardAgoMs())});
  }
  out = std::move(known);
  return true;
}

bool ReadMessage(generated::PacketMessage::Reader in, PacketMessage& out) {
  switch (in.which()) {
    case generated::PacketMessage::FORWARD:
      return Read(in.getForward(), out);
    case generated::PacketMessage::LOCATE:
      return Read(in.getLocate(), out);
    case generated::PacketMessage::ANSWER:
      return Read(in.getAnswer(), out);
    case generated::PacketMessage::REPORT:
      return Read(in.getReport(), out);
    case generated::PacketMessage::HELLO:
      return Read(in.getHello(), out);
    case generated::PacketMessage::LOCATED:
      return Read(in.getLocated(), out);
    case generated::PacketMessage::KNOWN:
      return Read(in.getKnown(), out);
  }
  return false;  // message type of a newer release
}

}  // namespace

std::string EncodePacketMessage(const PacketMessage& message) {
  return internal::WriteFrame<generated::PacketMessage>([&](Builder builder) {
    std::visit([&](const auto& m) { Write(m, builder); }, message);
  });
}

Decoded<PacketMessage> DecodePacketMessage(std::string_view datagram) {
  PacketMessage message;
  bool valid = internal::ReadFrame<generated::PacketMessage>(
      datagram, [&](generated::PacketMessage::Reader reader) {
        return ReadMessage(reader, message);
      });
  if (!valid) {
    return flow::Reason::kMalformed;
  }
  return message;
}

}  // namespace filberthollow::wire
