#include "filberthollow/wire/control_codec.h"

#include <algorithm>

#include "filberthollow/wire/capnp_frame.h"
#include "filberthollow/wire/member_record_codec.h"
#include "filberthollow/wire/sealed.h"

namespace filberthollow::wire {
namespace {

using base::Value;
using decision::membership::GossipMessage;
using decision::membership::Suspicion;
using flow::Reason;
using internal::Read;
using internal::Write;

constexpr size_t kMaxNameBytes = 64;

void Write(const Suspicion& suspicion, generated::Suspicion::Builder out) {
  out.setMember(Value(suspicion.member));
  out.setIncarnation(Value(suspicion.incarnation));
  out.setSequence(suspicion.sequence);
  out.setObserver(Value(suspicion.observer));
}

Suspicion Read(generated::Suspicion::Reader in) {
  return {.member = decision::membership::MemberId{in.getMember()},
          .incarnation = base::Incarnation{in.getIncarnation()},
          .sequence = in.getSequence(),
          .observer = decision::membership::MemberId{in.getObserver()}};
}

void Write(const Heartbeat& m, generated::Control::Builder control) {
  auto out = control.initHeartbeat();
  Write(m.record, out.initRecord());
  out.setSettingsRevision(m.settings_revision);
  out.setDataCentre(m.data_centre);
  out.setTarget(m.target);
  out.setAdminPort(m.admin_port);
}

bool Read(generated::Heartbeat::Reader in, ControlMessage& out) {
  Heartbeat m;
  if (!Read(in.getRecord(), m.record) ||
      in.getDataCentre().size() > kMaxNameBytes ||
      in.getTarget().size() > kMaxNameBytes) {
    return false;
  }
  m.settings_revision = in.getSettingsRevision();
  m.data_centre = in.getDataCentre().cStr();
  m.target = in.getTarget().cStr();
  m.admin_port = in.getAdminPort();
  out = m;
  return true;
}

void Write(const HeartbeatAck& m, generated::Control::Builder control) {
  auto out = control.initHeartbeatAck();
  out.setMember(Value(m.member));
  out.setKnownIncarnation(Value(m.known_incarnation));
  out.setSuspected(m.suspected);
  out.setKeyEpoch(m.key_epoch);
  out.setIntervalMs(static_cast<uint16_t>(
      std::clamp<int64_t>(m.interval.count(), 0, UINT16_MAX)));
  out.setSettingsRevision(m.settings_revision);
  if (m.settings) {
    auto values = out.initSettings(settings::kFieldCount);
    for (unsigned i = 0; i < settings::kFieldCount; ++i) {
      values.set(i, (*m.settings).*settings::Fields().at(i).value);
    }
  }
}

bool Read(generated::HeartbeatAck::Reader in, ControlMessage& out) {
  HeartbeatAck m{
      .member = decision::membership::MemberId{in.getMember()},
      .known_incarnation = base::Incarnation{in.getKnownIncarnation()},
      .suspected = in.getSuspected(),
      .key_epoch = in.getKeyEpoch(),
      .interval = base::Millis(in.getIntervalMs()),
      .settings_revision = in.getSettingsRevision()};
  auto values = in.getSettings();
  if (values.size() == settings::kFieldCount) {
    m.settings.emplace();
    for (unsigned i = 0; i < settings::kFieldCount; ++i) {
      const settings::Field& field = settings::Fields().at(i);
      if (values[i] < field.min || values[i] > field.max) {
        return false;
      }
      (*m.settings).*field.value = values[i];
    }
  }
  out = m;
  return true;
}

void Write(const GossipMessage& m, generated::Control::Builder control) {
  auto out = control.initGossip();
  Write(m.sender, out.initSender());
  out.setRevision(m.revision);
  auto records = out.initRecords(static_cast<unsigned>(m.records.size()));
  for (unsigned i = 0; i < m.records.size(); ++i) {
    Write(m.records[i], records[i]);
  }
  auto suspicions =
      out.initSuspicions(static_cast<unsigned>(m.suspicions.size()));
  for (unsigned i = 0; i < m.suspicions.size(); ++i) {
    Write(m.suspicions[i], suspicions[i]);
  }
  if (m.group_digests) {
    auto groups = out.initGroups(decision::membership::kGroups);
    for (unsigned i = 0; i < decision::membership::kGroups; ++i) {
      groups.set(i, m.group_digests->at(i));
    }
  }
  if (m.bucket_group) {
    out.setGroup(static_cast<int32_t>(*m.bucket_group));
    auto buckets = out.initBuckets(decision::membership::kBucketsPerGroup);
    for (unsigned i = 0; i < decision::membership::kBucketsPerGroup; ++i) {
      buckets.set(i, m.bucket_digests.at(i));
    }
  }
  auto wanted =
      out.initWanted(static_cast<unsigned>(m.requested_buckets.size()));
  for (unsigned i = 0; i < m.requested_buckets.size(); ++i) {
    wanted.set(i, m.requested_buckets[i]);
  }
}

bool ReadDigests(generated::Gossip::Reader in, GossipMessage& m) {
  auto groups = in.getGroups();
  if (groups.size() == decision::membership::kGroups) {
    m.group_digests.emplace();
    for (unsigned i = 0; i < decision::membership::kGroups; ++i) {
      m.group_digests->at(i) = groups[i];
    }
  }
  if (in.getGroup() >= 0) {
    auto buckets = in.getBuckets();
    if (buckets.size() != decision::membership::kBucketsPerGroup) {
      return false;
    }
    m.bucket_group = static_cast<uint32_t>(in.getGroup());
    for (unsigned i = 0; i < decision::membership::kBucketsPerGroup; ++i) {
      m.bucket_digests.at(i) = buckets[i];
    }
  }
  return true;
}

bool Read(generated::Gossip::Reader in, ControlMessage& out) {
  GossipMessage m;
  if (!Read(in.getSender(), m.sender) || !ReadDigests(in, m) ||
      in.getRecords().size() > decision::membership::Gossip::kMaxRecords ||
      in.getSuspicions().size() >
          decision::membership::Gossip::kMaxSuspicions ||
      in.getWanted().size() > decision::membership::Gossip::kMaxBuckets) {
    return false;
  }
  m.revision = in.getRevision();
  for (auto record : in.getRecords()) {
    if (!Read(record, m.records.emplace_back())) {
      return false;
    }
  }
  for (auto suspicion : in.getSuspicions()) {
    m.suspicions.push_back(Read(suspicion));
  }
  for (uint32_t bucket : in.getWanted()) {
    m.requested_buckets.push_back(bucket);
  }
  out = std::move(m);
  return true;
}

bool ReadControl(generated::Control::Reader in, ControlMessage& out) {
  switch (in.which()) {
    case generated::Control::HEARTBEAT:
      return Read(in.getHeartbeat(), out);
    case generated::Control::HEARTBEAT_ACK:
      return Read(in.getHeartbeatAck(), out);
    case generated::Control::GOSSIP:
      return Read(in.getGossip(), out);
  }
  return false;
}

}  // namespace

std::string EncodeControl(const ControlMessage& message,
                          const flow::KeyRing& keys) {
  return SealPayload(internal::WriteFrame<generated::Control>(
                         [&message](generated::Control::Builder out) {
                           std::visit([out](const auto& m) { Write(m, out); },
                                      message);
                         }),
                     keys);
}

Decoded<ControlMessage> DecodeControl(std::string_view datagram,
                                      const flow::KeyRing& keys) {
  auto payload = OpenSealed(datagram, keys);
  if (!payload) {
    return Reason::kUnsealed;
  }
  ControlMessage message;
  bool valid = internal::ReadFrame<generated::Control>(
      *payload, [&message](auto in) { return ReadControl(in, message); });
  return valid ? Decoded<ControlMessage>(std::move(message))
               : Reason::kMalformed;
}

}  // namespace filberthollow::wire
