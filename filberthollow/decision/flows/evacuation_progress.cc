#include "filberthollow/decision/flows/evacuation_progress.h"

#include "filberthollow/base/ids.h"

namespace filberthollow::decision::flows {

std::vector<DataCentreProgress> ProgressOf(
    const membership::Evacuations& evacuations,
    const std::vector<UpstreamReport>& reports) {
  std::vector<DataCentreProgress> progress;
  for (const std::string& name : evacuations.list().data_centres) {
    DataCentreProgress& data_centre = progress.emplace_back();
    data_centre.name = name;
    for (const UpstreamReport& report : reports) {
      if (report.data_centre != base::HashBytes(name)) {
        continue;
      }
      ++data_centre.agents;
      data_centre.agents_informed +=
          report.evacuation_revision >= evacuations.changed_revision() ? 1 : 0;
      data_centre.open_flows += report.load.open_flows;
      data_centre.in_flight += report.load.in_flight;
    }
  }
  return progress;
}

}  // namespace filberthollow::decision::flows
