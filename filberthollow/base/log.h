// Structured log lines on standard output: one JSON object a line.
//
//   SetLogProcess("entry-1");
//   Log(Level::kInfo, "listening", {{"role", "agent"}, {"port", 7000}});
//   // {"time":1700000000123,"up_ms":12,"process":"entry-1","level":"info",
//   //  "event":"listening","role":"agent","port":7000}
//
// The volume is bounded: each event has a budget of lines a second by its level
// (see log_budget.h), and the next line that is written says in "held_back" how
// many were not. Writing never waits: a line that the reader does not take is
// held back too.
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

// Level orders log lines by importance.
enum class Level : uint8_t { kDebug, kInfo, kWarning, kError };

// LogField is one name and value of a line.
struct LogField {
  LogField(std::string_view field_name, std::string text)
      : name(field_name), value(std::move(text)) {}
  LogField(std::string_view field_name, std::integral auto count)
      : name(field_name), value(std::to_string(count)), is_number(true) {}
  LogField(std::string_view field_name, Millis time)
      : LogField(field_name, time.count()) {}

  std::string_view name;
  std::string value;
  bool is_number = false;  // written without quotes
  friend bool operator==(const LogField&, const LogField&) = default;
};

// SetLogProcess names this process in each line; call it before other threads
// are started.
void SetLogProcess(std::string name);
// SetLogLevel hides lines below `level`; may be called from any thread.
void SetLogLevel(Level level);
// SetLogDescriptor makes lines go to another open descriptor, such as standard
// error where standard output holds a command's results. Lines are written
// without waiting if the descriptor is non-blocking; see MakeNonBlocking().
void SetLogDescriptor(int descriptor);
// MakeNonBlocking keeps writes to a descriptor from waiting for its reader.
void MakeNonBlocking(int descriptor);
// ParseLevel reads "debug", "info", "warning" or "error"; returns false if the
// text is none of them.
bool ParseLevel(std::string_view text, Level& level);
// FormatLogLine returns the line that Log() writes, without the line end.
// `held_back` is told if it is not 0.
std::string FormatLogLine(Level level,
                          std::string_view event,
                          std::initializer_list<LogField> fields,
                          uint64_t held_back = 0);
// Log writes one line in one system call; may be called from any thread.
void Log(Level level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_LOG_H_
