#include "filberthollow/config/write_back.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filberthollow::config {
namespace {

using platform::StoredObject;
using platform::VersionOf;
using platform::WriteAnswer;

constexpr base::Millis kDelay{40};
constexpr uint64_t kSeed = 7;

// Fake store that records writes. Answers when the test says so.
class FakeStore final : public platform::ObjectStore {
 public:
  struct WriteCall {
    std::string name;
    uint64_t if_version = 0;
    std::string value;
    friend bool operator==(const WriteCall&, const WriteCall&) = default;
  };

  void Read(const std::string& /*name*/,
            Handler<StoredObject> /*done*/) override {}
  void Write(const std::string& name,
             uint64_t if_version,
             const std::string& value,
             Handler<WriteAnswer> done) override {
    writes.push_back({name, if_version, value});
    m_waiting.push_back(std::move(done));
  }
  void Delete(const std::string& /*name*/,
              uint64_t /*if_version*/,
              Handler<WriteAnswer> /*done*/) override {}
  void Watch(const platform::WatchQuery& /*query*/,
             Handler<platform::WatchAnswer> /*done*/) override {}

  // Answers the oldest write that waits.
  void Answer(const base::Result<WriteAnswer>& answer) {
    Handler<WriteAnswer> done = std::move(m_waiting.front());
    m_waiting.pop_front();
    done(answer);
  }

  std::vector<WriteCall> writes;

 private:
  std::deque<Handler<WriteAnswer>> m_waiting;
};

// A write-back with its fake store, timer and state.
struct Fixture {
  using TimerCall = std::pair<base::Millis, std::function<void()>>;

  FakeStore store;
  std::deque<TimerCall> timers;
  std::optional<LostObject> lost;
  metrics::Metrics metrics;
  WriteBack write_back{
      store,
      {[this](base::Millis delay, std::function<void()> callback) {
         timers.emplace_back(delay, std::move(callback));
       },
       [this](const LostObject& object) { return lost == object; }},
      metrics,
      kSeed};

  void Report(const LostObject& object) {
    lost = object;
    write_back.Start(object, kDelay);
  }
  // Runs the oldest timer and returns its delay.
  base::Millis RunTimer() {
    TimerCall call = std::move(timers.front());
    timers.pop_front();
    call.second();
    return call.first;
  }
  uint64_t WrittenBack() const {
    for (const metrics::CounterSample& counter : metrics.Report().counters) {
      if (counter.name == "config_written_back") {
        return counter.value;
      }
    }
    return 0;
  }
};

LostObject MakeLost(uint64_t store_version) {
  return {store_version, {"config/keys", VersionOf(1, 18), "{}"}};
}

base::Error MakeFailure() {
  return base::MakeError(std::errc::connection_refused, "write config/keys",
                         "198.18.0.1:80");
}

BOOST_AUTO_TEST_CASE(ALostObjectIsWrittenOnceOnTheVersionOfTheStore) {
  Fixture f;
  f.Report(MakeLost(VersionOf(2, 15)));
  BOOST_TEST(f.store.writes.empty());
  BOOST_TEST((f.RunTimer() == kDelay));
  BOOST_REQUIRE(f.store.writes.size() == 1U);
  BOOST_TEST((f.store.writes.front() ==
              FakeStore::WriteCall{"config/keys", VersionOf(2, 15), "{}"}));
  f.store.Answer(WriteAnswer{WriteAnswer::kWritten, VersionOf(2, 16)});
  BOOST_TEST(f.WrittenBack() == 1U);
  BOOST_TEST(f.timers.empty());
}

BOOST_AUTO_TEST_CASE(NothingIsWrittenOnceAnotherProcessHasWritten) {
  Fixture f;
  f.Report(MakeLost(VersionOf(2, 15)));
  f.lost.reset();
  f.RunTimer();
  BOOST_TEST(f.store.writes.empty());
  BOOST_TEST(f.timers.empty());
}

BOOST_AUTO_TEST_CASE(AConflictEndsTheAttempts) {
  Fixture f;
  f.Report(MakeLost(0));
  f.RunTimer();
  f.store.Answer(WriteAnswer{WriteAnswer::kConflict, VersionOf(2, 16)});
  BOOST_TEST(f.timers.empty());
  BOOST_TEST(f.WrittenBack() == 0U);
}

BOOST_AUTO_TEST_CASE(AFailedWriteIsRepeatedWhileTheObjectIsLost) {
  Fixture f;
  f.Report(MakeLost(VersionOf(2, 15)));
  f.RunTimer();
  f.store.Answer(MakeFailure());
  BOOST_TEST((f.RunTimer() <= WriteBack::kInitialRetryDelay));
  f.store.Answer(WriteAnswer{});
  BOOST_TEST((f.RunTimer() >= WriteBack::kInitialRetryDelay));
  BOOST_TEST(f.store.writes.size() == 3U);
  f.store.Answer(MakeFailure());
  f.lost.reset();
  f.RunTimer();
  BOOST_TEST(f.store.writes.size() == 3U);
  BOOST_TEST(f.timers.empty());
}

// Guards against a store that came back from a copy again during the write.
BOOST_AUTO_TEST_CASE(AnObjectThatIsLostAgainDuringTheWriteIsWrittenAgain) {
  Fixture f;
  f.Report(MakeLost(VersionOf(2, 15)));
  f.RunTimer();
  f.Report(MakeLost(VersionOf(3, 14)));
  BOOST_TEST(f.timers.empty());
  f.store.Answer(WriteAnswer{WriteAnswer::kConflict, VersionOf(3, 14)});
  f.RunTimer();
  BOOST_REQUIRE(f.store.writes.size() == 2U);
  BOOST_TEST(f.store.writes.back().if_version == VersionOf(3, 14));
}

BOOST_AUTO_TEST_CASE(ReportsBeforeTheWriteShareIt) {
  Fixture f;
  f.Report(MakeLost(VersionOf(2, 15)));
  f.Report(MakeLost(VersionOf(2, 17)));
  BOOST_TEST(f.timers.size() == 1U);
  f.RunTimer();
  BOOST_REQUIRE(f.store.writes.size() == 1U);
  BOOST_TEST(f.store.writes.front().if_version == VersionOf(2, 17));
}

}  // namespace
}  // namespace filberthollow::config
