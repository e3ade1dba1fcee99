@0xd4f2a1c39b7e6058;
# Data path datagrams. Regenerate with tools/generate-wire.sh.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("filberthollow::wire::generated");

struct Token {
  service @0 :UInt64;
  incarnation @1 :UInt64;
  flow @2 :UInt64;
  mac @3 :UInt64;
  agentIp @4 :UInt32;
  epoch @5 :UInt32;
  agentPort @6 :UInt16;
}

struct Up {
  # From caller to agent.
  union {
    open @0 :Open;
    request @1 :Request;
    fetch @2 :Fetch;
    cancel @3 :Cancel;
    close @4 :Token;
  }
}

struct Open {
  service @0 :UInt64;
  nonce @1 :UInt64;
  avoid @2 :UInt64;
  attempt @3 :UInt8;
  padding @4 :Data;
  # Makes an Open at least as long as its response, to prevent amplification.
}

struct Request {
  token @0 :Token;
  seq @1 :UInt64;
  settledBelow @2 :UInt64;
  timeLeftMs @3 :UInt32;
  attempt @4 :UInt8;
  method @5 :UInt8;
  idempotent @6 :Bool;
  path @7 :Text;
  body @8 :Data;
}

struct Fetch {
  token @0 :Token;
  seq @1 :UInt64;
  firstPart @2 :UInt32;
  parts @3 :UInt32;
}

struct Cancel {
  token @0 :Token;
  seq @1 :UInt64;
}

struct Down {
  # From agent to caller.
  union {
    opened @0 :Opened;
    accepted @1 :Accepted;
    part @2 :Part;
    refusal @3 :Refusal;
  }
}

struct Opened {
  nonce @0 :UInt64;
  token @1 :Token;
}

struct Accepted {
  flow @0 :UInt64;
  seq @1 :UInt64;
}

struct Part {
  flow @0 :UInt64;
  seq @1 :UInt64;
  size @2 :UInt64;
  checksum @3 :UInt64;
  part @4 :UInt32;
  status @5 :UInt16;
  bytes @6 :Data;
}

struct Refusal {
  nonce @0 :UInt64;
  flow @1 :UInt64;
  seq @2 :UInt64;
  retryAfterMs @3 :UInt32;
  reason @4 :UInt8;
  fate @5 :UInt8;
}

struct Relay {
  # Between balancer and agent; sealed.
  callerIp @0 :UInt32;
  callerPort @1 :UInt16;
  flow @2 :UInt64;
  load @5 :UInt16;
  union {
    up @3 :Up;
    down @4 :Down;
  }
}
