#include "filberthollow/kernel/kernel.h"

#include <unistd.h>

#include <csignal>
#include <ctime>
#include <utility>

namespace filberthollow::kernel {
namespace {

constexpr int kDrainedSignal = SIGUSR1;

sigset_t WakeupSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigaddset(&set, kDrainedSignal);
  return set;
}

}  // namespace

Kernel::~Kernel() {
  Stop();
}

void Kernel::Add(std::unique_ptr<Task> task) {
  m_tasks.push_back(std::move(task));
}

void Kernel::Start() {
  for (const auto& task : m_tasks) {
    m_threads.emplace_back([raw = task.get()] { raw->Run(); });
  }
}

void Kernel::Stop() {
  while (!m_threads.empty()) {
    m_tasks[m_threads.size() - 1]->Stop();
    m_threads.back().join();
    m_threads.pop_back();
  }
}

void BlockSignals() {
  sigset_t set = WakeupSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

Wakeup WaitForWakeup(int timeout_ms) {
  sigset_t set = WakeupSignals();
  int signal = 0;
  if (timeout_ms < 0) {
    sigwait(&set, &signal);
  } else {
    timespec timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1'000'000L};
    signal = sigtimedwait(&set, nullptr, &timeout);
  }
  if (signal < 0) {
    return Wakeup::kTimeout;
  }
  if (signal == SIGHUP) {
    return Wakeup::kReload;
  }
  return signal == kDrainedSignal ? Wakeup::kDrained : Wakeup::kStopSignal;
}

Wakeup WaitForStop() {
  Wakeup wakeup = WaitForWakeup(-1);
  while (wakeup == Wakeup::kReload) {
    wakeup = WaitForWakeup(-1);
  }
  return wakeup;
}

void NotifyDrained() {
  kill(getpid(), kDrainedSignal);
}

}  // namespace filberthollow::kernel
