// The settings file that the platform writes for each process, as the product's
// settings of a passed-through balancer or agent.
//
//   Result<passthrough::NodeSettings> file = ReadNodeSettings();
#ifndef FILBERTHOLLOW_PLATFORM_NODE_SETTINGS_H_
#define FILBERTHOLLOW_PLATFORM_NODE_SETTINGS_H_

#include <string>
#include <string_view>

#include "filberthollow/base/error.h"
#include "filberthollow/passthrough/node_file.h"

namespace filberthollow::platform {

// ParseNodeSettings reads lines of the form a.b=value. Fields that it does not
// know are ignored; `source` names the text in errors.
base::Result<passthrough::NodeSettings> ParseNodeSettings(
    std::string_view text,
    std::string_view source);
// ReadNodeSettings reads the file that the environment names.
base::Result<passthrough::NodeSettings> ReadNodeSettings();

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_NODE_SETTINGS_H_
