#include "filberthollow/decision/flows/locate_queue.h"

#include <boost/test/unit_test.hpp>

#include "filberthollow/testing/packet_fixtures.h"

namespace filberthollow::decision::flows {
namespace {

using base::Address;
using base::Millis;

constexpr uint32_t kAgents = 80;

struct Fixture {
  Millis now{10'000};
  LocateQueue queue;
  uint16_t port = 0;

  void AskAllAgents() {
    ++port;
    for (uint32_t ip = 1; ip <= kAgents; ++ip) {
      queue.Add({ip, 7000}, {{{9, port}, testing::kDeskRoute}, 1});
    }
  }
};

BOOST_FIXTURE_TEST_CASE(SingleSearchIsSentAtOnce, Fixture) {
  AskAllAgents();
  BOOST_TEST((queue.LatestSendTime(now) == now));
  BOOST_TEST(queue.Take(now).size() == kAgents);
  BOOST_TEST(queue.Take(now).empty());
}

// Guards against a message per question: without sharing, 400 searches per
// second among 80 agents caused 40,000 messages per second.
BOOST_FIXTURE_TEST_CASE(ConcurrentSearchesShareMessages, Fixture) {
  constexpr Millis kSpan{2000};
  constexpr Millis kGap{5};
  constexpr Millis kLongestWait{kAgents / LocateQueue::kMessagesPerMilli +
                                kGap.count()};
  size_t sent = 0;
  size_t asked = 0;
  for (Millis end = now + kSpan; now < end; now = now + kGap) {
    AskAllAgents();
    BOOST_TEST((queue.LatestSendTime(now) <= now + kLongestWait));
    for (const SendLocate& send : queue.Take(now)) {
      ++sent;
      asked += send.message.flows.size();
    }
  }
  auto budget =
      static_cast<size_t>(kSpan.count() * LocateQueue::kMessagesPerMilli);
  BOOST_TEST(sent <= budget + LocateQueue::kBurstMessages + kAgents);
  BOOST_TEST(asked * 10 >= size_t{port} * kAgents * 9);
}

BOOST_FIXTURE_TEST_CASE(FlowsPerMessageAreBounded, Fixture) {
  for (size_t i = 0; i < kMaxFlowsPerLocate + 1; ++i) {
    queue.Add({1, 7000}, {testing::kDeskFlow, 1});
  }
  auto sends = queue.Take(now);
  BOOST_REQUIRE(sends.size() == 2U);
  BOOST_TEST(sends[0].message.flows.size() == kMaxFlowsPerLocate);
  BOOST_TEST(sends[1].message.flows.size() == 1U);
}

}  // namespace
}  // namespace filberthollow::decision::flows
