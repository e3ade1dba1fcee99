#include "filberthollow/decision/flows/view_builder.h"

#include <algorithm>

namespace filberthollow::decision::flows {
namespace {

// The directory records of the targets of one service.
using TargetRecords = std::vector<const membership::MemberRecord*>;

std::map<base::ServiceId, TargetRecords> GroupTargets(
    const membership::Directory& directory) {
  std::map<base::ServiceId, TargetRecords> groups;
  for (const auto& [id, record] : directory.records()) {
    if (record.kind == membership::MemberKind::kTarget) {
      groups[record.service].push_back(&record);
    }
  }
  return groups;
}

// Returns whether the share of dead targets exceeds kPanicThresholdPercent.
// Targets that are neither ready nor dead are not counted.
bool InPanicMode(const TargetRecords& targets) {
  size_t dead = 0;
  size_t ready = 0;
  for (const membership::MemberRecord* record : targets) {
    dead += record->state == membership::MemberState::kDead ? 1 : 0;
    ready += record->state == membership::MemberState::kReady ? 1 : 0;
  }
  return dead * 100 > (dead + ready) * kPanicThresholdPercent;
}

Candidate CandidateOf(const membership::MemberRecord& record,
                      const std::map<membership::MemberId, uint32_t>& loads) {
  auto load = loads.find(record.id);
  return {.id = base::TargetId{base::Value(record.id)},
          .incarnation = record.incarnation,
          .agent = record.address,
          .weight = record.weight,
          .reported_load = load == loads.end() ? record.load : load->second};
}

}  // namespace

TargetView BuildView(const membership::Directory& directory,
                     const settings::Tree& tree,
                     const std::map<membership::MemberId, uint32_t>& loads) {
  TargetView view;
  view.ended_incarnations = directory.replaced_incarnations();
  for (const auto& [name, node] : tree.services) {
    settings::Settings resolved =
        settings::Resolve(tree, {name, "", ""}).settings;
    ServiceView& service = view.services[base::ServiceIdOf(name)];
    service.placement = static_cast<PlacementKind>(resolved.placement);
    service.retry_percent = resolved.retry_percent;
  }
  for (const auto& [id, targets] : GroupTargets(directory)) {
    bool in_panic_mode = InPanicMode(targets);
    auto service = view.services.find(id);
    for (const membership::MemberRecord* record : targets) {
      bool dead =
          record->state == membership::MemberState::kDead && !in_panic_mode;
      if (dead || record->state == membership::MemberState::kLeft) {
        view.ended_incarnations.insert(record->incarnation);
      }
      bool takes_flows =
          record->state == membership::MemberState::kReady ||
          (record->state == membership::MemberState::kDead && in_panic_mode);
      if (takes_flows && service != view.services.end()) {
        service->second.candidates.push_back(CandidateOf(*record, loads));
      }
    }
  }
  for (auto& [id, service] : view.services) {
    std::sort(service.candidates.begin(), service.candidates.end());
  }
  return view;
}

}  // namespace filberthollow::decision::flows
