#include "filberthollow/measure/fixtures.h"

#include <malloc.h>

#include <ctime>

namespace filberthollow::measure::internal {
namespace {

using decision::membership::MemberRecord;

// 5,300 targets of 720 services are about seven targets each.
constexpr uint32_t kTargetsPerService = 7;
constexpr double kMicrosPerSecond = 1e6;

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

}  // namespace

const flow::KeyRing& Keys() {
  static const flow::KeyRing keys({flow::Key{1, {1, 2, 3}}});
  return keys;
}

std::string ServiceName(uint32_t index) {
  return "service-" + std::to_string(index / kTargetsPerService);
}

MemberRecord TargetRecord(uint32_t index) {
  return {.id = decision::membership::MemberId{base::HashWords({index, 99})},
          .kind = decision::membership::MemberKind::kTarget,
          .state = decision::membership::MemberState::kReady,
          .incarnation = base::Incarnation{1000 + index},
          .sequence = 1,
          .service = base::ServiceIdOf(ServiceName(index)),
          .data_centre = index % 8,
          .address = {0x0a000000 + index, 7000},
          .weight = 100};
}

std::vector<decision::flows::Candidate> MakeCandidates(uint32_t count) {
  std::vector<decision::flows::Candidate> candidates;
  for (uint32_t i = 0; i < count; ++i) {
    candidates.push_back({.id = base::TargetId{base::HashWords({i})},
                          .incarnation = base::Incarnation{i + 1},
                          .agent = {i, 1},
                          .weight = 100});
  }
  return candidates;
}

double TimeCall(uint32_t calls, const std::function<void(uint32_t)>& call) {
  double before = ProcessorSeconds();
  for (uint32_t i = 0; i < calls; ++i) {
    call(i);
  }
  return (ProcessorSeconds() - before) * kMicrosPerSecond / calls;
}

double HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace filberthollow::measure::internal
