// Structured logging to standard output, one JSON object per line.
//
//   SetLogProcess("entry-1");
//   Log(Level::kInfo, "listening", {{"role", "agent"}, {"port", 7000}});
//   // {"time":1700000000123,"up_ms":12,"process":"entry-1","level":"info",
//   //  "event":"listening","role":"agent","port":7000}
//
// Each event is rate limited by its level (see log_budget.h). The next line of
// the event that is written reports the number of suppressed lines in
// "held_back". Logging to a non-blocking descriptor never blocks: a line that
// cannot be written at once is dropped and counted in the same way.
#ifndef FILBERTHOLLOW_BASE_LOG_H_
#define FILBERTHOLLOW_BASE_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "filberthollow/base/clock.h"

namespace filberthollow::base {

// Level is the severity of a log line, in ascending order.
enum class Level : uint8_t { kDebug, kInfo, kWarning, kError };

// LogField is a named value in a log line.
struct LogField {
  LogField(std::string_view field_name, std::string text)
      : name(field_name), value(std::move(text)) {}
  LogField(std::string_view field_name, std::integral auto count)
      : name(field_name), value(std::to_string(count)), is_number(true) {}
  LogField(std::string_view field_name, Millis time)
      : LogField(field_name, time.count()) {}

  std::string_view name;
  std::string value;
  bool is_number = false;  // formatted without quotes
  friend bool operator==(const LogField&, const LogField&) = default;
};

// SetLogProcess sets the process name in each line; call it before starting
// other threads.
void SetLogProcess(std::string name);
// SetLogLevel discards lines below `level`; thread-safe.
void SetLogLevel(Level level);
// SetLogDescriptor redirects the log to another open descriptor, such as
// standard error in a command that prints its results to standard output.
// Logging never blocks if the descriptor is non-blocking; see
// MakeNonBlocking().
void SetLogDescriptor(int descriptor);
// MakeNonBlocking sets O_NONBLOCK on a descriptor.
void MakeNonBlocking(int descriptor);
// ParseLevel parses "debug", "info", "warning" or "error"; returns false for
// any other text.
bool ParseLevel(std::string_view text, Level& level);
// FormatLogLine returns the line that Log() writes, without the newline. The
// field "held_back" is included if it is not 0.
std::string FormatLogLine(Level level,
                          std::string_view event,
                          std::initializer_list<LogField> fields,
                          uint64_t held_back = 0);
// Log writes one line with a single write(); thread-safe.
void Log(Level level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_LOG_H_
