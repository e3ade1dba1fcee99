@0xb87c2f10e5d94a36;
# Control path datagrams: agent heartbeats and gossip between balancers.
# Regenerate with tools/generate-wire.sh.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("filberthollow::wire::generated");

struct MemberRecord {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  service @2 :UInt64;
  dataCentre @3 :UInt64;
  sequence @4 :UInt32;
  ip @5 :UInt32;
  port @6 :UInt16;
  kind @7 :UInt8;
  state @8 :UInt8;
  weight @9 :UInt16;
  load @10 :UInt16;
}

struct Suspicion {
  member @0 :UInt64;
  incarnation @1 :UInt64;
  observer @2 :UInt64;
  sequence @3 :UInt32;
}

struct Heartbeat {
  record @0 :MemberRecord;
  settingsRevision @1 :UInt64;
  dataCentre @2 :Text;
  target @3 :Text;
  adminPort @4 :UInt16;
}

struct HeartbeatAck {
  member @0 :UInt64;
  knownIncarnation @1 :UInt64;
  suspected @2 :Bool;
  keyEpoch @3 :UInt32;
  settingsRevision @4 :UInt64;
  intervalMs @6 :UInt16;
  settings @5 :List(UInt32);
  # Values in the order of the settings table. Empty if the agent already has
  # them.
}

struct Gossip {
  sender @0 :MemberRecord;
  revision @1 :UInt64;
  records @2 :List(MemberRecord);
  suspicions @3 :List(Suspicion);
  groups @4 :List(UInt64);
  group @5 :Int32 = -1;
  buckets @6 :List(UInt64);
  wanted @7 :List(UInt32);
}

struct Control {
  union {
    heartbeat @0 :Heartbeat;
    heartbeatAck @1 :HeartbeatAck;
    gossip @2 :Gossip;
  }
}
