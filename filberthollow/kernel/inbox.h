// A bounded multi-producer message queue, the only channel between tasks.
//
// Any thread may post an immutable message. The owner is woken through its
// event loop and takes all queued messages at once. A full inbox rejects the
// message, and the sender decides how to handle that.
//
//   Inbox<Command> inbox(1024, [&loop] { loop.Wake(); });
//   bool taken = inbox.Post(Command{...});         // any thread
//   for (const Command& c : inbox.Drain()) { ... }  // the owner's thread
#ifndef FILBERTHOLLOW_KERNEL_INBOX_H_
#define FILBERTHOLLOW_KERNEL_INBOX_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace filberthollow::kernel {

template <class Message>
class Inbox {
 public:
  // Creates an inbox for at most `capacity` queued messages. `wake` is called
  // on the sender's thread when the inbox becomes non-empty.
  Inbox(size_t capacity, std::function<void()> wake)
      : m_capacity(capacity), m_wake(std::move(wake)) {}

  Inbox(const Inbox&) = delete;
  Inbox& operator=(const Inbox&) = delete;

  // Post adds a message; returns false if the inbox is full.
  bool Post(Message message) {
    bool was_empty = false;
    {
      std::lock_guard lock(m_mutex);
      if (m_waiting.size() >= m_capacity) {
        return false;
      }
      was_empty = m_waiting.empty();
      m_waiting.push_back(std::move(message));
    }
    if (was_empty) {
      m_wake();
    }
    return true;
  }

  // Drain removes and returns all queued messages in FIFO order.
  std::vector<Message> Drain() {
    std::lock_guard lock(m_mutex);
    return std::exchange(m_waiting, {});
  }

 private:
  const size_t m_capacity;
  const std::function<void()> m_wake;
  std::mutex m_mutex;
  std::vector<Message> m_waiting;
};

}  // namespace filberthollow::kernel

#endif  // FILBERTHOLLOW_KERNEL_INBOX_H_
