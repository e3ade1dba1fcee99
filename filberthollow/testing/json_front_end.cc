#include "filberthollow/testing/json_front_end.h"

#include <nlohmann/json.hpp>

namespace filberthollow::testing {
namespace {

using base::Value;
using nlohmann::json;

json EncodeToken(const flow::FlowToken& t) {
  return {Value(t.service),
          Value(t.incarnation),
          t.agent.ip,
          t.agent.port,
          Value(t.flow),
          t.epoch,
          t.mac};
}

flow::FlowToken DecodeToken(const json& j) {
  return {.service = base::ServiceId{j[0]},
          .incarnation = base::Incarnation{j[1]},
          .agent = {j[2], j[3]},
          .flow = base::FlowId{j[4]},
          .epoch = j[5],
          .mac = j[6]};
}

json ToJson(const flow::Open& m) {
  return {"open", Value(m.service), m.nonce, m.attempt, Value(m.avoid)};
}
json ToJson(const flow::Request& m) {
  return {"request",
          EncodeToken(m.token),
          Value(m.seq),
          Value(m.settled_below),
          m.attempt,
          m.idempotent,
          m.time_left.count(),
          static_cast<int>(m.method),
          m.path,
          m.body};
}
json ToJson(const flow::Fetch& m) {
  return {"fetch", EncodeToken(m.token), Value(m.seq), m.first_part, m.parts};
}
json ToJson(const flow::Cancel& m) {
  return {"cancel", EncodeToken(m.token), Value(m.seq)};
}
json ToJson(const flow::Close& m) {
  return {"close", EncodeToken(m.token)};
}
json ToJson(const flow::Opened& m) {
  return {"opened", m.nonce, EncodeToken(m.token)};
}
json ToJson(const flow::Accepted& m) {
  return {"accepted", Value(m.flow), Value(m.seq)};
}
json ToJson(const flow::Part& m) {
  return {"part", Value(m.flow), Value(m.seq), m.status,
          m.part, m.size,        m.checksum,   m.bytes};
}
json ToJson(const flow::Refusal& m) {
  return {"refusal",
          m.nonce,
          Value(m.flow),
          Value(m.seq),
          static_cast<int>(m.reason),
          static_cast<int>(m.run_state),
          m.retry_after.count()};
}

}  // namespace

std::string EncodeJson(const flow::Up& message) {
  return std::visit([](const auto& m) { return ToJson(m).dump(); }, message);
}

std::string EncodeJson(const flow::Down& message) {
  return std::visit([](const auto& m) { return ToJson(m).dump(); }, message);
}

flow::Up DecodeUpJson(const std::string& text) {
  json j = json::parse(text);
  if (j[0] == "open") {
    return flow::Open{base::ServiceId{j[1]}, j[2], j[3],
                      base::Incarnation{j[4]}};
  }
  if (j[0] == "request") {
    return flow::Request{DecodeToken(j[1]),
                         base::RequestSeq{j[2]},
                         base::RequestSeq{j[3]},
                         j[4],
                         j[5],
                         base::Millis(j[6].get<int64_t>()),
                         static_cast<flow::Method>(j[7].get<int>()),
                         j[8],
                         j[9]};
  }
  if (j[0] == "fetch") {
    return flow::Fetch{DecodeToken(j[1]), base::RequestSeq{j[2]}, j[3], j[4]};
  }
  if (j[0] == "cancel") {
    return flow::Cancel{DecodeToken(j[1]), base::RequestSeq{j[2]}};
  }
  return flow::Close{DecodeToken(j[1])};
}

flow::Down DecodeDownJson(const std::string& text) {
  json j = json::parse(text);
  if (j[0] == "opened") {
    return flow::Opened{j[1], DecodeToken(j[2])};
  }
  if (j[0] == "accepted") {
    return flow::Accepted{base::FlowId{j[1]}, base::RequestSeq{j[2]}};
  }
  if (j[0] == "part") {
    return flow::Part{base::FlowId{j[1]},
                      base::RequestSeq{j[2]},
                      j[3],
                      j[4],
                      j[5],
                      j[6],
                      j[7]};
  }
  return flow::Refusal{j[1],
                       base::FlowId{j[2]},
                       base::RequestSeq{j[3]},
                       static_cast<flow::Reason>(j[4].get<int>()),
                       static_cast<flow::RunState>(j[5].get<int>()),
                       base::Millis(j[6].get<int64_t>())};
}

}  // namespace filberthollow::testing
