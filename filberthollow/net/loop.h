// The event loop of a task: one libwebsockets context that blocks in poll until
// I/O is ready, a timer expires or Wake() is called. It never spins.
//
//   Loop loop(clock);
//   loop.SetOnWake([&] { HandleInbox(); });
//   loop.After(Millis(1000), [&] { SendHeartbeat(); });
//   loop.Run();   // returns after Quit()
#ifndef FILBERTHOLLOW_NET_LOOP_H_
#define FILBERTHOLLOW_NET_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "filberthollow/base/clock.h"

struct lws;
struct lws_context;
struct lws_vhost;

namespace filberthollow::net {

// Loop is used on the thread that calls Run(), except for Wake() and Quit(),
// which are thread-safe.
class Loop {
 public:
  // TimerId identifies a timer: its expiry time and a sequence number.
  using TimerId = std::pair<base::Millis, uint64_t>;

  explicit Loop(const base::Clock& clock);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Run handles events until Quit() is called.
  void Run();
  // RunUntil handles events until `done` returns true.
  void RunUntil(const std::function<bool()>& done);
  // Quit makes Run() return; thread-safe.
  void Quit();
  // Wake schedules a call of the wake handler on the loop's thread.
  void Wake();
  // SetOnWake sets the wake handler; call it before Run().
  void SetOnWake(std::function<void()> on_wake);

  // Shutdown closes all sockets and connections without calling the handlers of
  // HTTP exchanges in progress. Run() must have returned, and nothing may be
  // started afterwards.
  void Shutdown();
  // Returns whether Shutdown() has begun.
  bool closing() const { return m_closing; }

  // After calls `callback` once after `delay`.
  TimerId After(base::Millis delay, std::function<void()> callback);
  // Cancel removes a timer; no effect if it has already fired.
  void Cancel(TimerId timer);

  // WatchReadable calls `callback` whenever `fd` is readable. The loop takes
  // ownership of the descriptor; returns false if adopting it failed.
  bool WatchReadable(int fd, std::function<void()> callback);

  base::Millis Now() const { return m_clock.Now(); }
  // Returns the number of times the loop has returned from its wait.
  uint64_t wakeups() const { return m_wakeups; }

  // Used by HttpClient and HttpServer.
  lws_context* context() { return m_context; }
  lws_vhost* client_vhost() { return m_vhost; }

 private:
  struct Callbacks;  // libwebsockets' callbacks, with access to this class

  void ArmNextTimer();
  void FireTimers();

  const base::Clock& m_clock;
  lws_context* m_context = nullptr;
  lws_vhost* m_vhost = nullptr;
  std::atomic<bool> m_quit = false;
  std::mutex m_wake_mutex;  // guards m_closing, which Wake() reads
  bool m_closing = false;
  uint64_t m_wakeups = 0;
  uint64_t m_next_timer = 0;
  std::function<void()> m_on_wake;
  std::map<TimerId, std::function<void()>> m_timers;
  // A timerfd is used because libwebsockets timers busy-poll during the last
  // millisecond of each wait.
  int m_timer_fd = -1;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_LOOP_H_
