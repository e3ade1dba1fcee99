// Packets of flows whose ends do not speak our protocol: what a balancer and an
// agent must know of a packet to carry it, free of its encoding.
//
// The bytes of a packet belong to its two ends and are carried unchanged. How
// the head is written is the business of a PacketFormat.
//
//   std::optional<PacketHeader> head = format.Read(bytes);
//   FlowEnds flow = head->FromCaller();
#ifndef FILBERTHOLLOW_FLOW_PACKET_H_
#define FILBERTHOLLOW_FLOW_PACKET_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "filberthollow/base/address.h"
#include "filberthollow/base/ids.h"

namespace filberthollow::flow {

// FlowEnds names a passed-through flow: who opened it, and the route's address
// that it was opened to.
struct FlowEnds {
  base::Address caller;
  base::Address route;
  friend constexpr auto operator<=>(const FlowEnds&, const FlowEnds&) = default;

  // Text returns "CALLER>ROUTE", the flow's name in logs.
  std::string Text() const { return caller.Text() + ">" + route.Text(); }
};

// FlowEndsHash lets flows be keys of unordered containers.
struct FlowEndsHash {
  size_t operator()(const FlowEnds& ends) const {
    base::AddressHash hash;
    return hash(ends.caller) * 31 + hash(ends.route);
  }
};

// SequenceDistance returns how far `a` is after `b` in the circle of sequence
// numbers; negative if it is before.
constexpr int32_t SequenceDistance(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b);
}

// PacketHeader is the part of a packet that is read on the way.
struct PacketHeader {
  base::Address source;
  base::Address destination;
  uint32_t sequence = 0;      // of the first byte of data
  uint32_t acknowledged = 0;  // of the other end; copy number of an opening one
  uint16_t data_bytes = 0;
  bool opens = false;         // asks for a flow, or accepts it if it
  bool acknowledges = false;  // also acknowledges
  bool finishes = false;
  bool resets = false;
  bool bounced = false;  // handed back by an upstream that does not hold it
  friend bool operator==(const PacketHeader&, const PacketHeader&) = default;

  // Returns the flow of a packet on its way from the caller, or to it.
  FlowEnds FromCaller() const { return {source, destination}; }
  FlowEnds ToCaller() const { return {destination, source}; }
  // Returns whether this is a caller's request for a new flow.
  bool AsksToOpen() const { return opens && !acknowledges; }
};

// PacketFormat reads and writes packet heads.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;
  // Read returns nothing if the bytes are not a packet.
  virtual std::optional<PacketHeader> Read(std::string_view bytes) const = 0;
  // MakeReset returns a packet that ends a flow at its caller. `sequence` must
  // be near the caller's last acknowledgement if the flow may be open.
  virtual std::string MakeReset(const FlowEnds& flow,
                                uint32_t sequence) const = 0;
};

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_PACKET_H_
