// A bound, non-blocking UDP socket that reads and writes in batches.
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

// UdpSocket belongs to the task that watches it.
class UdpSocket {
 public:
  // kMaxReceiveBytes is more than any valid datagram, so that an oversized one
  // is seen as such.
  static constexpr size_t kMaxReceiveBytes = 2048;
  // kBatchSize is how many datagrams one system call reads at most.
  static constexpr int kBatchSize = 32;

  using Handler = std::function<void(std::string_view, base::Address)>;

  // Bind opens a socket; port 0 lets the kernel choose one.
  static base::Result<std::shared_ptr<UdpSocket>> Bind(base::Address address);

  // Returns the address that the socket is bound to.
  base::Address address() const { return m_address; }
  // Watch calls `handler` for each datagram. The loop takes the descriptor
  // over and closes it when the loop ends.
  base::Result<base::Done> Watch(Loop& loop, Handler handler);
  // ReadPending handles the datagrams that have come already, without waiting,
  // kMaxPendingBatches batches at most. A task that is about to conclude
  // something from silence calls it first: on a busy host what it waits for may
  // have come.
  static constexpr int kMaxPendingBatches = 16;
  void ReadPending();
  // Send returns false if the kernel did not take the datagram.
  bool Send(std::string_view bytes, base::Address to);

 private:
  UdpSocket(int fd, base::Address address) : m_fd(fd), m_address(address) {}

  // Returns how many datagrams were read.
  int ReadBatch();

  int m_fd;
  base::Address m_address;
  Handler m_handler;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_UDP_SOCKET_H_
