// Builds the TargetView of the data path from the member directory and the
// settings tree.
//
//   TargetView view = BuildView(directory, tree, loads);
#ifndef FILBERTHOLLOW_DECISION_FLOWS_VIEW_BUILDER_H_
#define FILBERTHOLLOW_DECISION_FLOWS_VIEW_BUILDER_H_

#include <map>

#include "filberthollow/decision/flows/router.h"
#include "filberthollow/decision/membership/directory.h"
#include "filberthollow/settings/tree.h"

namespace filberthollow::decision::flows {

// kPanicThresholdPercent is the panic threshold of a service. If more than this
// percentage of its targets are found dead, the failure detection is assumed to
// be wrong and dead targets are used as if they were ready.
inline constexpr size_t kPanicThresholdPercent = 50;

// BuildView returns the targets of each service in `tree` that accept new
// flows, and the incarnations that have ended. `loads` holds the latest known
// loads, which take precedence over those in the directory.
TargetView BuildView(const membership::Directory& directory,
                     const settings::Tree& tree,
                     const std::map<membership::MemberId, uint32_t>& loads);

}  // namespace filberthollow::decision::flows

#endif  // FILBERTHOLLOW_DECISION_FLOWS_VIEW_BUILDER_H_
