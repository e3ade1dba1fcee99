// The messages of the data path as plain values, independent of their encoding.
//
// A caller opens a flow to a service, sends numbered requests on it and fetches
// the answers in parts. Up messages travel from caller to agent, Down messages
// from agent to caller. Balancers relay both without keeping per-flow state.
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

// kMaxBodyBytes bounds the body of a request, so that the request fits into one
// datagram.
inline constexpr size_t kMaxBodyBytes = 1024;
// kMaxPathBytes bounds the path of a request.
inline constexpr size_t kMaxPathBytes = 256;
// kMaxRequestBytes bounds the sum of path and body.
inline constexpr size_t kMaxRequestBytes = 1100;
// kPartBytes is the size of each part of an answer except the last, which may
// be shorter.
inline constexpr size_t kPartBytes = 1024;
// kMaxFetchParts bounds the number of parts that one Fetch may request.
inline constexpr uint32_t kMaxFetchParts = 32;
// kMaxAnswerBytes bounds the size of an upstream's answer.
inline constexpr size_t kMaxAnswerBytes = size_t{64} << 20;

// Method is the HTTP method of the agent's request to its upstream.
enum class Method : uint8_t { kGet, kPut, kPost, kDelete };

// Open requests a new flow to a service. Resent copies carry the same nonce; a
// retry after a refusal carries a new nonce and a higher `attempt`.
struct Open {
  base::ServiceId service{};
  uint64_t nonce = 0;
  uint8_t attempt = 1;
  // The target that the caller last left, to be avoided by placement; zero if
  // there is none.
  base::Incarnation avoid{};
  friend bool operator==(const Open&, const Open&) = default;
};

// Request is one request on an open flow. Resent copies carry the same sequence
// number. A retry carries a new sequence number and, unless the
// previous target was draining, a higher `attempt`.
struct Request {
  FlowToken token;
  base::RequestSeq seq{};
  // The caller no longer needs the answers to requests below this number.
  base::RequestSeq settled_below{};
  uint8_t attempt = 1;
  bool idempotent = false;
  // The time from sending to the caller's deadline.
  base::Millis time_left;
  Method method = Method::kGet;
  std::string path;
  std::string body;
  friend bool operator==(const Request&, const Request&) = default;
};

// Fetch requests `parts` consecutive parts of a complete answer, starting with
// part `first_part`. An agent that holds the flow but no such answer does not
// reply.
struct Fetch {
  FlowToken token;
  base::RequestSeq seq{};
  uint32_t first_part = 0;
  uint32_t parts = 0;
  friend bool operator==(const Fetch&, const Fetch&) = default;
};

// Cancel tells the agent that the caller no longer wants the answer to a
// request.
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

// Up is a message from caller to agent.
using Up = std::variant<Open, Request, Fetch, Cancel, Close>;

// Opened replies to the Open with the same nonce. The token binds the new flow
// to one target incarnation.
struct Opened {
  uint64_t nonce = 0;
  FlowToken token;
  friend bool operator==(const Opened&, const Opened&) = default;
};

// Accepted replies to a copy of a request that is queued or running.
struct Accepted {
  base::FlowId flow{};
  base::RequestSeq seq{};
  friend bool operator==(const Accepted&, const Accepted&) = default;
};

// Part carries one part of an answer, with size and checksum of the complete
// answer.
struct Part {
  base::FlowId flow{};
  base::RequestSeq seq{};
  uint16_t status = 0;    // HTTP status of the upstream
  uint32_t part = 0;      // index of this part, from 0
  uint64_t size = 0;      // size of the complete answer in bytes
  uint64_t checksum = 0;  // AnswerChecksum() of the complete answer
  std::string bytes;
  friend bool operator==(const Part&, const Part&) = default;
};

// RunState tells whether a refused request has run.
enum class RunState : uint8_t {
  kNotRun,   // it has not run, and no late copy of it will ever run
  kUnknown,  // the process that refused it cannot tell
};

// Refusal replies to a message that was not carried out. In reply to an Open
// only `nonce` is set, and `flow` and `seq` are zero; otherwise `nonce` is
// zero, and `seq` is that of the refused Request or Fetch.
struct Refusal {
  uint64_t nonce = 0;
  base::FlowId flow{};
  base::RequestSeq seq{};
  Reason reason{};
  RunState run_state = RunState::kUnknown;
  // The minimum delay before a retry; zero if the sender suggests none, since
  // waiting would not help.
  base::Millis retry_after;
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// Down is a message from agent or balancer to caller.
using Down = std::variant<Opened, Accepted, Part, Refusal>;

// PartCount returns the number of parts of an answer of `size` bytes; 1 if it
// is empty.
uint32_t PartCount(uint64_t size);
// AnswerChecksum returns the checksum of a complete answer.
uint64_t AnswerChecksum(std::string_view answer);
// TokenOf returns the token inside `message`, or null for an Open.
const FlowToken* TokenOf(const Up& message);

// RelayedUp is a caller's message as a balancer forwards it to an agent.
struct RelayedUp {
  base::Address caller;
  // For an Open, the identifier that the balancer proposes; otherwise that of
  // the token.
  base::FlowId flow{};
  Up message;
  friend bool operator==(const RelayedUp&, const RelayedUp&) = default;
};

// RelayedDown is an agent's message to a caller as it is sent to a balancer.
struct RelayedDown {
  base::Address caller;
  Down message;
  // Number of requests queued or running at the agent.
  uint32_t load = 0;
  friend bool operator==(const RelayedDown&, const RelayedDown&) = default;
};

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_MESSAGES_H_
