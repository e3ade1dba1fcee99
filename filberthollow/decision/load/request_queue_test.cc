#include "filberthollow/decision/load/request_queue.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::load {
namespace {

using base::Millis;

constexpr Millis kGoal{200};

flow::FlowEnds Flow(uint16_t port) {
  return {{1, port}, {2, 443}};
}

QueuedRequest Request(uint16_t port, uint32_t priority, Millis queued_at) {
  return {Flow(port), priority, kGoal, queued_at};
}

BOOST_AUTO_TEST_CASE(DeliversHalfAgainAsManyRequestsAsSlotsPlusOne) {
  RequestQueue queue;
  queue.SetSlots(4);
  BOOST_TEST(queue.CanDeliverNow(6));
  BOOST_TEST(!queue.CanDeliverNow(7));
  BOOST_TEST(!queue.TakeNext(0, Millis(0)).has_value());
}

BOOST_AUTO_TEST_CASE(TakesOldestFirstWhileWaitsAreShort) {
  RequestQueue queue;
  queue.SetSlots(1);
  queue.Add(Request(1, 0, Millis(0)));
  queue.Add(Request(2, 0, Millis(10)));
  BOOST_TEST(!queue.TakeNext(2, Millis(20)).has_value());
  BOOST_TEST((*queue.TakeNext(0, Millis(20)) == Flow(1)));
  BOOST_TEST(!queue.CanDeliverNow(0));  // a queued request goes before new ones
  BOOST_TEST((*queue.TakeNext(0, Millis(20)) == Flow(2)));
}

BOOST_AUTO_TEST_CASE(TakesNewestFirstUnderOverload) {
  RequestQueue queue;
  queue.Add(Request(1, 0, Millis(0)));
  queue.Add(Request(2, 0, Millis(90)));
  BOOST_TEST((*queue.TakeNext(0, Millis(101)) == Flow(2)));
  BOOST_TEST((*queue.TakeNext(0, Millis(101)) == Flow(1)));
}

BOOST_AUTO_TEST_CASE(TakesLowestPriorityValueFirst) {
  RequestQueue queue;
  queue.Add(Request(1, 2, Millis(0)));
  queue.Add(Request(2, 1, Millis(10)));
  BOOST_TEST((*queue.TakeNext(0, Millis(20)) == Flow(2)));
}

BOOST_AUTO_TEST_CASE(RemovedRequestIsNotDelivered) {
  RequestQueue queue;
  queue.Add(Request(1, 0, Millis(0)));
  queue.Remove(Flow(1));
  BOOST_TEST(queue.size() == 0U);
  BOOST_TEST(!queue.TakeNext(0, Millis(0)).has_value());
}

}  // namespace
}  // namespace filberthollow::decision::load
