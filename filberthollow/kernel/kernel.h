// The micro-kernel of a process: it owns the tasks, runs each on a thread of
// its own and stops them together. All else is a service in some task.
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
  // Start runs every task on a thread of its own.
  void Start();
  // Stop asks the tasks to end, last added first, and waits for each.
  void Stop();

 private:
  Registry m_registry;
  std::vector<std::unique_ptr<Task>> m_tasks;
  std::vector<std::thread> m_threads;
};

// Wakeup is why WaitForWakeup() returned.
enum class Wakeup : uint8_t {
  kStopSignal,  // SIGTERM or SIGINT
  kReload,      // SIGHUP: the settings may have changed
  kDrained,     // a task called NotifyDrained()
  kTimeout,
};

// BlockSignals keeps the signals of WaitForWakeup() from ending the process.
// Call it before any thread is started.
void BlockSignals();
// WaitForWakeup sleeps until a signal, NotifyDrained() or the timeout; a
// negative timeout never comes. For the main thread.
Wakeup WaitForWakeup(int timeout_ms);
// WaitForStop sleeps until a stop signal or NotifyDrained(); for processes that
// have nothing to reload.
Wakeup WaitForStop();
// NotifyDrained wakes the main thread; may be called from any thread.
void NotifyDrained();

}  // namespace filberthollow::kernel

#endif  // FILBERTHOLLOW_KERNEL_KERNEL_H_
