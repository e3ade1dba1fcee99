// A listening TCP socket for servers that bring their own event loop.
//
//   Result<Listener> listener = ListenTcp(address);
#ifndef FILBERTHOLLOW_NET_TCP_LISTENER_H_
#define FILBERTHOLLOW_NET_TCP_LISTENER_H_

#include <memory>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"
#include "filberthollow/net/udp_socket.h"

namespace filberthollow::net {

// Listener is a listening, non-blocking descriptor, which its owner closes.
struct Listener {
  int fd = -1;
  base::Address address;
  friend bool operator==(const Listener&, const Listener&) = default;
};

// ListenTcp opens a listening socket; port 0 lets the kernel choose one.
base::Result<Listener> ListenTcp(base::Address address);

// ControlSockets are a UDP socket and a TCP listener on one port number.
struct ControlSockets {
  std::shared_ptr<UdpSocket> datagrams;
  int listener = -1;
};

// BindControl opens both; port 0 looks for a number that is free for both.
base::Result<ControlSockets> BindControl(base::Address address);

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_TCP_LISTENER_H_
