#include "filberthollow/config/fleet_config_task.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "filberthollow/testing/watch_only_store.h"

namespace filberthollow::config {
namespace {

using decision::membership::WatchSchedule;
using platform::StoredObject;
using platform::VersionOf;
using platform::WatchAnswer;
using platform::WatchQuery;

// With this deadline and wall clock, each watch waits for as long as possible.
constexpr base::Millis kLongDeadline =
    WatchSchedule::kMaxWait * WatchSchedule::kTurnsPerDeadline;

// Fake store that gives one answer after the other to watches and records the
// queries. Calls `on_end` at the watch for which there is no answer.
class ScriptedStore final : public testing::WatchOnlyStore {
 public:
  ScriptedStore(std::vector<base::Result<WatchAnswer>> answers,
                std::vector<WatchQuery>& queries,
                std::function<void()> on_end)
      : m_answers(std::move(answers)),
        m_queries(queries),
        m_on_end(std::move(on_end)) {}

  void Watch(const WatchQuery& query, Handler<WatchAnswer> done) override {
    m_queries.push_back(query);
    if (m_queries.size() > m_answers.size()) {
      m_on_end();
      return;
    }
    done(m_answers[m_queries.size() - 1]);
  }

 private:
  const std::vector<base::Result<WatchAnswer>> m_answers;
  std::vector<WatchQuery>& m_queries;
  const std::function<void()> m_on_end;
};

// Returns the watches of a task that gets these answers.
std::vector<WatchQuery> WatchesOf(
    std::vector<base::Result<WatchAnswer>> answers) {
  std::vector<WatchQuery> queries;
  base::SystemClock clock;
  kernel::Registry registry;
  FleetConfigTask* running = nullptr;
  FleetConfigTask task(clock, registry,
                       {.store =
                            [&](net::HttpClient& /*client*/) {
                              return std::make_unique<ScriptedStore>(
                                  std::move(answers), queries,
                                  [&] { running->Stop(); });
                            },
                        .deadline = kLongDeadline,
                        .wall_clock = [] { return base::Millis(0); }},
                       {});
  running = &task;
  task.Run();
  return queries;
}

// Guards against a store that came back from a copy and had reached the watched
// revision again at the next call: the process waited 30 s for a change and
// missed those made before the call.
BOOST_AUTO_TEST_CASE(WatchAfterAFailureDoesNotWaitForAChange) {
  uint64_t revision = VersionOf(1, 18);
  std::vector<WatchQuery> watches =
      WatchesOf({WatchAnswer{.revision = revision, .complete = true},
                 base::MakeError(std::errc::connection_aborted, "watch config/",
                                 "198.18.0.1:80"),
                 WatchAnswer{.revision = revision}});
  BOOST_REQUIRE(watches.size() == 4U);
  const base::Millis long_wait = WatchSchedule::kMaxWait;
  BOOST_TEST((watches[1] == WatchQuery{"config/", revision, long_wait}));
  BOOST_TEST((watches[2] == WatchQuery{"config/", revision, base::Millis(0)}));
  BOOST_TEST((watches[3] == WatchQuery{"config/", revision, long_wait}));
}

}  // namespace
}  // namespace filberthollow::config
