#include "filberthollow/decision/load/request_queue.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

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

constexpr Millis kTimeout{2000};
constexpr Millis kWork{50};

// A request of a route that states its timeout.
QueuedRequest Timed(uint16_t port,
                    uint16_t route,
                    uint32_t priority,
                    Millis queued_at) {
  return {{{1, port}, {2, route}}, priority, kGoal, queued_at, kTimeout};
}

// Takes the next request while the upstream has room; returns its port, or 0.
uint16_t TakePort(RequestQueue& queue, Millis now, Millis work = kWork) {
  auto flow = queue.TakeNext(0, now, work);
  return flow ? flow->caller.port : uint16_t{0};
}

BOOST_AUTO_TEST_CASE(DeliversHalfAgainAsManyRequestsAsSlotsPlusOne) {
  RequestQueue queue;
  queue.SetSlots(4);
  BOOST_TEST(queue.CanDeliverNow(6));
  BOOST_TEST(!queue.CanDeliverNow(7));
  BOOST_TEST(!queue.TakeNext(0, Millis(0), Millis(0)).has_value());
}

BOOST_AUTO_TEST_CASE(TakesOldestFirstWhileWaitsAreShort) {
  RequestQueue queue;
  queue.SetSlots(1);
  queue.Add(Request(1, 0, Millis(0)));
  queue.Add(Request(2, 0, Millis(10)));
  BOOST_TEST(!queue.TakeNext(2, Millis(20), Millis(0)).has_value());
  BOOST_TEST((*queue.TakeNext(0, Millis(20), Millis(0)) == Flow(1)));
  BOOST_TEST(!queue.CanDeliverNow(0));  // a queued request goes before new ones
  BOOST_TEST((*queue.TakeNext(0, Millis(20), Millis(0)) == Flow(2)));
}

BOOST_AUTO_TEST_CASE(TakesNewestFirstUnderOverload) {
  RequestQueue queue;
  queue.Add(Request(1, 0, Millis(0)));
  queue.Add(Request(2, 0, Millis(90)));
  BOOST_TEST((*queue.TakeNext(0, Millis(101), Millis(0)) == Flow(2)));
  BOOST_TEST((*queue.TakeNext(0, Millis(101), Millis(0)) == Flow(1)));
}

BOOST_AUTO_TEST_CASE(TakesLowestPriorityValueFirst) {
  RequestQueue queue;
  queue.Add(Request(1, 2, Millis(0)));
  queue.Add(Request(2, 1, Millis(10)));
  BOOST_TEST((*queue.TakeNext(0, Millis(20), Millis(0)) == Flow(2)));
}

BOOST_AUTO_TEST_CASE(RemovedRequestIsNotDelivered) {
  RequestQueue queue;
  queue.Add(Request(1, 0, Millis(0)));
  queue.Remove(Flow(1));
  BOOST_TEST(queue.size() == 0U);
  BOOST_TEST(!queue.TakeNext(0, Millis(0), Millis(0)).has_value());
}

// Guards against a request that was started 63 ms before its caller's timeout
// and cut off, while others could have been answered.
BOOST_AUTO_TEST_CASE(RequestPastSavingWaitsUntilNoOtherDoes) {
  RequestQueue queue;
  queue.Add(Timed(1, 1, 1, Millis(0)));
  queue.Add(Timed(2, 1, 1, Millis(100)));
  queue.Add(Timed(3, 2, 2, Millis(1800)));
  Millis now = kTimeout - kWork + Millis(1);
  BOOST_TEST(TakePort(queue, now) == 2);
  BOOST_TEST(TakePort(queue, now) == 3);
  BOOST_TEST(queue.size() == 1U);
  BOOST_TEST(TakePort(queue, now) == 1);
}

// Guards against answers that are lost at the end of a peak: once all are late,
// the newest can wait, but the oldest is about to reach its timeout.
BOOST_AUTO_TEST_CASE(OldestGoesFirstOnceAllAnswersAreLate) {
  RequestQueue queue;
  queue.Add(Timed(1, 1, 1, Millis(0)));
  queue.Add(Timed(2, 1, 1, Millis(10)));
  queue.Add(Timed(3, 1, 1, Millis(20)));
  BOOST_TEST(TakePort(queue, kGoal + Millis(20)) == 3);
  BOOST_TEST(TakePort(queue, kGoal + Millis(21)) == 1);
  BOOST_TEST(TakePort(queue, kGoal + Millis(21), Millis(0)) == 2);
}

// Guards against a flood of one kind of request that delays the other kinds of
// its priority, and against a route that gets ahead of its turn by emptying its
// queue.
BOOST_AUTO_TEST_CASE(RoutesOfOnePriorityTakeTurns) {
  RequestQueue queue;
  for (uint16_t port = 1; port <= 9; ++port) {
    queue.Add(Timed(port, 1, 1, Millis(0)));
  }
  queue.Add(Timed(10, 2, 1, Millis(1)));
  BOOST_TEST(TakePort(queue, Millis(1)) == 1);
  BOOST_TEST(TakePort(queue, Millis(1)) == 10);
  queue.Add(Timed(11, 2, 1, Millis(1)));
  BOOST_TEST(TakePort(queue, Millis(1)) == 2);
  BOOST_TEST(TakePort(queue, Millis(1)) == 11);
}

