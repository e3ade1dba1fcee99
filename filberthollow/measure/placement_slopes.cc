// Measurements of flow placement by rendezvous hashing and by Maglev, and of a
// flow table as the stateful alternative.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "filberthollow/measure/fixtures.h"
#include "filberthollow/measure/slopes.h"

namespace filberthollow::measure {

using internal::MakeCandidates;
using internal::TimeCall;

namespace {

constexpr uint32_t kPlacedFlows = 100'000;
constexpr uint32_t kMaglevTableSize = 65'537;

// Returns the identifier of the candidate for the flow with hash `key`.
using PlaceFlow = std::function<uint64_t(uint64_t key)>;

PlaceFlow ByRendezvous(
    const std::vector<decision::flows::Candidate>& candidates) {
  return [&candidates](uint64_t key) {
    const auto& policy =
        decision::flows::PolicyFor(decision::flows::PlacementKind::kRendezvous);
    return base::Value(policy.Place(key, candidates, {})->id);
  };
}

PlaceFlow ByMaglev(const std::vector<decision::flows::Candidate>& candidates) {
  auto table = std::make_shared<decision::flows::MaglevTable>(candidates,
                                                              kMaglevTableSize);
  return [&candidates, table](uint64_t key) {
    return base::Value(candidates[table->Lookup(key)].id);
  };
}

// Builds a PlaceFlow for `candidates`, which must outlive it.
using PlaceFlowFactory =
    PlaceFlow (*)(const std::vector<decision::flows::Candidate>& candidates);

// Measures the share of flows that are placed elsewhere after the last
// candidate has been removed.
Series MeasureMovedShare(const char* name,
                         const Sizes& targets,
                         PlaceFlowFactory make) {
  Series series{name, "targets", "moved share x targets", {}};
  for (uint32_t size : targets) {
    auto all = MakeCandidates(size);
    auto fewer = all;
    fewer.pop_back();
    PlaceFlow before = make(all);
    PlaceFlow after = make(fewer);
    uint32_t moved = 0;
    for (uint32_t i = 0; i < kPlacedFlows; ++i) {
      uint64_t key = base::HashWords({i, 3});
      moved += before(key) == after(key) ? 0 : 1;
    }
    series.points.push_back({static_cast<double>(size),
                             static_cast<double>(moved) * size / kPlacedFlows});
  }
  return series;
}

// Measures the flows of the most loaded candidate over the mean.
Series MeasurePeakToMean(const char* name,
                         const Sizes& targets,
                         PlaceFlowFactory make) {
  Series series{name, "targets", "peak / mean", {}};
  for (uint32_t size : targets) {
    auto candidates = MakeCandidates(size);
    PlaceFlow place = make(candidates);
    std::map<uint64_t, uint32_t> counts;
    uint32_t peak = 0;
    for (uint32_t i = 0; i < kPlacedFlows; ++i) {
      peak = std::max(peak, ++counts[place(base::HashWords({i, 3}))]);
    }
    series.points.push_back({static_cast<double>(size),
                             static_cast<double>(peak) * size / kPlacedFlows});
  }
  return series;
}

}  // namespace

Series RendezvousMoved(const Sizes& targets) {
  return MeasureMovedShare("rendezvous_moved", targets, &ByRendezvous);
}

Series MaglevMoved(const Sizes& targets) {
  return MeasureMovedShare("maglev_moved", targets, &ByMaglev);
}

Series RendezvousPeak(const Sizes& targets) {
  return MeasurePeakToMean("rendezvous_peak", targets, &ByRendezvous);
}

Series MaglevPeak(const Sizes& targets) {
  return MeasurePeakToMean("maglev_peak", targets, &ByMaglev);
}

namespace {

using FlowTable = std::unordered_map<base::FlowId, base::Address>;

FlowTable MakeFlowTable(uint32_t flows) {
  FlowTable table;
  for (uint32_t i = 0; i < flows; ++i) {
    table[base::FlowId{base::HashWords({i})}] = {i, 7000};
  }
  return table;
}

}  // namespace

Series FlowTableMemory(const Sizes& flows) {
  return {"flow_table_memory", "flows", "bytes",
          internal::HeapPoints(flows, &MakeFlowTable)};
}

Series FlowTableTime(const Sizes& flows) {
  Series series{"flow_table_time", "flows", "us", {}};
  for (uint32_t size : flows) {
    FlowTable table = MakeFlowTable(size);
    uint64_t sum = 0;
    double us = TimeCall(200'000, [&](uint32_t i) {
      sum += table.at(base::FlowId{base::HashWords({i % size})}).ip;
    });
    series.points.push_back({static_cast<double>(size), sum == 1 ? 0 : us});
  }
  return series;
}

Series PlacementTime(const Sizes& targets) {
  Series series{"placement_time", "targets", "us", {}};
  for (uint32_t size : targets) {
    auto candidates = MakeCandidates(size);
    const auto& policy =
        decision::flows::PolicyFor(decision::flows::PlacementKind::kRendezvous);
    uint64_t sum = 0;
    double us = TimeCall(20'000'000 / (size * 20 + 100), [&](uint32_t i) {
      sum +=
          base::Value(policy.Place(base::HashWords({i}), candidates, {})->id);
    });
    series.points.push_back({static_cast<double>(size), sum == 1 ? 0 : us});
  }
  return series;
}

Series MaglevBuildTime(const Sizes& targets) {
  Series series{"maglev_build_time", "targets", "us", {}};
  constexpr uint32_t kTableSize = 65'537;
  for (uint32_t size : targets) {
    auto candidates = MakeCandidates(size);
    uint64_t sum = 0;
    double us = TimeCall(5, [&](uint32_t i) {
      sum += decision::flows::MaglevTable(candidates, kTableSize).Lookup(i);
    });
    series.points.push_back({static_cast<double>(size), sum == ~0ULL ? 0 : us});
  }
  return series;
}

}  // namespace filberthollow::measure
