// Building the data path's picture of the fleet from the directory and the
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

// kPanicThresholdPercent: when more than this share of a service's targets is
// found dead, in percent, the finding is doubted and the dead are used as if
// alive.
inline constexpr size_t kPanicThresholdPercent = 50;

// BuildView returns the targets of each declared service that take new flows,
// and the incarnations that have ended. `loads` are the latest known loads.
TargetView BuildView(const Directory& directory,
                     const settings::Tree& tree,
                     const std::map<MemberId, uint32_t>& loads);

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_VIEW_BUILDER_H_
