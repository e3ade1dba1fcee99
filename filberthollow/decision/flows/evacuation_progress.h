// Tells how far the evacuation of data centres has come, as one balancer sees
// it: which agents there know of it, and what still runs at their upstreams.
//
//   for (const DataCentreProgress& p : ProgressOf(evacuations, reports)) { ...
//   }
#ifndef FILBERTHOLLOW_DECISION_FLOWS_EVACUATION_PROGRESS_H_
#define FILBERTHOLLOW_DECISION_FLOWS_EVACUATION_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filberthollow/decision/flows/packet_messages.h"
#include "filberthollow/decision/membership/evacuations.h"

namespace filberthollow::decision::flows {

// DataCentreProgress describes one evacuated data centre.
struct DataCentreProgress {
  std::string name;
  size_t agents = 0;           // that the balancer knows there
  size_t agents_informed = 0;  // of these, those that know of the evacuation
  uint64_t open_flows = 0;     // as the agents last reported
  uint64_t in_flight = 0;
  friend bool operator==(const DataCentreProgress&,
                         const DataCentreProgress&) = default;
};

// Returns an entry for each evacuated data centre, in the order of the list.
// `reports` are the last reports of the known agents.
std::vector<DataCentreProgress> ProgressOf(
    const membership::Evacuations& evacuations,
    const std::vector<UpstreamReport>& reports);

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_EVACUATION_PROGRESS_H_
