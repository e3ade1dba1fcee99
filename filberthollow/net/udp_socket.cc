#include "filberthollow/net/udp_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace filberthollow::net {
namespace {

// Holds the burst of datagrams of a large response while the task is busy.
constexpr int kSocketBufferBytes = 4 << 20;

sockaddr_in ToSockaddr(base::Address address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

base::Address FromSockaddr(const sockaddr_in& in) {
  return {ntohl(in.sin_addr.s_addr), ntohs(in.sin_port)};
}

}  // namespace

base::Result<std::shared_ptr<UdpSocket>> UdpSocket::Bind(
    base::Address address) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return base::SystemError("open UDP socket", address.Text());
  }
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  sockaddr_in name = ToSockaddr(address);
  socklen_t length = sizeof(name);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), length) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length) != 0) {
    base::Error error = base::SystemError("bind UDP socket", address.Text());
    close(fd);
    return error;
  }
  return std::shared_ptr<UdpSocket>(new UdpSocket(fd, FromSockaddr(name)));
}

base::Result<base::Done> UdpSocket::Watch(Loop& loop, Handler handler) {
  m_handler = std::move(handler);
  if (!loop.WatchReadable(m_fd, [this] { ReadBatch(); })) {
    return base::MakeError(std::errc::not_enough_memory, "watch UDP socket",
                           m_address.Text());
  }
  return base::Done{};
}

int UdpSocket::ReadBatch() {
  static thread_local std::array<std::array<char, kMaxReceiveBytes>, kBatchSize>
      buffers;
  std::array<sockaddr_in, kBatchSize> names;
  std::array<iovec, kBatchSize> vectors;
  std::array<mmsghdr, kBatchSize> headers{};
  for (int i = 0; i < kBatchSize; ++i) {
    vectors[i] = {buffers[i].data(), buffers[i].size()};
    headers[i].msg_hdr.msg_iov = &vectors[i];
    headers[i].msg_hdr.msg_iovlen = 1;
    headers[i].msg_hdr.msg_name = &names[i];
    headers[i].msg_hdr.msg_namelen = sizeof(names[i]);
  }
  int count = recvmmsg(m_fd, headers.data(), kBatchSize, MSG_DONTWAIT, nullptr);
  for (int i = 0; i < count; ++i) {
    m_handler({buffers[i].data(), headers[i].msg_len}, FromSockaddr(names[i]));
  }
  return count;
}

void UdpSocket::ReadPending() {
  for (int i = 0; i < kMaxPendingBatches; ++i) {
    if (ReadBatch() < kBatchSize) {
      return;
    }
  }
}

bool UdpSocket::Send(std::string_view bytes, base::Address to) {
  sockaddr_in name = ToSockaddr(to);
  ssize_t sent = sendto(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                        reinterpret_cast<const sockaddr*>(&name), sizeof(name));
  return sent == static_cast<ssize_t>(bytes.size());
}

}  // namespace filberthollow::net
