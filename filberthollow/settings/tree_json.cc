#include "filberthollow/settings/tree_json.h"

#include <fmt/format.h>

#include "filberthollow/base/ids.h"
#include "filberthollow/settings/json_reader.h"

namespace filberthollow::settings {
namespace {

using nlohmann::json;

constexpr size_t kMaxNameBytes = 64;

bool IsName(std::string_view name) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !name.empty() && name.size() <= kMaxNameBytes &&
         name.find_first_not_of(kAllowed) == name.npos;
}

// Reads one field of "settings" into `out`, if it is present.
void ReadValue(ObjectReader& reader, const Field& field, Overrides& out) {
  const json* value = reader.Raw(field.name);
  if (value == nullptr) {
    return;
  }
  bool right_type =
      field.choices.empty() ? value->is_number_unsigned() : value->is_string();
  std::string text =
      value->is_string() ? value->get<std::string>() : value->dump();
  std::optional<uint32_t> parsed =
      right_type ? ParseValue(field, text) : std::nullopt;
  if (!parsed) {
    reader.Fail(field.name, value->dump(), ExpectedText(field));
    return;
  }
  out.*field.override_value = parsed;
}

// Reads the members that every node has: "comment" and "settings".
std::optional<base::Error> ReadNode(ObjectReader& reader, Overrides& out) {
  reader.OptionalText("comment", "");
  const json* settings = reader.Object("settings");
  if (settings == nullptr) {
    return std::nullopt;
  }
  ObjectReader inner(*settings, reader.path() + ".settings");
  for (const Field& field : Fields()) {
    ReadValue(inner, field, out);
  }
  return inner.Finish();
}

// Calls read(child JSON, child path, child name) for each child in the object
// `member`. Stops at the first error and returns it.
template <class Read>
std::optional<base::Error> ReadChildren(ObjectReader& reader,
                                        std::string_view member,
                                        Read read) {
  const json* children = reader.Object(member);
  if (children == nullptr) {
    return std::nullopt;
  }
  for (const auto& child : children->items()) {
    std::string path =
        fmt::format("{}.{}.{}", reader.path(), member, child.key());
    if (!IsName(child.key())) {
      return base::MakeError(
          std::errc::invalid_argument, "read settings", path,
          fmt::format("found \"{}\", expected a name of at most {} lower-case "
                      "letters, digits, '-', '_' and '.'",
                      child.key(), kMaxNameBytes));
    }
    if (auto error = read(child.value(), path, child.key())) {
      return error;
    }
  }
  return std::nullopt;
}

std::optional<base::Error> ReadDataCentre(const json& value,
                                          std::string path,
                                          DataCentreNode& out) {
  ObjectReader reader(value, std::move(path));
  if (auto error = ReadNode(reader, out.overrides)) {
    return error;
  }
  auto error = ReadChildren(
      reader, "targets",
      [&out](const json& child, std::string child_path,
             const std::string& name) -> std::optional<base::Error> {
        ObjectReader target(child, std::move(child_path));
        if (auto inner = ReadNode(target, out.targets[name])) {
          return inner;
        }
        return target.Finish();
      });
  return error ? error : reader.Finish();
}

std::optional<base::Error> ReadService(const json& value,
                                       std::string path,
                                       ServiceNode& out) {
  ObjectReader reader(value, std::move(path));
  if (auto error = ReadNode(reader, out.overrides)) {
    return error;
  }
  auto error =
      ReadChildren(reader, "data_centres",
                   [&out](const json& child, std::string child_path,
                          const std::string& name) {
                     return ReadDataCentre(child, std::move(child_path),
                                           out.data_centres[name]);
                   });
  return error ? error : reader.Finish();
}

// Service identifiers are hashes of the names, so two names may have the same
// one. Returns an error if that is the case in `tree`.
std::optional<base::Error> FindServiceIdCollision(const Tree& tree) {
  std::map<base::ServiceId, std::string> seen;
  for (const auto& [name, node] : tree.services) {
    auto [other, added] = seen.emplace(base::ServiceIdOf(name), name);
    if (!added) {
      return base::MakeError(
          std::errc::invalid_argument, "read settings", "services." + name,
          "service identifier collides with that of " + other->second);
    }
  }
  return std::nullopt;
}

json OverridesJson(const Overrides& overrides) {
  json settings = json::object();
  for (const Field& field : Fields()) {
    if (const auto& value = overrides.*field.override_value) {
      std::string name(field.name);
      if (field.choices.empty()) {
        settings[name] = *value;
      } else {
        settings[name] = ValueText(field, *value);
      }
    }
  }
  return settings;
}

}  // namespace

base::Result<Overrides> ParseRoot(const json& value, std::string path) {
  Overrides root;
  ObjectReader reader(value, std::move(path));
  if (auto error = ReadNode(reader, root)) {
    return *error;
  }
  if (auto error = reader.Finish()) {
    return *error;
  }
  return root;
}

base::Result<ServiceNode> ParseService(const json& value, std::string path) {
  ServiceNode service;
  if (auto error = ReadService(value, std::move(path), service)) {
    return *error;
  }
  return service;
}

base::Result<Tree> ParseTree(std::string_view text, std::string_view source) {
  base::Result<json> parsed = ParseJson(text, source);
  if (!parsed) {
    return parsed.error();
  }
  return TreeFromJson(*parsed, source);
}

base::Result<Tree> TreeFromJson(const json& parsed, std::string_view source) {
  Tree tree;
  ObjectReader reader(parsed, std::string(source));
  if (auto error = ReadNode(reader, tree.root)) {
    return *error;
  }
  auto error = ReadChildren(
      reader, "services",
      [&tree](const json& child, std::string path, const std::string& name) {
        return ReadService(child, std::move(path), tree.services[name]);
      });
  if (error) {
    return *error;
  }
  if (auto unread = reader.Finish()) {
    return *unread;
  }
  if (auto collision = FindServiceIdCollision(tree)) {
    return *collision;
  }
  return tree;
}

json RootJson(const Overrides& root) {
  return {{"settings", OverridesJson(root)}};
}

json ServiceJson(const ServiceNode& service) {
  json data_centres = json::object();
  for (const auto& [name, node] : service.data_centres) {
    json targets = json::object();
    for (const auto& [target, overrides] : node.targets) {
      targets[target] = {{"settings", OverridesJson(overrides)}};
    }
    data_centres[name] = {{"settings", OverridesJson(node.overrides)},
                          {"targets", targets}};
  }
  return {{"settings", OverridesJson(service.overrides)},
          {"data_centres", data_centres}};
}

json TreeJson(const Tree& tree) {
  json services = json::object();
  for (const auto& [name, service] : tree.services) {
    services[name] = ServiceJson(service);
  }
  json out = RootJson(tree.root);
  out["services"] = services;
  return out;
}

}  // namespace filberthollow::settings
