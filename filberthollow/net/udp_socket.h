// A bound, non-blocking UDP socket that reads in batches.
//
//   auto socket = UdpSocket::Bind({loopback, 0});
//   socket->Watch(loop, [](std::string_view bytes, Address from) { ... });
//   socket->Send(bytes, to);
#ifndef FILBERTHOLLOW_NET_UDP_SOCKET_H_
#define FILBERTHOLLOW_NET_UDP_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"
#include "filberthollow/net/loop.h"

namespace filberthollow::net {

// UdpSocket is used only on the thread of the task that watches it.
class UdpSocket {
 public:
  // kMaxReceiveBytes exceeds the size of any valid datagram, so that oversized
  // ones can be detected.
  static constexpr size_t kMaxReceiveBytes = 2048;
  // kBatchSize is the maximum number of datagrams read per system call.
  static constexpr int kBatchSize = 32;

  using Handler = std::function<void(std::string_view, base::Address)>;

  // Bind opens a socket; with port 0 the operating system assigns a port.
  static base::Result<std::shared_ptr<UdpSocket>> Bind(base::Address address);

  // Returns the address that the socket is bound to.
  base::Address address() const { return m_address; }
  // Watch calls `handler` for each received datagram. The loop takes ownership
  // of the descriptor and closes it on shutdown.
  base::Result<base::Done> Watch(Loop& loop, Handler handler);
  // ReadPending handles datagrams that are already in the receive buffer, at
  // most kMaxPendingBatches batches, without blocking. Call it before treating
  // a peer as silent: on a busy host its datagram may be waiting unread.
  static constexpr int kMaxPendingBatches = 16;
  void ReadPending();
  // Send sends one datagram without blocking; returns false if the operating
  // system did not accept it.
  bool Send(std::string_view bytes, base::Address to);

 private:
  UdpSocket(int fd, base::Address address) : m_fd(fd), m_address(address) {}

  // Returns the number of datagrams read, or -1 if there were none or reading
  // failed.
  int ReadBatch();

  int m_fd;
  base::Address m_address;
  Handler m_handler;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_UDP_SOCKET_H_
