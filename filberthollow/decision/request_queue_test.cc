#include "filberthollow/decision/request_queue.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision {
namespace {

using base::Millis;

constexpr Millis kGoal{200};

flow::FlowEnds Flow(uint16_t port) {
  return {{1, port}, {2, 443}};
}

WaitingRequest Request(uint16_t port, uint32_t priority, Millis since) {
  return {Flow(port), priority, kGoal, since};
}

BOOST_AUTO_TEST_CASE(RoomIsForTheSlotsAndAFewMore) {
  RequestQueue queue;
  queue.SetSlots(4);
  BOOST_TEST(queue.HasRoom(6));
  BOOST_TEST(!queue.HasRoom(7));
  BOOST_TEST(!queue.Next(0, Millis(0)).has_value());
}

BOOST_AUTO_TEST_CASE(TheOldestGoesFirstWhileWaitsAreShort) {
  RequestQueue queue;
  queue.SetSlots(1);
  queue.Add(Request(1, 0, Millis(0)));
  queue.Add(Request(2, 0, Millis(10)));
  BOOST_TEST(!queue.Next(2, Millis(20)).has_value());
  BOOST_TEST((*queue.Next(0, Millis(20)) == Flow(1)));
  BOOST_TEST(!queue.HasRoom(0));  // the other one goes before newcomers
  BOOST_TEST((*queue.Next(0, Millis(20)) == Flow(2)));
}

BOOST_AUTO_TEST_CASE(TheNewestGoesFirstUnderOverload) {
  RequestQueue queue;
  queue.Add(Request(1, 0, Millis(0)));
  queue.Add(Request(2, 0, Millis(90)));
  BOOST_TEST((*queue.Next(0, Millis(101)) == Flow(2)));
  BOOST_TEST((*queue.Next(0, Millis(101)) == Flow(1)));
}

BOOST_AUTO_TEST_CASE(UrgentRoutesGoFirst) {
  RequestQueue queue;
  queue.Add(Request(1, 2, Millis(0)));
  queue.Add(Request(2, 1, Millis(10)));
  BOOST_TEST((*queue.Next(0, Millis(20)) == Flow(2)));
}

BOOST_AUTO_TEST_CASE(ARemovedRequestIsNotDelivered) {
  RequestQueue queue;
  queue.Add(Request(1, 0, Millis(0)));
  queue.Remove(Flow(1));
  BOOST_TEST(queue.size() == 0U);
  BOOST_TEST(!queue.Next(0, Millis(0)).has_value());
}

}  // namespace
}  // namespace filberthollow::decision
