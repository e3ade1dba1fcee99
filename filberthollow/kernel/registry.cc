#include "filberthollow/kernel/registry.h"

namespace filberthollow::kernel {

bool Registry::Add(std::string name, Entry entry) {
  std::lock_guard lock(m_mutex);
  return m_entries.emplace(std::move(name), std::move(entry)).second;
}

std::shared_ptr<void> Registry::Get(std::string_view name,
                                    std::type_index type) const {
  std::lock_guard lock(m_mutex);
  auto entry = m_entries.find(name);
  if (entry == m_entries.end() || entry->second.type != type) {
    return nullptr;
  }
  return entry->second.inbox;
}

}  // namespace filberthollow::kernel
