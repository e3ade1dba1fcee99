// The micro-kernel of a process: it owns the tasks, runs each on its own thread
// and stops them together. All other functions are services that tasks provide.
//
//   Kernel kernel;
//   kernel.Add(std::make_unique<RouterTask>(kernel.registry(), ...));
//   kernel.Start();
//   WaitForWakeup(-1);
//   kernel.Stop();
#ifndef FILBERTHOLLOW_KERNEL_KERNEL_H_
#define FILBERTHOLLOW_KERNEL_KERNEL_H_

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "filberthollow/kernel/registry.h"

namespace filberthollow::kernel {

// Task owns its sockets and state. Run() is called once, on the task's own
// thread, and blocks in an event loop until Stop() is called from any thread.
class Task {
 public:
  virtual ~Task() = default;
  virtual void Run() = 0;
  virtual void Stop() = 0;
};

// Kernel is used from the main thread only; registry() from any thread.
class Kernel {
 public:
  Kernel() = default;
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Returns the registry that the tasks of this process share.
  Registry& registry() { return m_registry; }

  // Add takes ownership of a task; call it before Start().
  void Add(std::unique_ptr<Task> task);
  // Start runs each task on its own thread.
  void Start();
  // Stop stops and joins the tasks one by one, in reverse order of addition.
  void Stop();

 private:
  Registry m_registry;
  std::vector<std::unique_ptr<Task>> m_tasks;
  std::vector<std::thread> m_threads;
};

// Wakeup is the reason why WaitForWakeup() returned.
enum class Wakeup : uint8_t {
  kStopSignal,  // SIGTERM or SIGINT
  kReload,      // SIGHUP: the settings may have changed
  kDrained,     // a task called NotifyDrained()
  kTimeout,
};

// BlockSignals blocks the signals that WaitForWakeup() handles and ignores
// SIGPIPE. Call it before starting any thread.
void BlockSignals();
// WaitForWakeup blocks the main thread until a signal, NotifyDrained() or the
// timeout. A negative timeout waits indefinitely.
Wakeup WaitForWakeup(int timeout_ms);
// WaitForStop blocks until a stop signal or NotifyDrained(), ignoring SIGHUP;
// for processes without reloadable settings.
Wakeup WaitForStop();
// NotifyDrained wakes the main thread with Wakeup::kDrained; thread-safe.
void NotifyDrained();

}  // namespace filberthollow::kernel

#endif  // FILBERTHOLLOW_KERNEL_KERNEL_H_
