#include "filberthollow/decision/load/admission.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "filberthollow/decision/load/retry_budget.h"

namespace filberthollow::decision::load {
namespace {

using base::Millis;
using flow::Reason;

AdmissionRequest MakeQueued(uint64_t seq, bool retry, int64_t deadline) {
  return {.request_id = {base::FlowId{1}, base::RequestSeq{seq}},
          .retry = retry,
          .deadline = Millis(deadline)};
}

BOOST_AUTO_TEST_CASE(FirstAttemptsGoBeforeRetries) {
  Admission admission({.slots = 1, .queue_length = 20, .retry_percent = 10});
  BOOST_TEST(!admission.Enqueue(MakeQueued(1, false, 1000), Millis(0)));
  BOOST_TEST(
      (admission.StartNext(Millis(0))->request_id.seq == base::RequestSeq{1}));
  BOOST_TEST(!admission.StartNext(Millis(0)));
  BOOST_TEST(!admission.Enqueue(MakeQueued(2, true, 1000), Millis(0)));
  BOOST_TEST(!admission.Enqueue(MakeQueued(3, false, 1000), Millis(0)));
  admission.Finish(Millis(5));
  BOOST_TEST(
      (admission.StartNext(Millis(5))->request_id.seq == base::RequestSeq{3}));
  admission.Finish(Millis(5));
  BOOST_TEST(
      (admission.StartNext(Millis(9))->request_id.seq == base::RequestSeq{2}));
}

BOOST_AUTO_TEST_CASE(RetriesAreLimitedToTheirShareOfTheQueue) {
  Admission admission({.slots = 1, .queue_length = 20, .retry_percent = 10});
  admission.Enqueue(MakeQueued(1, false, 1000), Millis(0));
  admission.StartNext(Millis(0));
  for (uint64_t seq = 2; seq < 4; ++seq) {
    BOOST_TEST(!admission.Enqueue(MakeQueued(seq, true, 1000), Millis(0)));
  }
  BOOST_TEST((admission.Enqueue(MakeQueued(4, true, 1000), Millis(0)) ==
              Reason::kRetryShare));
  for (uint64_t seq = 5; seq < 23; ++seq) {
    BOOST_TEST(!admission.Enqueue(MakeQueued(seq, false, 1000), Millis(0)));
  }
  BOOST_TEST((admission.Enqueue(MakeQueued(23, false, 1000), Millis(0)) ==
              Reason::kQueueFull));
}

BOOST_AUTO_TEST_CASE(RequestsThatCannotMeetTheirDeadlineAreRefused) {
  Admission admission({.slots = 1, .queue_length = 20});
  admission.Enqueue(MakeQueued(1, false, 10'000), Millis(0));
  admission.StartNext(Millis(0));
  admission.Finish(Millis(800));  // raises the mean service time to 100 ms
  admission.Enqueue(MakeQueued(2, false, 10'000), Millis(800));
  admission.StartNext(Millis(800));
  BOOST_TEST((admission.Enqueue(MakeQueued(3, false, 950), Millis(800)) ==
              Reason::kDeadline));
  BOOST_TEST(!admission.Enqueue(MakeQueued(4, false, 1000), Millis(800)));
  BOOST_TEST((admission.Enqueue(MakeQueued(5, false, 800), Millis(800)) ==
              Reason::kDeadline));
}

// Guards against a lasting outage: if one slow request raises the estimated
// service time above every deadline and the estimate also applied to a free
// slot, no request would ever run and lower it again.
BOOST_AUTO_TEST_CASE(AHighEstimateDoesNotKeepAFreeSlotEmpty) {
  Admission admission({.slots = 1, .queue_length = 20});
  admission.Enqueue(MakeQueued(1, false, 100'000), Millis(0));
  admission.StartNext(Millis(0));
  admission.Finish(Millis(60'000));
  BOOST_TEST(!admission.Enqueue(MakeQueued(2, false, 60'100), Millis(60'000)));
}

BOOST_AUTO_TEST_CASE(AFloodingCallerWaitsBehindItsOwnRequests) {
  Admission admission({.slots = 1, .queue_length = 50});
  for (uint64_t seq = 1; seq <= 40; ++seq) {
    AdmissionRequest flood = MakeQueued(seq, false, 100'000);
    flood.caller_ip = 1;
    BOOST_TEST(!admission.Enqueue(flood, Millis(0)));
  }
  BOOST_TEST(
      (admission.StartNext(Millis(0))->request_id.seq == base::RequestSeq{1}));
  AdmissionRequest other = MakeQueued(100, false, 100'000);
  other.caller_ip = 2;
  BOOST_TEST(!admission.Enqueue(other, Millis(0)));
  int position = 0;
  for (int i = 1; i <= 40 && position == 0; ++i) {
    admission.Finish(Millis(1));
    auto next = admission.StartNext(Millis(1));
    position = next->caller_ip == 2 ? i : 0;
  }
  BOOST_TEST(position >= 1);
  BOOST_TEST(position <= 2);
  admission.Finish(Millis(1));
  // The requests of one caller are served in the order of arrival.
  base::RequestSeq last{1};
  while (auto next = admission.StartNext(Millis(1))) {
    BOOST_TEST((next->request_id.seq > last));
    last = next->request_id.seq;
    admission.Finish(Millis(1));
  }
}

RC_BOOST_PROP(SlotLimitHoldsAndNoRequestStartsPastItsDeadline,
              (const std::vector<uint8_t>& steps)) {
  Admission admission({.slots = 3, .queue_length = 8, .retry_percent = 25});
  Millis now(0);
  uint64_t seq = 0;
  for (uint8_t step : steps) {
    now = now + Millis(step % 7);
    if (step % 3 == 0 && admission.running() > 0) {
      admission.Finish(Millis(step));
    } else {
      admission.Enqueue(
          MakeQueued(++seq, step % 5 == 0, now.count() + step % 40), now);
    }
    admission.TakeExpired(now);
    while (auto queued = admission.StartNext(now)) {
      RC_ASSERT(queued->deadline > now);
    }
    RC_ASSERT(admission.running() <= 3u);
    RC_ASSERT(admission.waiting() <= 8u);
  }
}

BOOST_AUTO_TEST_CASE(RetryBudgetTracksFirstAttemptsInTheWindow) {
  RetryBudget budget(10);
  for (int i = 0; i < 100; ++i) {
    budget.CountFirstAttempt(Millis(1000));
  }
  int taken = 0;
  while (budget.TakeRetry(Millis(1500))) {
    ++taken;
  }
  BOOST_TEST(taken == 10);
  Millis later = Millis(1000) + RetryBudget::kWindow + RetryBudget::kStep;
  taken = 0;
  while (budget.TakeRetry(later)) {
    ++taken;
  }
  BOOST_TEST(taken == static_cast<int>(RetryBudget::kMinRetries));
}

}  // namespace
}  // namespace filberthollow::decision::load
