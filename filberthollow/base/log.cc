#include "filberthollow/base/log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <iterator>
#include <mutex>

#include "filberthollow/base/log_budget.h"

namespace filberthollow::base {
namespace {

struct LevelInfo {
  std::string_view name;
  // Maximum rate of each event. Routine levels have the lowest limits, so that
  // logging a burst of new flows costs less than 1% of a small core. Refusals,
  // flow moves and changes in the known state of peers are logged as warnings.
  uint32_t lines_per_second;
};
constexpr std::array<LevelInfo, 4> kLevels{{
    {"debug", 20},
    {"info", 50},
    {"warning", 200},
    {"error", 200},
}};

// A write of at most PIPE_BUF (4096) bytes to a pipe is atomic; a longer line
// could be written partially when the pipe is nearly full.
constexpr size_t kMaxLineBytes = 4096;

std::atomic<Level> g_level = Level::kInfo;
std::atomic<int> g_descriptor = STDOUT_FILENO;

// Logging state shared by all threads of the process.
struct LogState {
  std::mutex mutex;
  std::string process;
  LogRateLimiter limiter;
  SystemClock clock;
  Millis started = clock.Now();
};

LogState& GetLogState() {
  static LogState state;
  return state;
}

const LevelInfo& InfoOf(Level level) {
  return kLevels.at(static_cast<size_t>(level));
}

void AppendQuoted(std::string& line, std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  line += '"';
  for (char c : text) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (static_cast<unsigned char>(c) < kFirstPrintable) {
      fmt::format_to(std::back_inserter(line), "\\u{:04x}",
                     static_cast<unsigned>(c));
    } else {
      line += c;
    }
  }
  line += '"';
}

}  // namespace

void SetLogProcess(std::string name) {
  GetLogState().process = std::move(name);
}

void SetLogLevel(Level level) {
  g_level = level;
}

void SetLogDescriptor(int descriptor) {
  g_descriptor = descriptor;
}

void MakeNonBlocking(int descriptor) {
  int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool ParseLevel(std::string_view text, Level& level) {
  for (size_t i = 0; i < kLevels.size(); ++i) {
    if (text == kLevels[i].name) {
      level = static_cast<Level>(i);
      return true;
    }
  }
  return false;
}

std::string FormatLogLine(Level level,
                          std::string_view event,
                          std::initializer_list<LogField> fields,
                          uint64_t held_back) {
  LogState& state = GetLogState();
  std::string line =
      fmt::format(R"({{"time":{},"up_ms":{},"process":)", WallMillis().count(),
                  (state.clock.Now() - state.started).count());
  AppendQuoted(line, state.process);
  fmt::format_to(std::back_inserter(line), R"(,"level":"{}","event":)",
                 InfoOf(level).name);
  AppendQuoted(line, event);
  for (const LogField& field : fields) {
    line += ',';
    AppendQuoted(line, field.name);
    line += ':';
    if (field.is_number) {
      line += field.value;
    } else {
      AppendQuoted(line, field.value);
    }
  }
  if (held_back > 0) {
    fmt::format_to(std::back_inserter(line), R"(,"held_back":{})", held_back);
  }
  return line + '}';
}

void Log(Level level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < g_level) {
    return;
  }
  LogState& state = GetLogState();
  std::lock_guard lock(state.mutex);
  std::optional<uint64_t> held_back = state.limiter.TryAcquire(
      event, InfoOf(level).lines_per_second, state.clock.Now());
  if (!held_back) {
    return;
  }
  std::string line = FormatLogLine(level, event, fields, *held_back) + "\n";
  bool written = line.size() <= kMaxLineBytes &&
                 write(g_descriptor, line.data(), line.size()) ==
                     static_cast<ssize_t>(line.size());
  if (!written) {
    state.limiter.RecordUnwritten(event, *held_back);
  }
}

}  // namespace filberthollow::base
