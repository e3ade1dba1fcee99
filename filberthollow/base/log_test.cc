#include "filberthollow/base/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "filberthollow/base/log_budget.h"

namespace filberthollow::base {
namespace {

using nlohmann::json;

// Redirects the log to a non-blocking pipe, which only Lines() reads.
struct LogPipe {
  int ends[2] = {-1, -1};

  LogPipe() {
    BOOST_REQUIRE(pipe(ends) == 0);
    MakeNonBlocking(ends[0]);
    MakeNonBlocking(ends[1]);
    SetLogDescriptor(ends[1]);
  }
  ~LogPipe() {
    SetLogDescriptor(STDOUT_FILENO);
    close(ends[0]);
    close(ends[1]);
  }
  std::vector<json> Lines() {
    std::string text;
    char buffer[4096];
    for (ssize_t got; (got = read(ends[0], buffer, sizeof(buffer))) > 0;) {
      text.append(buffer, static_cast<size_t>(got));
    }
    std::vector<json> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(json::parse(line));
    }
    return lines;
  }
};

BOOST_AUTO_TEST_CASE(LineIsOneJsonObject) {
  SetLogProcess("entry-1");
  json line = json::parse(FormatLogLine(
      Level::kWarning, "flow_reset",
      {{"flow", "a>b"}, {"age_ms", Millis(5)}, {"odd", "q\"\\\n"}}, 3));
  BOOST_TEST(line["process"] == "entry-1");
  BOOST_TEST(line["level"] == "warning");
  BOOST_TEST(line["event"] == "flow_reset");
  BOOST_TEST(line["flow"] == "a>b");
  BOOST_TEST(line["age_ms"] == 5);
  BOOST_TEST(line["odd"] == "q\"\\\n");
  BOOST_TEST(line["held_back"] == 3);
  BOOST_TEST(line["time"].is_number());
  BOOST_TEST(line["up_ms"].is_number());
}

BOOST_AUTO_TEST_CASE(EventsAreLimitedIndependently) {
  LogRateLimiter limiter;
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(limiter.TryAcquire("a", 3, Millis(i)).has_value() == (i < 3));
  }
  BOOST_TEST(limiter.TryAcquire("b", 3, Millis(10)).has_value());
  BOOST_TEST(*limiter.TryAcquire("a", 3, Millis(1000)) == 7U);
  BOOST_TEST(*limiter.TryAcquire("a", 3, Millis(1001)) == 0U);
}

BOOST_AUTO_TEST_CASE(FloodOfOneEventIsLimited) {
  LogPipe pipe;
  for (int i = 0; i < 1000; ++i) {
    Log(Level::kInfo, "flood_test");
  }
  size_t written = pipe.Lines().size();
  BOOST_TEST(written >= 50U);
  BOOST_TEST(written <= 100U);  // the loop may extend over two windows
}

BOOST_AUTO_TEST_CASE(StalledReaderDoesNotBlockAndDroppedLinesAreCounted) {
  LogPipe pipe;
  std::string filling(4096, 'x');
  while (write(pipe.ends[1], filling.data(), filling.size()) > 0) {
  }
  Log(Level::kError, "stalled_test");
  Log(Level::kError, "stalled_test");
  char sink[4096];
  while (read(pipe.ends[0], sink, sizeof(sink)) > 0) {
  }
  Log(Level::kError, "stalled_test");
  std::vector<json> lines = pipe.Lines();
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["held_back"] == 2);
}

}  // namespace
}  // namespace filberthollow::base
