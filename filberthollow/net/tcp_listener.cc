#include "filberthollow/net/tcp_listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace filberthollow::net {
namespace {

constexpr int kBacklog = 64;
constexpr int kMaxPortAttempts = 20;

}  // namespace

base::Result<Listener> ListenTcp(base::Address address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return base::SystemError("open TCP socket", address.Text());
  }
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(address.ip);
  name.sin_port = htons(address.port);
  socklen_t length = sizeof(name);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), length) != 0 ||
      listen(fd, kBacklog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length) != 0) {
    base::Error error = base::SystemError("listen on TCP", address.Text());
    close(fd);
    return error;
  }
  return Listener{fd, {ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)}};
}

base::Result<ControlSockets> BindControl(base::Address address) {
  base::Error last_error;
  int max_attempts = address.port == 0 ? kMaxPortAttempts : 1;
  for (int i = 0; i < max_attempts; ++i) {
    auto datagrams = UdpSocket::Bind(address);
    if (!datagrams) {
      return datagrams.error();
    }
    auto listener = ListenTcp((*datagrams)->address());
    if (listener) {
      return ControlSockets{*datagrams, listener->fd};
    }
    last_error = listener.error();
  }
  return last_error;
}

}  // namespace filberthollow::net
