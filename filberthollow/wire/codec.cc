#include "filberthollow/wire/codec.h"

#include <algorithm>

#include "filberthollow/wire/capnp_frame.h"
#include "filberthollow/wire/generated/flow.capnp.h"
#include "filberthollow/wire/sealed.h"

namespace filberthollow::wire {
namespace {

using base::Millis;
using base::Value;
using flow::Reason;
using internal::ReadFrame;
using internal::WriteFrame;

constexpr int64_t kMaxTimeLeftMs = 3'600'000;

capnp::Data::Reader DataOf(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string StringOf(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

uint32_t ClampMillis(Millis millis) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(millis.count(), 0, kMaxTimeLeftMs));
}

void Write(const flow::FlowToken& token, generated::Token::Builder out) {
  out.setService(Value(token.service));
  out.setIncarnation(Value(token.incarnation));
  out.setFlow(Value(token.flow));
  out.setMac(token.mac);
  out.setAgentIp(token.agent.ip);
  out.setAgentPort(token.agent.port);
  out.setEpoch(token.epoch);
}

flow::FlowToken Read(generated::Token::Reader in) {
  return {.service = base::ServiceId{in.getService()},
          .incarnation = base::Incarnation{in.getIncarnation()},
          .agent = {in.getAgentIp(), in.getAgentPort()},
          .flow = base::FlowId{in.getFlow()},
          .epoch = in.getEpoch(),
          .mac = in.getMac()};
}

// Writers of the alternatives of Up.
void Write(const flow::Open& m, generated::Up::Builder up) {
  auto out = up.initOpen();
  out.setService(Value(m.service));
  out.setNonce(m.nonce);
  out.setAvoid(Value(m.avoid));
  out.setAttempt(m.attempt);
  out.initPadding(kMinOpenBytes);
}

void Write(const flow::Request& m, generated::Up::Builder up) {
  auto out = up.initRequest();
  Write(m.token, out.initToken());
  out.setSeq(Value(m.seq));
  out.setSettledBelow(Value(m.settled_below));
  out.setTimeLeftMs(ClampMillis(m.time_left));
  out.setAttempt(m.attempt);
  out.setMethod(static_cast<uint8_t>(m.method));
  out.setIdempotent(m.idempotent);
  out.setPath(m.path);
  out.setBody(DataOf(m.body));
}

void Write(const flow::Fetch& m, generated::Up::Builder up) {
  auto out = up.initFetch();
  Write(m.token, out.initToken());
  out.setSeq(Value(m.seq));
  out.setFirstPart(m.first_part);
  out.setParts(m.parts);
}

void Write(const flow::Cancel& m, generated::Up::Builder up) {
  auto out = up.initCancel();
  Write(m.token, out.initToken());
  out.setSeq(Value(m.seq));
}

void Write(const flow::Close& m, generated::Up::Builder up) {
  Write(m.token, up.initClose());
}

// Writers of the alternatives of Down.
void Write(const flow::Opened& m, generated::Down::Builder down) {
  auto out = down.initOpened();
  out.setNonce(m.nonce);
  Write(m.token, out.initToken());
}

void Write(const flow::Accepted& m, generated::Down::Builder down) {
  auto out = down.initAccepted();
  out.setFlow(Value(m.flow));
  out.setSeq(Value(m.seq));
}

void Write(const flow::Part& m, generated::Down::Builder down) {
  auto out = down.initPart();
  out.setFlow(Value(m.flow));
  out.setSeq(Value(m.seq));
  out.setSize(m.size);
  out.setChecksum(m.checksum);
  out.setPart(m.part);
  out.setStatus(m.status);
  out.setBytes(DataOf(m.bytes));
}

void Write(const flow::Refusal& m, generated::Down::Builder down) {
  auto out = down.initRefusal();
  out.setNonce(m.nonce);
  out.setFlow(Value(m.flow));
  out.setSeq(Value(m.seq));
  out.setRetryAfterMs(ClampMillis(m.retry_after));
  out.setReason(static_cast<uint8_t>(m.reason));
  out.setFate(static_cast<uint8_t>(m.run_state));
}

template <class Variant, class Builder>
void WriteKind(const Variant& message, Builder out) {
  std::visit([&out](const auto& m) { Write(m, out); }, message);
}

// Readers return false for values that a valid sender never produces.
bool ReadRequest(generated::Request::Reader in, flow::Up& up) {
  auto body = in.getBody();
  auto path = in.getPath();
  if (body.size() > flow::kMaxBodyBytes || path.size() > flow::kMaxPathBytes ||
      body.size() + path.size() > flow::kMaxRequestBytes ||
      in.getMethod() > static_cast<uint8_t>(flow::Method::kDelete) ||
      in.getTimeLeftMs() > kMaxTimeLeftMs) {
    return false;
  }
  up = flow::Request{.token = Read(in.getToken()),
                     .seq = base::RequestSeq{in.getSeq()},
                     .settled_below = base::RequestSeq{in.getSettledBelow()},
                     .attempt = in.getAttempt(),
                     .idempotent = in.getIdempotent(),
                     .time_left = Millis(in.getTimeLeftMs()),
                     .method = static_cast<flow::Method>(in.getMethod()),
                     .path = path.cStr(),
                     .body = StringOf(body)};
  return true;
}

bool ReadUp(generated::Up::Reader in, flow::Up& up) {
  switch (in.which()) {
    case generated::Up::OPEN: {
      auto open = in.getOpen();
      up = flow::Open{.service = base::ServiceId{open.getService()},
                      .nonce = open.getNonce(),
                      .attempt = open.getAttempt(),
                      .avoid = base::Incarnation{open.getAvoid()}};
      return true;
    }
    case generated::Up::REQUEST:
      return ReadRequest(in.getRequest(), up);
    case generated::Up::FETCH: {
      auto fetch = in.getFetch();
      up = flow::Fetch{.token = Read(fetch.getToken()),
                       .seq = base::RequestSeq{fetch.getSeq()},
                       .first_part = fetch.getFirstPart(),
                       .parts = fetch.getParts()};
      return fetch.getParts() <= flow::kMaxFetchParts &&
             fetch.getFirstPart() <= flow::kMaxAnswerBytes / flow::kPartBytes;
    }
    case generated::Up::CANCEL: {
      auto cancel = in.getCancel();
      up = flow::Cancel{.token = Read(cancel.getToken()),
                        .seq = base::RequestSeq{cancel.getSeq()}};
      return true;
    }
    case generated::Up::CLOSE:
      up = flow::Close{.token = Read(in.getClose())};
      return true;
  }
  return false;
}

bool ReadPart(generated::Part::Reader in, flow::Down& down) {
  if (in.getBytes().size() > flow::kPartBytes ||
      in.getSize() > flow::kMaxAnswerBytes ||
      in.getPart() >= flow::PartCount(in.getSize())) {
    return false;
  }
  down = flow::Part{.flow = base::FlowId{in.getFlow()},
                    .seq = base::RequestSeq{in.getSeq()},
                    .status = in.getStatus(),
                    .part = in.getPart(),
                    .size = in.getSize(),
                    .checksum = in.getChecksum(),
                    .bytes = StringOf(in.getBytes())};
  return true;
}

bool ReadRefusal(generated::Refusal::Reader in, flow::Down& down) {
  if (!flow::IsReason(in.getReason()) ||
      in.getFate() > static_cast<uint8_t>(flow::RunState::kUnknown)) {
    return false;
  }
  down = flow::Refusal{.nonce = in.getNonce(),
                       .flow = base::FlowId{in.getFlow()},
                       .seq = base::RequestSeq{in.getSeq()},
                       .reason = static_cast<Reason>(in.getReason()),
                       .run_state = static_cast<flow::RunState>(in.getFate()),
                       .retry_after = Millis(in.getRetryAfterMs())};
  return true;
}

bool ReadDown(generated::Down::Reader in, flow::Down& down) {
  switch (in.which()) {
    case generated::Down::OPENED:
      down = flow::Opened{.nonce = in.getOpened().getNonce(),
                          .token = Read(in.getOpened().getToken())};
      return true;
    case generated::Down::ACCEPTED:
      down = flow::Accepted{.flow = base::FlowId{in.getAccepted().getFlow()},
                            .seq = base::RequestSeq{in.getAccepted().getSeq()}};
      return true;
    case generated::Down::PART:
      return ReadPart(in.getPart(), down);
    case generated::Down::REFUSAL:
      return ReadRefusal(in.getRefusal(), down);
  }
  return false;
}

void WriteCaller(base::Address caller, generated::Relay::Builder out) {
  out.setCallerIp(caller.ip);
  out.setCallerPort(caller.port);
}

base::Address ReadCaller(generated::Relay::Reader in) {
  return {in.getCallerIp(), in.getCallerPort()};
}

}  // namespace

std::string EncodeUp(const flow::Up& message) {
  return WriteFrame<generated::Up>(
      [&](generated::Up::Builder out) { WriteKind(message, out); });
}

Decoded<flow::Up> DecodeUp(std::string_view datagram) {
  if (datagram.size() > kMaxDatagramBytes) {
    return Reason::kOversized;
  }
  flow::Up up;
  if (!ReadFrame<generated::Up>(datagram,
                                [&](auto in) { return ReadUp(in, up); })) {
    return Reason::kMalformed;
  }
  if (std::holds_alternative<flow::Open>(up) &&
      datagram.size() < kMinOpenBytes) {
    return Reason::kTooShortOpen;
  }
  return up;
}

std::string EncodeDown(const flow::Down& message) {
  return WriteFrame<generated::Down>(
      [&](generated::Down::Builder out) { WriteKind(message, out); });
}

Decoded<flow::Down> DecodeDown(std::string_view datagram) {
  if (datagram.size() > kMaxDatagramBytes) {
    return Reason::kOversized;
  }
  flow::Down down;
  if (!ReadFrame<generated::Down>(
          datagram, [&](auto in) { return ReadDown(in, down); })) {
    return Reason::kMalformed;
  }
  return down;
}

std::string EncodeRelayedUp(const flow::RelayedUp& message,
                            const flow::KeyRing& keys) {
  return SealPayload(
      WriteFrame<generated::Relay>([&](generated::Relay::Builder out) {
        WriteCaller(message.caller, out);
        out.setFlow(Value(message.flow));
        WriteKind(message.message, out.initUp());
      }),
      keys);
}

std::string EncodeRelayedDown(const flow::RelayedDown& message,
                              const flow::KeyRing& keys) {
  return SealPayload(
      WriteFrame<generated::Relay>([&](generated::Relay::Builder out) {
        WriteCaller(message.caller, out);
        out.setLoad(static_cast<uint16_t>(
            std::min<uint32_t>(message.load, UINT16_MAX)));
        WriteKind(message.message, out.initDown());
      }),
      keys);
}

Decoded<flow::RelayedUp> DecodeRelayedUp(std::string_view datagram,
                                         const flow::KeyRing& keys) {
  auto payload = OpenSealed(datagram, keys);
  if (!payload) {
    return Reason::kUnsealed;
  }
  flow::RelayedUp relayed;
  bool valid = ReadFrame<generated::Relay>(*payload, [&](auto in) {
    relayed.caller = ReadCaller(in);
    relayed.flow = base::FlowId{in.getFlow()};
    return in.isUp() && ReadUp(in.getUp(), relayed.message);
  });
  return valid ? Decoded<flow::RelayedUp>(relayed) : Reason::kMalformed;
}

Decoded<flow::RelayedDown> DecodeRelayedDown(std::string_view datagram,
                                             const flow::KeyRing& keys) {
  auto payload = OpenSealed(datagram, keys);
  if (!payload) {
    return Reason::kUnsealed;
  }
  flow::RelayedDown relayed;
  bool valid = ReadFrame<generated::Relay>(*payload, [&](auto in) {
    relayed.caller = ReadCaller(in);
    relayed.load = in.getLoad();
    return in.isDown() && ReadDown(in.getDown(), relayed.message);
  });
  return valid ? Decoded<flow::RelayedDown>(relayed) : Reason::kMalformed;
}

}  // namespace filberthollow::wire
