#include "filberthollow/decision/membership/evacuations.h"

#include <algorithm>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision::membership {

bool Evacuations::Update(const EvacuationList& list) {
  if (list.revision <= m_list.revision) {
    return false;
  }
  bool changed = !IsKnown() || list.data_centres != m_list.data_centres;
  m_list = list;
  if (changed) {
    m_changed_revision = list.revision;
  }
  m_hashes.clear();
  for (const std::string& name : list.data_centres) {
    m_hashes.push_back(base::HashBytes(name));
  }
  return changed;
}

bool Evacuations::Contains(std::string_view data_centre) const {
  return std::find(m_list.data_centres.begin(), m_list.data_centres.end(),
                   data_centre) != m_list.data_centres.end();
}

bool Evacuations::ContainsHash(uint64_t data_centre) const {
  return std::find(m_hashes.begin(), m_hashes.end(), data_centre) !=
         m_hashes.end();
}

}  // namespace filberthollow::decision::membership
