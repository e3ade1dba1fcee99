// Builds the TargetView of the data path from the member directory and the
// settings tree.
//
//   TargetView view = BuildView(directory, tree, loads);
#ifndef FILBERTHOLLOW_DECISION_VIEW_BUILDER_H_
#define FILBERTHOLLOW_DECISION_VIEW_BUILDER_H_

#include <map>

#include "filberthollow/decision/directory.h"
#include "filberthollow/decision/router.h"
#include "filberthollow/settings/tree.h"

namespace filberthollow::decision {

// kPanicThresholdPercent is the panic threshold of a service. If more than this
// percentage of its targets are found dead, the failure detection is assumed to
// be wrong and dead targets are used as if they were ready.
inline constexpr size_t kPanicThresholdPercent = 50;

// BuildView returns the targets of each service in `tree` that accept new
// flows, and the incarnations that have ended. `loads` holds the latest known
// loads, which take precedence over those in the directory.
TargetView BuildView(const Directory& directory,
                     const settings::Tree& tree,
                     const std::map<MemberId, uint32_t>& loads);

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_VIEW_BUILDER_H_
