// The part of FleetModel that tells what its upstreams can do and have done.
#include <algorithm>

#include "filberthollow/lab/fleet_model.h"
#include "filberthollow/lab/fleet_nodes.h"

namespace filberthollow::lab {
namespace {

constexpr uint32_t kPercent = 100;

}  // namespace

double FleetModel::Capacity() const {
  double capacity = 0;
  for (const auto& agent : m_agents) {
    if (agent->upstream->alive()) {
      capacity +=
          m_pattern.slots * double{kPercent} / agent->upstream->WorkPercent();
    }
  }
  return capacity;
}

std::vector<uint64_t> FleetModel::WorkDone() const {
  std::vector<uint64_t> work;
  for (const auto& agent : m_agents) {
    work.push_back(agent->upstream->work_done_ms());
  }
  return work;
}

std::vector<uint64_t> FleetModel::BusyTimes() const {
  std::vector<uint64_t> times;
  for (const auto& agent : m_agents) {
    times.push_back(
        static_cast<uint64_t>(agent->upstream->busy_time().count()));
  }
  return times;
}

double FleetModel::WorstMeanWait() const {
  double worst = 0;
  for (const auto& agent : m_agents) {
    if (agent->answers > 0) {
      worst = std::max(worst, static_cast<double>(agent->waited.count()) /
                                  static_cast<double>(agent->answers));
    }
  }
  return worst;
}

}  // namespace filberthollow::lab
