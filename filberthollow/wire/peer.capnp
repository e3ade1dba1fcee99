@0x9c1f4e7b2a86d035;
# RPC between balancers over TCP for bulk state transfer. Requests and responses
# are sealed like datagrams. Regenerate with tools/generate-wire.sh.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("filberthollow::wire::generated");
using Control = import "control.capnp";

interface Peer {
  snapshot @0 (request :Data) -> (answer :Data);
}

struct SnapshotRequest {
  nonce @0 :UInt64;
  wantKeys @1 :Bool;
}

struct ConfigObject {
  name @0 :Text;
  version @1 :UInt64;
  deleted @2 :Bool;
  value @3 :Text;
}

struct Snapshot {
  nonce @0 :UInt64;
  objects @1 :List(ConfigObject);
  records @2 :List(Control.MemberRecord);
  encryptedKeys @3 :Data;
}
