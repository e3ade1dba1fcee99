#include "filberthollow/net/udp_socket.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace filberthollow::net {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;

struct Fixture {
  base::SystemClock clock;
  Loop loop{clock};
  std::shared_ptr<UdpSocket> sender = *UdpSocket::Bind({kLoopback, 0});
  std::shared_ptr<UdpSocket> receiver = *UdpSocket::Bind({kLoopback, 0});
  std::vector<std::string> received;

  Fixture() {
    BOOST_REQUIRE(receiver->Watch(loop, [this](auto bytes, auto /*from*/) {
      received.emplace_back(bytes);
    }));
  }

  void Send(int count) {
    for (int i = 0; i < count; ++i) {
      BOOST_REQUIRE(sender->Send(std::to_string(i), receiver->address()));
    }
  }
};

// Sending over loopback delivers a datagram before the call returns, so no wait
// is needed.
BOOST_FIXTURE_TEST_CASE(PendingDatagramsAreReadWithoutTheLoop, Fixture) {
  constexpr int kCount = 3 * UdpSocket::kBatchSize + 1;
  Send(kCount);
  receiver->ReadPending();
  BOOST_REQUIRE(received.size() == static_cast<size_t>(kCount));
  BOOST_TEST(received.front() == "0");
  BOOST_TEST(received.back() == std::to_string(kCount - 1));
  receiver->ReadPending();
  BOOST_TEST(received.size() == static_cast<size_t>(kCount));
}

}  // namespace
}  // namespace filberthollow::net
