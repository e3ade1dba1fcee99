// A kernel task that runs an event loop and receives messages of one type.
//
//   class RelayTask : public LoopTask<RelayMessage> {
//     void OnStart() override { ... open sockets, set timers ... }
//     void OnMessage(const RelayMessage& message) override { ... }
//   };
#ifndef FILBERTHOLLOW_NET_LOOP_TASK_H_
#define FILBERTHOLLOW_NET_LOOP_TASK_H_

#include <memory>
#include <string>
#include <utility>

#include "filberthollow/kernel/kernel.h"
#include "filberthollow/net/loop.h"

namespace filberthollow::net {

// kInboxCapacity is the maximum number of messages queued for one task.
inline constexpr size_t kInboxCapacity = 4096;

template <class Message>
class LoopTask : public kernel::Task {
 public:
  // Registers the task's inbox as `name`.
  LoopTask(const base::Clock& clock,
           kernel::Registry& registry,
           std::string name)
      : m_registry(registry),
        m_name(std::move(name)),
        m_loop(clock),
        m_inbox(std::make_shared<kernel::Inbox<Message>>(
            kInboxCapacity,
            [this] { m_loop.Wake(); })) {
    m_loop.SetOnWake([this] { HandleInbox(); });
    registry.Register(m_name, m_inbox);
  }

  void Run() final {
    OnStart();
    m_loop.Run();
    OnStopped();
    // Closes the sockets before the derived task is destroyed.
    m_loop.Shutdown();
  }
  void Stop() override { m_loop.Quit(); }

 protected:
  // OnStart is called on the task's thread before any message or event.
  virtual void OnStart() = 0;
  // OnMessage handles one message from the inbox.
  virtual void OnMessage(const Message& message) = 0;
  // OnStopped is called on the task's thread after the last event.
  virtual void OnStopped() {}

  // Post sends a message to another service by name; returns false if there is
  // no such service or its inbox is full.
  template <class OtherMessage>
  bool Post(std::string_view service, OtherMessage message) {
    return m_registry.Post(service, std::move(message));
  }

  Loop& loop() { return m_loop; }
  const std::string& name() const { return m_name; }
  base::Millis Now() const { return m_loop.Now(); }

 private:
  void HandleInbox() {
    for (const Message& message : m_inbox->Drain()) {
      OnMessage(message);
    }
  }

  kernel::Registry& m_registry;
  const std::string m_name;
  Loop m_loop;
  std::shared_ptr<kernel::Inbox<Message>> m_inbox;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_LOOP_TASK_H_
