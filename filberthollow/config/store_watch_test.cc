#include "filberthollow/config/store_watch.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "filberthollow/testing/watch_only_store.h"

namespace filberthollow::config {
namespace {

using base::Millis;
using platform::WatchAnswer;
using platform::WatchQuery;

constexpr Millis kDeadline{1000};
constexpr Millis kTestLimit{20'000};
const base::Error kAborted =
    base::MakeError(std::errc::connection_aborted, "watch", "a:1");

// Fake store that keeps all calls until the test answers them.
class HeldStore final : public testing::WatchOnlyStore {
 public:
  struct Call {
    WatchQuery query;
    Handler<WatchAnswer> done;
  };

  void Watch(const WatchQuery& query, Handler<WatchAnswer> done) override {
    calls.push_back({query, std::move(done)});
  }

  std::vector<Call> calls;
};

struct Fixture {
  Fixture() { watch.Start(); }
  ~Fixture() { loop.Shutdown(); }

  // Answers call `number` with `revision`.
  void Answer(size_t number, uint64_t answer_revision) {
    store.calls.at(number).done(WatchAnswer{.revision = answer_revision});
  }
  void Fail(size_t number) { store.calls.at(number).done(kAborted); }
  // Runs the loop until there are `count` calls.
  void AwaitCalls(size_t count) {
    Millis end = clock.Now() + kTestLimit;
    auto guard = loop.After(kTestLimit, [] {});
    loop.RunUntil(
        [&] { return store.calls.size() >= count || clock.Now() >= end; });
    loop.Cancel(guard);
    BOOST_REQUIRE(store.calls.size() == count);
  }
  uint64_t Counter(std::string_view name) {
    for (const metrics::CounterSample& sample : metrics.Report().counters) {
      if (sample.name == name) {
        return sample.value;
      }
    }
    return 0;
  }

  base::SystemClock clock;
  net::Loop loop{clock};
  HeldStore store;
  metrics::Metrics metrics;
  uint64_t revision = 0;
  bool reachable = true;
  StoreWatch watch{loop,
                   store,
                   metrics,
                   {.prefix = "config/",
                    .counters = {"calls", "failed", "overdue"},
                    .deadline = kDeadline},
                   {.known_revision = [this] { return revision; },
                    .has_state = [this] { return revision > 0; },
                    .on_answer =
                        [this](const WatchAnswer& answer) {
                          if (answer.revision < revision) {
                            return AnswerEffect::kOutdated;
                          }
                          revision = answer.revision;
                          return AnswerEffect::kApplied;
                        },
                    .on_reachable =
                        [this](bool now_reachable, const std::string& /*why*/) {
                          reachable = now_reachable;
                        }}};
};

// Guards against a watch whose answer was lost and that was taken for one that
// waits until its time-out, 33 s later.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsNoticedWithinTheDeadline, Fixture) {
  Answer(0, 20);
  AwaitCalls(2);
  BOOST_TEST(reachable);
  AwaitCalls(3);
  BOOST_TEST(!reachable);
  const WatchQuery& lost = store.calls[1].query;
  decision::membership::WatchSchedule schedule(kDeadline);
  BOOST_TEST(
      (lost.wait + schedule.AnswerGrace() + schedule.LongestRetryDelay() <
       kDeadline));
  BOOST_TEST((store.calls[2].query == WatchQuery{"config/", 20, Millis(0)}));
  Answer(2, 23);
  AwaitCalls(4);
  BOOST_TEST(reachable);
  BOOST_TEST(store.calls[3].query.after_revision == 23U);
  BOOST_TEST(store.calls[3].query.wait.count() > 0);
}

// Guards against a first list whose answer was lost.
BOOST_FIXTURE_TEST_CASE(LostFirstAnswerIsNoticed, Fixture) {
  AwaitCalls(2);
  BOOST_TEST((store.calls[1].query == WatchQuery{"config/", 0, Millis(0)}));
  BOOST_TEST(!reachable);
}

// Guards against a slow store that is called over and over, each time before it
// can answer.
BOOST_FIXTURE_TEST_CASE(LateAnswerIsUsed, Fixture) {
  AwaitCalls(3);
  Answer(0, 20);
  BOOST_TEST(revision == 20U);
  BOOST_TEST(reachable);
  AwaitCalls(4);
  BOOST_TEST((store.calls[3].query.after_revision == 20U));
  // The answers of the calls between come later, and may be older.
  Answer(1, 18);
  Answer(2, 20);
  BOOST_TEST(revision == 20U);
  BOOST_TEST(reachable);
  BOOST_TEST(store.calls.size() == 4U);
}

// Guards against two calls for one failure: that an answer is overdue, and then
// the time-out of the same call.
BOOST_FIXTURE_TEST_CASE(OverdueCallThatFailsIsNotRepeatedTwice, Fixture) {
  AwaitCalls(2);
  Fail(0);
  BOOST_TEST(store.calls.size() == 2U);
  Answer(1, 20);
  AwaitCalls(3);
  BOOST_TEST((store.calls[2].query.after_revision == 20U));
  BOOST_TEST(Counter("overdue") == 1U);
  // The next call is made only since the answer of the last one is overdue.
  AwaitCalls(4);
  BOOST_TEST(Counter("overdue") == 2U);
  BOOST_TEST(Counter("failed") == 1U);
}

// Guards against a failure that is not repeated, since an answer was overdue
// before.
BOOST_FIXTURE_TEST_CASE(FailureIsRepeated, Fixture) {
  Fail(0);
  AwaitCalls(2);
  AwaitCalls(3);
  Fail(2);
  AwaitCalls(4);
  Fail(1);
  Answer(3, 20);
  BOOST_TEST(revision == 20U);
  BOOST_TEST(reachable);
}

// Guards against an older answer that is taken for the present state.
BOOST_FIXTURE_TEST_CASE(OutdatedAnswerIsAFailure, Fixture) {
  Answer(0, 20);
  AwaitCalls(2);
  Answer(1, 19);
  BOOST_TEST(!reachable);
  BOOST_TEST(revision == 20U);
  AwaitCalls(3);
  BOOST_TEST((store.calls[2].query == WatchQuery{"config/", 20, Millis(0)}));
}

}  // namespace
}  // namespace filberthollow::config
