#include "filberthollow/settings/tree.h"

#include <algorithm>
#include <set>

namespace filberthollow::settings {
namespace {

constexpr std::string_view kDefaultSource = "default";
constexpr std::string_view kInherited = "(inherited)";

// A node of a tree with its path.
struct NodeRef {
  NodePath path;
  const Overrides* overrides = nullptr;
};

// Returns the nodes from the root down to `path`, as far as the tree has them.
std::vector<NodeRef> NodesOnPath(const Tree& tree, const NodePath& path) {
  std::vector<NodeRef> nodes{{NodePath{}, &tree.root}};
  auto service = tree.services.find(path.service);
  if (service == tree.services.end()) {
    return nodes;
  }
  nodes.push_back({{path.service, "", ""}, &service->second.overrides});
  auto data_centre = service->second.data_centres.find(path.data_centre);
  if (data_centre == service->second.data_centres.end()) {
    return nodes;
  }
  nodes.push_back(
      {{path.service, path.data_centre, ""}, &data_centre->second.overrides});
  auto target = data_centre->second.targets.find(path.target);
  if (target != data_centre->second.targets.end()) {
    nodes.push_back({path, &target->second});
  }
  return nodes;
}

// Returns the paths of all nodes of a tree.
std::set<NodePath> AllNodePaths(const Tree& tree) {
  std::set<NodePath> paths{NodePath{}};
  for (const auto& [service, node] : tree.services) {
    paths.insert({service, "", ""});
    for (const auto& [data_centre, inner] : node.data_centres) {
      paths.insert({service, data_centre, ""});
      for (const auto& [target, overrides] : inner.targets) {
        paths.insert({service, data_centre, target});
      }
    }
  }
  return paths;
}

// Returns the text form of a node's override, or kInherited if it has none.
std::string OverrideText(const Tree& tree,
                         const NodePath& path,
                         const Field& field) {
  std::optional<uint32_t> value = FindOverride(tree, path, field);
  return value ? ValueText(field, *value) : std::string(kInherited);
}

// Adds the services that only one of the trees has to `differences`.
void DiffServices(const Tree& before,
                  const Tree& after,
                  std::vector<Difference>& differences) {
  for (const auto& [name, node] : after.services) {
    if (!before.services.contains(name)) {
      differences.push_back({{name, "", ""}, "", "(absent)", "(added)"});
    }
  }
  for (const auto& [name, node] : before.services) {
    if (!after.services.contains(name)) {
      differences.push_back({{name, "", ""}, "", "(present)", "(removed)"});
    }
  }
}

}  // namespace

base::Result<NodePath> NodePath::Parse(std::string_view text) {
  auto parse_error = [text] {
    return base::MakeError(std::errc::invalid_argument, "parse node path",
                           std::string(text),
                           "expected /, /SERVICE, /SERVICE/DATA-CENTRE or "
                           "/SERVICE/DATA-CENTRE/TARGET");
  };
  if (text.empty() || text.front() != '/') {
    return parse_error();
  }
  NodePath path;
  std::string_view rest = text.substr(1);
  for (std::string* part : {&path.service, &path.data_centre, &path.target}) {
    if (rest.empty()) {
      return path;
    }
    size_t slash = std::min(rest.find('/'), rest.size());
    if (slash == 0) {
      return parse_error();
    }
    *part = rest.substr(0, slash);
    rest.remove_prefix(std::min(slash + 1, rest.size()));
  }
  if (!rest.empty()) {
    return parse_error();
  }
  return path;
}

std::string NodePath::Text() const {
  if (service.empty()) {
    return "/";
  }
  std::string text = "/" + service;
  for (const std::string* part : {&data_centre, &target}) {
    if (!part->empty()) {
      text += "/" + *part;
    }
  }
  return text;
}

std::string_view Resolved::SourceOf(std::string_view name) const {
  for (size_t i = 0; i < kFieldCount; ++i) {
    if (Fields().at(i).name == name) {
      return sources.at(i);
    }
  }
  return kDefaultSource;
}

Resolved Resolve(const Tree& tree, const NodePath& path) {
  Resolved resolved;
  resolved.sources.fill(std::string(kDefaultSource));
  for (const NodeRef& node : NodesOnPath(tree, path)) {
    for (size_t i = 0; i < kFieldCount; ++i) {
      const Field& field = Fields().at(i);
      if (const auto& value = node.overrides->*field.override_value) {
        resolved.settings.*field.value = *value;
        resolved.sources.at(i) = node.path.Text();
      }
    }
  }
  return resolved;
}

base::Result<Tree> ApplyEdit(Tree tree, const Edit& edit) {
  const Field* field = FindField(edit.field);
  if (field == nullptr) {
    return base::MakeError(std::errc::invalid_argument, "edit settings",
                           edit.path.Text(), "unknown field " + edit.field);
  }
  Overrides* node = &tree.root;
  if (!edit.path.service.empty()) {
    auto service = tree.services.find(edit.path.service);
    if (service == tree.services.end()) {
      return base::MakeError(std::errc::invalid_argument, "edit settings",
                             edit.path.Text(), "no such service");
    }
    node = &service->second.overrides;
    if (!edit.path.data_centre.empty()) {
      DataCentreNode& data_centre =
          service->second.data_centres[edit.path.data_centre];
      node = edit.path.target.empty() ? &data_centre.overrides
                                      : &data_centre.targets[edit.path.target];
    }
  }
  node->*field->override_value = edit.value;
  return tree;
}

std::optional<uint32_t> FindOverride(const Tree& tree,
                                     const NodePath& path,
                                     const Field& field) {
  NodeRef last = NodesOnPath(tree, path).back();
  return last.path == path ? last.overrides->*field.override_value
                           : std::nullopt;
}

std::vector<Difference> Diff(const Tree& before, const Tree& after) {
  std::vector<Difference> differences;
  DiffServices(before, after, differences);
  std::set<NodePath> paths = AllNodePaths(before);
  paths.merge(AllNodePaths(after));
  for (const NodePath& path : paths) {
    for (const Field& field : Fields()) {
      std::string old_text = OverrideText(before, path, field);
      std::string new_text = OverrideText(after, path, field);
      if (old_text != new_text) {
        differences.push_back(
            {path, std::string(field.name), old_text, new_text});
      }
    }
  }
  return differences;
}

}  // namespace filberthollow::settings
