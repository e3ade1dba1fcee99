#include "filberthollow/config/evacuation_entries.h"

#include <set>
#include <string_view>

namespace filberthollow::config {
namespace {

using decision::membership::EvacuationList;
using decision::membership::kMaxDataCentreBytes;
using decision::membership::kMaxEvacuations;

// Returns the data centre that an object names, or "" if it can't be the name
// of one.
std::string DataCentreOf(const platform::StoredObject& object) {
  constexpr std::string_view kPrefix = platform::kEvacuationPrefix;
  std::string_view name = object.name;
  if (!name.starts_with(kPrefix) ||
      name.size() > kPrefix.size() + kMaxDataCentreBytes) {
    return "";
  }
  return std::string(name.substr(kPrefix.size()));
}

}  // namespace

std::optional<EvacuationChange> EvacuationEntries::Apply(
    const platform::WatchAnswer& answer,
    base::Millis now) {
  if (answer.revision == 0 || answer.revision < m_revision) {
    return std::nullopt;
  }
  EvacuationChange change{
      .malformed = answer.unreadable,
      .has_news = answer.complete || !answer.objects.empty()};
  if (answer.complete) {
    Replace(answer.objects, now, change);
    bool new_generation = platform::GenerationOf(answer.revision) >
                          platform::GenerationOf(m_revision);
    if (new_generation) {
      change.lost = change.removed;
    }
  } else {
    for (const platform::StoredObject& object : answer.objects) {
      ApplyChange(object, now, change);
    }
  }
  m_revision = answer.revision;
  return change;
}

void EvacuationEntries::Replace(
    const std::vector<platform::StoredObject>& objects,
    base::Millis now,
    EvacuationChange& change) {
  std::set<std::string> present;
  for (const platform::StoredObject& object : objects) {
    present.insert(DataCentreOf(object));
    ApplyChange(object, now, change);
  }
  std::erase_if(m_entries, [&](const auto& entry) {
    bool removed = !present.contains(entry.first);
    if (removed) {
      change.removed.push_back(entry.first);
    }
    return removed;
  });
}

void EvacuationEntries::ApplyChange(const platform::StoredObject& object,
                                    base::Millis now,
                                    EvacuationChange& change) {
  std::string data_centre = DataCentreOf(object);
  if (data_centre.empty()) {
    change.malformed += object.value ? 1 : 0;
    return;
  }
  if (!object.value) {
    if (m_entries.erase(data_centre) > 0) {
      change.removed.push_back(data_centre);
    }
    return;
  }
  auto [entry, added] =
      m_entries.try_emplace(data_centre, EvacuationEntry{object.version, now});
  entry->second.revision = object.version;
  if (added) {
    change.added.push_back(data_centre);
  }
}

EvacuationList EvacuationEntries::List() const {
  EvacuationList list{.revision = m_revision};
  for (const auto& [data_centre, entry] : m_entries) {
    if (list.data_centres.size() < kMaxEvacuations) {
      list.data_centres.push_back(data_centre);
    }
  }
  return list;
}

std::vector<std::string> EvacuationEntries::OmittedNames() const {
  std::vector<std::string> names;
  size_t position = 0;
  for (const auto& [data_centre, entry] : m_entries) {
    if (position++ >= kMaxEvacuations) {
      names.push_back(data_centre);
    }
  }
  return names;
}

}  // namespace filberthollow::config
