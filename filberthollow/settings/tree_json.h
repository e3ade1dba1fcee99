// The JSON form of the settings tree.
//
// A tree file contains the whole tree. Comments are allowed at each node:
//
//   {"comment": "...", "settings": {"slots": 4},
//    "services": {"drawings": {"settings": {...},
//      "data_centres": {"riga-a": {"settings": {...},
//        "targets": {"d-1": {"settings": {...}}}}}}}}
//
// At the platform, the root and each service can be stored as separate objects.
#ifndef FILBERTHOLLOW_SETTINGS_TREE_JSON_H_
#define FILBERTHOLLOW_SETTINGS_TREE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "filberthollow/settings/tree.h"

namespace filberthollow::settings {

// Parses a tree file. `source` is the file that the text came from and is named
// in errors.
base::Result<Tree> ParseTree(std::string_view text, std::string_view source);
// Like ParseTree(), for JSON that is already parsed.
base::Result<Tree> TreeFromJson(const nlohmann::json& parsed,
                                std::string_view source);
// Parse the JSON of the root node and of a service node, as in the objects at
// the platform. `path` names the node in errors.
base::Result<Overrides> ParseRoot(const nlohmann::json& json, std::string path);
base::Result<ServiceNode> ParseService(const nlohmann::json& json,
                                       std::string path);

// Return the JSON that ParseRoot(), ParseService() and TreeFromJson() accept.
nlohmann::json RootJson(const Overrides& root);
nlohmann::json ServiceJson(const ServiceNode& service);
nlohmann::json TreeJson(const Tree& tree);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_TREE_JSON_H_
