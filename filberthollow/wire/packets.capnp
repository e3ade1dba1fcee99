@0xd1a7c93e5b20f846;
# Datagrams between balancers and agents in pass-through mode.
# Regenerate with tools/generate-wire.sh.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("filberthollow::wire::generated");

struct FlowEnds {
  callerIp @0 :UInt32;
  routeIp @1 :UInt32;
  callerPort @2 :UInt16;
  routePort @3 :UInt16;
}

struct UpstreamLoad {
  slots @0 :UInt16;
  busy @1 :UInt16;
  open @2 :UInt16;
  busyMean @3 :UInt16;
  coldMs @4 :UInt16;
  # The default, for senders of earlier releases, means "no limit".
  openingsLeft @5 :UInt16 = 65535;
  workAgeMs @6 :UInt16;
  workUs @7 :UInt32;
}

# The evacuated data centres as of a revision of the store; 0: not known.
struct EvacuationList {
  revision @0 :UInt64;
  dataCentres @1 :List(Text);
}

struct Forward {
  revision @0 :UInt64;
  guess @1 :Bool;
  packet @2 :Data;
  # 0: not a new flow, or the balancer runs an earlier release.
  service @3 :UInt64;
}

# The endpoints are stored inline, which avoids a pointer per list element.
struct FlowQuestion {
  callerIp @0 :UInt32;
  routeIp @1 :UInt32;
  callerPort @2 :UInt16;
  routePort @3 :UInt16;
  acknowledged @4 :UInt32;
}

struct Locate {
  flows @0 :List(FlowQuestion);
}

struct FlowHolding {
  callerIp @0 :UInt32;
  routeIp @1 :UInt32;
  callerPort @2 :UInt16;
  routePort @3 :UInt16;
  holding @4 :UInt8;
}

struct Located {
  flows @0 :List(FlowHolding);
  load @1 :UpstreamLoad;
}

struct FlowAnswer {
  flow @0 :FlowEnds;
  load @1 :UpstreamLoad;
  holding @2 :UInt8;
  reason @3 :UInt8;
  packet @4 :Data;
}

struct UpstreamReport {
  service @0 :UInt64;
  dataCentre @1 :UInt64;
  run @2 :UInt64;
  revision @3 :UInt64;
  state @4 :UInt8;
  silent @5 :Bool;
  intervalMs @6 :UInt16;
  load @7 :UpstreamLoad;
  leaving @8 :Bool;
  confirmation @9 :UInt8;
  # The list itself is only sent to a balancer that has an older one.
  evacuations @10 :EvacuationList;
  evacuationRevision @11 :UInt64;
}

struct BalancerHello {
  revision @0 :UInt64;
  leaving @1 :Bool;
  balancerIps @2 :List(UInt32);
  balancerPorts @3 :List(UInt16);
  run @4 :UInt64;
  newcomerIp @5 :UInt32;
  newcomerPort @6 :UInt16;
  confirmsReport @7 :Bool;
  evacuations @8 :EvacuationList;
  # False from balancers of earlier releases, which don't take turns.
  takesTurns @9 :Bool;
}

struct KnownAgent {
  service @0 :UInt64;
  ip @1 :UInt32;
  heardAgoMs @2 :UInt32;
  port @3 :UInt16;
  leaving @4 :Bool;
}

struct KnownAgents {
  agents @0 :List(KnownAgent);
}

struct PacketMessage {
  union {
    forward @0 :Forward;
    locate @1 :Locate;
    answer @2 :FlowAnswer;
    report @3 :UpstreamReport;
    hello @4 :BalancerHello;
    located @5 :Located;
    known @6 :KnownAgents;
  }
}
