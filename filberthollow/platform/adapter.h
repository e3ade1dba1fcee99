// The platform, as the passed-through front end uses it.
//
//   Result<passthrough::NodeFile> file = ReadNodeSettings();
//   passthrough::RunBalancer(*file, MakeAdapter(*file));
#ifndef FILBERTHOLLOW_PLATFORM_ADAPTER_H_
#define FILBERTHOLLOW_PLATFORM_ADAPTER_H_

#include "filberthollow/passthrough/adapter.h"

namespace filberthollow::platform {

passthrough::Adapter MakeAdapter(const passthrough::NodeFile& file);

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_ADAPTER_H_