// Guards against deadlines out of order, which the search for the oldest
// request that can be answered relies on.
BOOST_AUTO_TEST_CASE(TimeoutMayChangeWhileRequestsWait) {
  RequestQueue queue;
  queue.Add(Timed(1, 1, 1, Millis(0)));
  QueuedRequest shorter = Timed(2, 1, 1, Millis(10));
  shorter.timeout = Millis(300);
  queue.Add(shorter);
  BOOST_TEST(TakePort(queue, Millis(400)) == 1);
  BOOST_TEST(TakePort(queue, Millis(400)) == 2);
}

// Guards against a stream of urgent requests that shuts out the others.
BOOST_AUTO_TEST_CASE(OverdueClassGetsEveryFourthDelivery) {
  RequestQueue queue;
  for (uint16_t port = 1; port <= 20; ++port) {
    queue.Add(Timed(port, 1, 1, Millis(100)));
    queue.Add(Timed(port + 100, 2, 2, Millis(100)));
    queue.Add(Timed(port + 200, 3, 3, Millis(100)));
  }
  Millis now = Millis(101) + kGoal;
  std::map<int, int> delivered;
  for (int i = 0; i < 24; ++i) {
    ++delivered[TakePort(queue, now) / 100];
  }
  BOOST_TEST(delivered[0] == 18);
  BOOST_TEST(delivered[1] == 3);
  BOOST_TEST(delivered[2] == 3);
}

// Whether the request can be answered, computed without the queue's code.
bool CanAnswer(const QueuedRequest& request, Millis now, Millis work) {
  return request.timeout == Millis(0) ||
         request.queued_at + request.timeout - now >= work;
}

// Guards against sequences of requests, deliveries and removals in which a
// request past saving goes before one that can be answered, less urgent work
// goes ahead outside the reserved deliveries, or an overdue route is passed
// over for longer than its share allows.
RC_BOOST_PROP(OrderKeepsItsRules, (std::vector<uint32_t> steps)) {
  constexpr uint16_t kRoutes = 4;  // two of priority 1, one of 2 and one of 3
  constexpr std::array<uint32_t, kRoutes> kPriorities{1, 1, 2, 3};
  constexpr std::array<Millis, kRoutes> kTimeouts{Millis(2000), Millis(900),
                                                  Millis(1500), Millis(0)};
  RequestQueue queue;
  std::vector<QueuedRequest> waiting;
  std::array<uint64_t, kRoutes> passed_over{};  // while overdue
  uint64_t urgent = 0;  // deliveries since the last one out of priority
  Millis now{0};
  uint16_t port = 0;
  for (uint32_t step : steps) {
    now = now + Millis(step % 97);
    uint32_t added = step / 97 % 4;
    for (uint32_t i = 0; i < added; ++i) {
      uint16_t route = (step / 389 + i * (step / 1553)) % kRoutes;
      waiting.push_back({{{1, ++port}, {2, route}},
                         kPriorities[route],
                         kGoal,
                         now,
                         kTimeouts[route]});
      queue.Add(waiting.back());
    }
    if (step % 11 == 0 && !waiting.empty()) {
      queue.Remove(waiting[step % waiting.size()].flow);
      waiting.erase(waiting.begin() + step % waiting.size());
    }
    Millis work = Millis(step % 300);
    auto flow = queue.TakeNext(step % 3, now, work);
    RC_ASSERT(flow.has_value() == (step % 3 < 2 && !waiting.empty()));
    if (!flow) {
      continue;
    }
    auto taken = std::find_if(
        waiting.begin(), waiting.end(),
        [&flow](const QueuedRequest& r) { return r.flow == *flow; });
    RC_ASSERT(taken != waiting.end());
    const QueuedRequest request = *taken;
    waiting.erase(taken);
    bool more_urgent_waits = false;
    std::array<bool, kRoutes> overdue{};
    for (const QueuedRequest& other : waiting) {
      if (CanAnswer(other, now, work)) {
        RC_ASSERT(CanAnswer(request, now, work));
        more_urgent_waits |= other.priority < request.priority;
        overdue[other.flow.route.port] |=
            other.timeout > Millis(0) && now - other.queued_at > kGoal;
      }
    }
    if (more_urgent_waits) {
      RC_ASSERT(urgent + 1 >= AnswerableFirst::kReservedTurn);
    }
    urgent = more_urgent_waits ? 0 : urgent + 1;
    for (uint16_t route = 0; route < kRoutes; ++route) {
      bool passed = overdue[route] && route != request.flow.route.port;
      passed_over[route] = passed ? passed_over[route] + 1 : 0;
      // Three routes state a timeout and share the reserved deliveries.
      RC_ASSERT(passed_over[route] < 3 * AnswerableFirst::kReservedTurn);
    }
  }
  RC_ASSERT(queue.size() == waiting.size());
}

// Guards against a flood that delays another route of its priority by more than
// one request for each of its own, however many the flood has queued.
RC_BOOST_PROP(FloodDelaysOtherRouteByItsShareOnly,
              (uint8_t flood, uint8_t others)) {
  RequestQueue queue;
  for (uint16_t port = 1; port <= flood; ++port) {
    queue.Add(Timed(port, 1, 1, Millis(0)));
  }
  for (uint16_t port = 1; port <= others; ++port) {
    queue.Add(Timed(port, 2, 1, Millis(0)));
  }
  for (uint32_t left = others, deliveries = 1; left > 0; ++deliveries) {
    auto flow = queue.TakeNext(0, Millis(1), kWork);
    left -= flow->route.port == 2 ? 1 : 0;
    RC_ASSERT(deliveries <= 2 * (others - left) + 1);
  }
}

}  // namespace
}  // namespace filberthollow::decision::load
