// The registry by which services in one process find each other by name.
//
// A service registers its inbox; others look it up by name and message type. A
// lookup returns null if the name is unknown or its message type differs.
//
//   registry.Register<RouterMessage>("router", inbox);
//   registry.Post("router", RouterMessage(m));
#ifndef FILBERTHOLLOW_KERNEL_REGISTRY_H_
#define FILBERTHOLLOW_KERNEL_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <typeindex>

#include "filberthollow/kernel/inbox.h"

namespace filberthollow::kernel {

// Registry is thread-safe.
class Registry {
 public:
  // Register publishes `inbox` as `name`; returns false if the name is taken.
  template <class Message>
  bool Register(std::string name, std::shared_ptr<Inbox<Message>> inbox) {
    return Add(std::move(name), Entry{typeid(Message), std::move(inbox)});
  }

  // Find returns the inbox published as `name`, or null.
  template <class Message>
  std::shared_ptr<Inbox<Message>> Find(std::string_view name) const {
    std::shared_ptr<void> inbox = Get(name, typeid(Message));
    return std::static_pointer_cast<Inbox<Message>>(inbox);
  }

  // Post sends a message to the service `name`; returns false if there is no
  // such service or its inbox is full.
  template <class Message>
  bool Post(std::string_view name, Message message) const {
    auto inbox = Find<Message>(name);
    return inbox != nullptr && inbox->Post(std::move(message));
  }

 private:
  struct Entry {
    std::type_index type;
    std::shared_ptr<void> inbox;
  };

  bool Add(std::string name, Entry entry);
  std::shared_ptr<void> Get(std::string_view name, std::type_index type) const;

  mutable std::mutex m_mutex;
  std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace filberthollow::kernel

#endif  // FILBERTHOLLOW_KERNEL_REGISTRY_H_
