// Encoding of data path messages as Cap'n Proto datagrams.
//
// Decoders accept untrusted bytes and return a message or the reason for
// dropping the datagram. No input makes them crash, and the memory that they
// allocate is bounded by the size of the datagram.
//
//   std::string datagram = EncodeUp(message);
//   Decoded<flow::Up> up = DecodeUp(bytes);
//   if (!up) metrics.Count(up.reason());
#ifndef FILBERTHOLLOW_WIRE_CODEC_H_
#define FILBERTHOLLOW_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "filberthollow/flow/messages.h"

namespace filberthollow::wire {

// kMaxDatagramBytes is the maximum datagram size. With IP and UDP headers, a
// datagram of this size fits an Ethernet frame.
inline constexpr size_t kMaxDatagramBytes = 1452;
// kMinOpenBytes is the minimum size of an Open. It prevents amplification
// attacks: the response to an Open with a spoofed source address is never
// larger.
inline constexpr size_t kMinOpenBytes = 160;

// Decoded holds a message or the reason for rejecting the datagram.
template <class T>
class Decoded {
 public:
  Decoded(T value)  // NOLINT(google-explicit-constructor)
      : m_state(std::in_place_index<0>, std::move(value)) {}
  Decoded(flow::Reason reason)  // NOLINT(google-explicit-constructor)
      : m_state(std::in_place_index<1>, reason) {}

  explicit operator bool() const { return m_state.index() == 0; }
  const T& operator*() const { return std::get<0>(m_state); }
  const T* operator->() const { return &std::get<0>(m_state); }
  flow::Reason reason() const { return std::get<1>(m_state); }

 private:
  std::variant<T, flow::Reason> m_state;
};

// EncodeUp and DecodeUp convert messages from the caller to the balancer.
std::string EncodeUp(const flow::Up& message);
Decoded<flow::Up> DecodeUp(std::string_view datagram);
// EncodeDown and DecodeDown convert messages from the balancer to the caller.
std::string EncodeDown(const flow::Down& message);
Decoded<flow::Down> DecodeDown(std::string_view datagram);

// EncodeRelayedUp and EncodeRelayedDown encode messages between balancer and
// agent, sealed with the current signing key.
std::string EncodeRelayedUp(const flow::RelayedUp& message,
                            const flow::KeyRing& keys);
std::string EncodeRelayedDown(const flow::RelayedDown& message,
                              const flow::KeyRing& keys);
// DecodeRelayedUp and DecodeRelayedDown verify the seal before parsing.
Decoded<flow::RelayedUp> DecodeRelayedUp(std::string_view datagram,
                                         const flow::KeyRing& keys);
Decoded<flow::RelayedDown> DecodeRelayedDown(std::string_view datagram,
                                             const flow::KeyRing& keys);

}  // namespace filberthollow::wire

#endif  // FILBERTHOLLOW_WIRE_CODEC_H_
