// The JSON form of the settings tree.
//
// A tree file holds the whole tree:
//
//   {"comment": "...", "settings": {"slots": 4},
//    "services": {"drawings": {"settings": {...},
//      "data_centres": {"riga-a": {"settings": {...},
//        "targets": {"d-1": {"settings": {...}}}}}}}}
//
// At the platform, the root and each service are objects of their own.
#ifndef FILBERTHOLLOW_SETTINGS_TREE_JSON_H_
#define FILBERTHOLLOW_SETTINGS_TREE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "filberthollow/settings/tree.h"

namespace filberthollow::settings {

// ParseTree reads a tree file; `source` names it in errors.
base::Result<Tree> ParseTree(std::string_view text, std::string_view source);
// TreeFromJson reads the same from parsed text.
base::Result<Tree> TreeFromJson(const nlohmann::json& parsed,
                                std::string_view source);
// ParseRoot and ParseService read the objects kept at the platform.
base::Result<Overrides> ParseRoot(const nlohmann::json& json, std::string path);
base::Result<ServiceNode> ParseService(const nlohmann::json& json,
                                       std::string path);

// RootJson, ServiceJson and TreeJson write what the parsers read.
nlohmann::json RootJson(const Overrides& root);
nlohmann::json ServiceJson(const ServiceNode& service);
nlohmann::json TreeJson(const Tree& tree);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_TREE_JSON_H_
