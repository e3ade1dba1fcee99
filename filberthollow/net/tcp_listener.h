// Listening TCP sockets for servers with their own event loop.
//
//   Result<Listener> listener = ListenTcp(address);
#ifndef FILBERTHOLLOW_NET_TCP_LISTENER_H_
#define FILBERTHOLLOW_NET_TCP_LISTENER_H_

#include <memory>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"
#include "filberthollow/net/udp_socket.h"

namespace filberthollow::net {

// Listener is a listening, non-blocking socket. The holder closes the
// descriptor.
struct Listener {
  int fd = -1;
  base::Address address;
  friend bool operator==(const Listener&, const Listener&) = default;
};

// ListenTcp opens a listening socket; with port 0 the operating system assigns
// a port.
base::Result<Listener> ListenTcp(base::Address address);

// ControlSockets are a UDP socket and a TCP listener with the same port number.
struct ControlSockets {
  std::shared_ptr<UdpSocket> datagrams;
  int listener = -1;
};

// BindControl opens both sockets; with port 0 it tries to find a port that is
// free for both.
base::Result<ControlSockets> BindControl(base::Address address);

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_TCP_LISTENER_H_
