// Packets of pass-through flows, whose endpoints do not speak the protocol of
// flow/messages.h.
//
// PacketHeader holds what balancers and agents need to know to forward a
// packet, independent of its encoding; a PacketFormat decodes it. The bytes of
// the packet are forwarded unchanged.
//
//   std::optional<PacketHeader> header = format.Read(bytes);
//   FlowEnds flow = header->FromCaller();
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

// FlowEnds identifies a pass-through flow by its endpoints: the address of
// the caller and the address of the route that the caller opened it to.
struct FlowEnds {
  base::Address caller;
  base::Address route;
  friend constexpr auto operator<=>(const FlowEnds&, const FlowEnds&) = default;

  // Text returns "CALLER>ROUTE", the flow's name in logs.
  std::string Text() const { return caller.Text() + ">" + route.Text(); }
};

// FlowEndsHash is the hash function for unordered containers keyed by FlowEnds.
struct FlowEndsHash {
  size_t operator()(const FlowEnds& ends) const {
    base::AddressHash hash;
    return hash(ends.caller) * 31 + hash(ends.route);
  }
};

// SequenceDistance returns `a` - `b` in 32-bit sequence number arithmetic,
// which wraps around: positive if `a` is after `b`, negative if it is before.
constexpr int32_t SequenceDistance(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b);
}

// PacketHeader holds the header fields that balancers and agents read.
struct PacketHeader {
  base::Address source;
  base::Address destination;
  // Sequence number of the first data byte.
  uint32_t sequence = 0;
  // Acknowledgement number for the data of the other endpoint. In a caller's
  // opening packet, the number of the retransmission instead.
  uint32_t acknowledged = 0;
  // Length of the data after the header.
  uint16_t data_bytes = 0;
  // Opens a flow: a request if `acknowledges` is not set, and otherwise the
  // acceptance of one.
  bool opens = false;
  // The packet acknowledges data or a request to open.
  bool acknowledges = false;
  // The sender sends no more data.
  bool finishes = false;
  // Aborts the flow.
  bool resets = false;
  // Returned by an upstream that does not hold the flow.
  bool bounced = false;
  friend bool operator==(const PacketHeader&, const PacketHeader&) = default;

  // Returns the flow of a packet that the caller sent.
  FlowEnds FromCaller() const { return {source, destination}; }
  // Returns the flow of a packet that is sent to the caller.
  FlowEnds ToCaller() const { return {destination, source}; }
  // Returns whether this packet requests a new flow.
  bool AsksToOpen() const { return opens && !acknowledges; }
};

// PacketFormat decodes packet headers and builds reset packets.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;
  // Read decodes the header of a packet; nullopt if `bytes` is not a packet.
  virtual std::optional<PacketHeader> Read(std::string_view bytes) const = 0;
  // MakeReset returns a packet that aborts `flow` at its caller. If the flow
  // may be open, `sequence` must be near the caller's last acknowledgement
  // number.
  virtual std::string MakeReset(const FlowEnds& flow,
                                uint32_t sequence) const = 0;
};

}  // namespace filberthollow::flow

#endif  // FILBERTHOLLOW_FLOW_PACKET_H_
