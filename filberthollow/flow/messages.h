// The messages of the data path as plain values, free of any encoding.
//
// A caller opens a flow to a service, sends numbered requests on it and reads
// the answer in parts. Up messages travel from caller to agent, Down messages
// from agent to caller; balancers relay both without keeping state about them.
//
//   Up message = Request{.token = token, .seq = RequestSeq{1}, ...};
//   Down reply = Refusal{.reason = Reason::kQueueFull, .run_state =
//   RunState::kNotRun};
#ifndef FILBERTHOLLOW_FLOW_MESSAGES_H_
#define FILBERTHOLLOW_FLOW_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/base/ids.h"
#include "filberthollow/flow/reason.h"
#include "filberthollow/flow/token.h"

namespace filberthollow::flow {

// kMaxBodyBytes bounds the body of a request, so that it fits one datagram.
inline constexpr size_t kMaxBodyBytes = 1024;
// kMaxPathBytes bounds the path of a request.
inline constexpr size_t kMaxPathBytes = 256;
// kMaxRequestBytes bounds path and body together.
inline constexpr size_t kMaxRequestBytes = 1100;
// kPartBytes is the length of each part of an answer but the last.
inline constexpr size_t kPartBytes = 1024;
// kMaxFetchParts bounds the parts that one Fetch may ask for.
inline constexpr uint32_t kMaxFetchParts = 32;
// kMaxAnswerBytes bounds the answer of an upstream.
inline constexpr size_t kMaxAnswerBytes = size_t{64} << 20;

// Method is the HTTP method that the agent uses towards its upstream.
enum class Method : uint8_t { kGet, kPut, kPost, kDelete };

// Open asks for a flow to a service. Copies carry the same nonce.
struct Open {
  base::ServiceId service{};
  uint64_t nonce = 0;
  uint8_t attempt = 1;
  base::Incarnation avoid{};  // a target that refused the previous attempt
  friend bool operator==(const Open&, const Open&) = default;
};

// Request asks for work on an open flow. Copies of a request carry the same
// sequence number; a retry carries a new one and a higher attempt.
struct Request {
  FlowToken token;
  base::RequestSeq seq{};
  base::RequestSeq settled_below{};  // answers below are no longer needed
  uint8_t attempt = 1;
  bool idempotent = false;
  base::Millis time_left;  // until the caller's deadline, at sending
  Method method = Method::kGet;
  std::string path;
  std::string body;
  friend bool operator==(const Request&, const Request&) = default;
};

// Fetch asks for parts of the answer to a request that has completed.
struct Fetch {
  FlowToken token;
  base::RequestSeq seq{};
  uint32_t first_part = 0;
  uint32_t parts = 0;
  friend bool operator==(const Fetch&, const Fetch&) = default;
};

// Cancel withdraws a request.
struct Cancel {
  FlowToken token;
  base::RequestSeq seq{};
  friend bool operator==(const Cancel&, const Cancel&) = default;
};

// Close ends a flow.
struct Close {
  FlowToken token;
  friend bool operator==(const Close&, const Close&) = default;
};

using Up = std::variant<Open, Request, Fetch, Cancel, Close>;

// Opened binds the flow that `nonce` asked for to one target incarnation.
struct Opened {
  uint64_t nonce = 0;
  FlowToken token;
  friend bool operator==(const Opened&, const Opened&) = default;
};

// Accepted says that a request has been received and not yet answered.
struct Accepted {
  base::FlowId flow{};
  base::RequestSeq seq{};
  friend bool operator==(const Accepted&, const Accepted&) = default;
};

// Part carries one part of an answer and the description of the whole.
struct Part {
  base::FlowId flow{};
  base::RequestSeq seq{};
  uint16_t status = 0;    // HTTP status of the upstream
  uint32_t part = 0;      // index of this part
  uint64_t size = 0;      // bytes of the whole answer
  uint64_t checksum = 0;  // AnswerChecksum() of the whole answer
  std::string bytes;
  friend bool operator==(const Part&, const Part&) = default;
};

// RunState tells whether refused work has run.
enum class RunState : uint8_t {
  kNotRun,   // sealed: it has not run and no late copy will run it
  kUnknown,  // the refuser can't tell
};

// Refusal answers an Open (flow is zero) or a Request. `nonce` is set for an
// Open, `seq` for a request.
struct Refusal {
  uint64_t nonce = 0;
  base::FlowId flow{};
  base::RequestSeq seq{};
  Reason reason{};
  RunState run_state = RunState::kUnknown;
  base::Millis retry_after;  // zero where retrying is of no use
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

using Down = std::variant<Opened, Accepted, Part, Refusal>;

// PartCount returns how many parts an answer of `size` bytes has, at least 1.
uint32_t PartCount(uint64_t size);
// AnswerChecksum returns the checksum of a whole answer.
uint64_t AnswerChecksum(std::string_view answer);
// TokenOf returns the token of a message, or null for an Open.
const FlowToken* TokenOf(const Up& message);

// RelayedUp is a caller's message on its way to an agent.
struct RelayedUp {
  base::Address caller;
  base::FlowId flow{};  // proposed for an Open, from the token otherwise
  Up message;
  friend bool operator==(const RelayedUp&, const RelayedUp&) = default;
};

// RelayedDown is an agent's message on its way to a caller.
struct RelayedDown {
  base::Address caller;
  Down message;
  uint32_t load = 0;  // requests that wait or run at the agent
  friend bool operator==(const RelayedDown&, const RelayedDown&) = default;
};

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_MESSAGES_H_
