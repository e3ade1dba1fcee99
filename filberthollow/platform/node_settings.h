// Reads the settings file that the platform writes for each process into the
// settings of a pass-through balancer or agent.
//
//   base::Result<settings::NodeSettings> settings = ReadNodeSettings();
#ifndef FILBERTHOLLOW_PLATFORM_NODE_SETTINGS_H_
#define FILBERTHOLLOW_PLATFORM_NODE_SETTINGS_H_

#include <string>
#include <string_view>

#include "filberthollow/base/error.h"
#include "filberthollow/settings/node_settings.h"

namespace filberthollow::platform {

// ParseNodeSettings parses lines of the form a.b=value. Unknown fields are
// ignored. Of several invalid fields, the first one found is reported as the
// error. `source` names the text in errors.
base::Result<settings::NodeSettings> ParseNodeSettings(std::string_view text,
                                                       std::string_view source);

// ReadNodeSettings reads and parses the file that the environment variable
// FILBERTHOLLOW_BOOT names, by default /etc/filberthollow/local.conf.
base::Result<settings::NodeSettings> ReadNodeSettings();

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_NODE_SETTINGS_H_
