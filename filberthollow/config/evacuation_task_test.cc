#include "filberthollow/config/evacuation_task.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "filberthollow/testing/watch_only_store.h"

namespace filberthollow::config {
namespace {

std::string EntryName(const std::string& data_centre) {
  return platform::kEvacuationPrefix + data_centre;
}

using decision::membership::EvacuationList;
using platform::StoredObject;
using platform::VersionOf;
using platform::WatchAnswer;
using platform::WatchQuery;
using Answers = std::vector<base::Result<WatchAnswer>>;

// With this deadline and wall clock, each watch waits for as long as possible.
constexpr base::Millis kLongWait =
    decision::membership::WatchSchedule::kMaxWait;
constexpr base::Millis kLongDeadline =
    kLongWait * decision::membership::WatchSchedule::kTurnsPerDeadline;
constexpr uint64_t kFirst = VersionOf(1, 20);

// Fake store that gives one answer after the other to watches and records the
// queries. Calls `on_end` at the watch for which there is no answer.
class ScriptedStore final : public testing::WatchOnlyStore {
 public:
  ScriptedStore(Answers answers,
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
  const Answers m_answers;
  std::vector<WatchQuery>& m_queries;
  const std::function<void()> m_on_end;
};

// What a task does that gets certain answers. The
// report is requested last.
struct Run {
  explicit Run(Answers answers) {
    base::SystemClock clock;
    kernel::Registry registry;
    EvacuationTask* running = nullptr;
    EvacuationTask task(
        clock, registry,
        {.store =
             [&](net::HttpClient& /*client*/) {
               return std::make_unique<ScriptedStore>(
                   std::move(answers), queries, [&] {
                     registry.Post(kEvacuationService,
                                   EvacuationMessage(admin::ReportQuery{
                                       .query_id = 3, .reply_to = reports}));
                   });
             },
         .deadline = kLongDeadline,
         .wall_clock = [] { return base::Millis(0); }},
        [this](const EvacuationList& list) { lists.push_back(list); });
    running = &task;
    reports = std::make_shared<admin::ReportInbox>(1, [&] { running->Stop(); });
    task.Run();
    report = reports->Drain().at(0);
  }

  // Returns the value of a metric, or nullopt if it is not reported.
  std::optional<uint64_t> Metric(std::string_view name) const {
    for (const metrics::CounterSample& sample : report.metrics.counters) {
      if (sample.name == name) {
        return sample.value;
      }
    }
    return std::nullopt;
  }

  std::vector<WatchQuery> queries;
  std::vector<EvacuationList> lists;
  std::shared_ptr<admin::ReportInbox> reports;
  admin::Report report;
};

WatchQuery Query(uint64_t after, base::Millis wait) {
  return {platform::kEvacuationPrefix, after, wait};
}

const base::Error kUnreachable =
    base::MakeError(std::errc::connection_aborted, "watch", "a:1");

BOOST_AUTO_TEST_CASE(ListenerGetsTheFirstListAndEachChange) {
  Run run({WatchAnswer{.revision = kFirst, .complete = true},
           WatchAnswer{.revision = kFirst + 3},
           WatchAnswer{.revision = kFirst + 4,
                       .objects = {{EntryName("east"), kFirst + 4, "{}"}}}});
  BOOST_TEST((run.lists == std::vector<EvacuationList>{
                               {kFirst, {}}, {kFirst + 4, {"east"}}}));
  BOOST_TEST((run.queries ==
              std::vector<WatchQuery>{
                  Query(0, base::Millis(0)), Query(kFirst, kLongWait),
                  Query(kFirst + 3, kLongWait), Query(kFirst + 4, kLongWait)}));
}

// Guards against a watch that is held back after an outage: changes made before
// it would take effect 30 s late if the store came back from a copy.
BOOST_AUTO_TEST_CASE(WatchAfterAFailureDoesNotWaitForAChange) {
  Run run({WatchAnswer{.revision = kFirst, .complete = true}, kUnreachable,
           WatchAnswer{.revision = kFirst}});
  BOOST_TEST((run.queries ==
              std::vector<WatchQuery>{
                  Query(0, base::Millis(0)), Query(kFirst, kLongWait),
                  Query(kFirst, base::Millis(0)), Query(kFirst, kLongWait)}));
  BOOST_TEST(run.lists.size() == 1U);
  BOOST_TEST(*run.Metric("evacuation_watches_failed") == 1U);
}

// Guards against serving as if the list were known while the store fails.
BOOST_AUTO_TEST_CASE(ListenerIsNotCalledWhileTheStoreFailsAtStart) {
  Run run({kUnreachable, kUnreachable,
           WatchAnswer{.revision = kFirst, .complete = true}});
  BOOST_TEST((run.lists == std::vector<EvacuationList>{{kFirst, {}}}));
  BOOST_TEST((run.queries.at(2) == Query(0, base::Millis(0))));
}

// Guards against a store that repeats an answer of the past: without a delay,
// the task would call it over and over, and with its list, entries would go out
// of force.
BOOST_AUTO_TEST_CASE(OlderAnswerIsAFailure) {
  Run run({WatchAnswer{.revision = kFirst, .complete = true},
           WatchAnswer{.revision = kFirst - 1, .complete = true}});
  BOOST_TEST(run.lists.size() == 1U);
  BOOST_TEST((run.queries.at(2) == Query(kFirst, base::Millis(0))));
  BOOST_TEST(*run.Metric("evacuation_watches_failed") == 1U);
}

// Guards against an entry that stays in force for ever because the event of its
// removal could not be read.
BOOST_AUTO_TEST_CASE(UnreadableEventIsFollowedByACompleteList) {
  WatchAnswer first{.revision = kFirst,
                    .objects = {{EntryName("east"), kFirst, "{}"}},
                    .complete = true};
  Run run(
      {first, WatchAnswer{.revision = kFirst + 1, .unreadable = 1},
       WatchAnswer{.revision = kFirst + 1, .complete = true, .unreadable = 1}});
  BOOST_TEST((run.queries ==
              std::vector<WatchQuery>{
                  Query(0, base::Millis(0)), Query(kFirst, kLongWait),
                  Query(0, base::Millis(0)), Query(kFirst + 1, kLongWait)}));
  BOOST_TEST((run.lists == std::vector<EvacuationList>{{kFirst, {"east"}},
                                                       {kFirst + 1, {}}}));
  BOOST_TEST(*run.Metric("evacuations_malformed") == 2U);
}

BOOST_AUTO_TEST_CASE(ReportShowsTheEntries) {
  Run run({WatchAnswer{.revision = kFirst,
                       .objects = {{EntryName("east"), kFirst - 2, "{}"}},
                       .complete = true}});
  BOOST_TEST(run.report.query_id == 3U);
  BOOST_TEST(run.report.service == kEvacuationService);
  auto status = nlohmann::json::parse(run.report.status_json);
  BOOST_TEST(status["revision"] == kFirst);
  BOOST_TEST(status["platform_reachable"] == true);
  BOOST_REQUIRE(status["data_centres"].size() == 1U);
  BOOST_TEST(status["data_centres"][0]["name"] == "east");
  BOOST_TEST(status["data_centres"][0]["revision"] == kFirst - 2);
  BOOST_TEST(status["data_centres"][0]["in_force_ms"] >= 0);
  BOOST_TEST(*run.Metric("evacuations_revision") == kFirst);
  BOOST_TEST(*run.Metric("evacuations_in_force") == 1U);
  BOOST_TEST(*run.Metric("evacuations_malformed") == 0U);
}

}  // namespace
}  // namespace filberthollow::config
