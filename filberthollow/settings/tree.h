// The settings tree. Its levels are root, service, data centre and target.
//
// Each node can override any field and inherits the others from its parent. The
// tree is a value type: ApplyEdit() returns a modified copy.
//
//   Resolved r = Resolve(tree, {"permit-desk", "taean-a", "desk-1"});
//   uint32_t slots = r.settings.slots;
//   std::string_view from = r.SourceOf("slots");  // "/permit-desk"
#ifndef FILBERTHOLLOW_SETTINGS_TREE_H_
#define FILBERTHOLLOW_SETTINGS_TREE_H_

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/error.h"
#include "filberthollow/settings/fields.h"

namespace filberthollow::settings {

// The settings of a service in one data centre.
struct DataCentreNode {
  Overrides overrides;
  std::map<std::string, Overrides> targets;  // by name
  friend bool operator==(const DataCentreNode&,
                         const DataCentreNode&) = default;
};

// The settings of one service.
struct ServiceNode {
  Overrides overrides;
  std::map<std::string, DataCentreNode> data_centres;  // by name
  friend bool operator==(const ServiceNode&, const ServiceNode&) = default;
};

// The whole tree. A service exists if and only if it has a node here.
struct Tree {
  Overrides root;
  std::map<std::string, ServiceNode> services;  // by name
  friend bool operator==(const Tree&, const Tree&) = default;
};

// The path of a node. Trailing members are empty for nodes above the target
// level; all are empty for the root.
struct NodePath {
  std::string service;
  std::string data_centre;
  std::string target;
  friend auto operator<=>(const NodePath&, const NodePath&) = default;

  // Parses "/", "/service", "/service/data-centre" or
  // "/service/data-centre/target".
  static base::Result<NodePath> Parse(std::string_view text);
  // Returns the form that Parse() accepts.
  std::string Text() const;
};

// The settings that apply at one node, after inheritance.
struct Resolved {
  Settings settings;
  // For each field, in the order of Fields(): the path of the node that sets
  // it, or "default".
  std::array<std::string, kFieldCount> sources;
  friend bool operator==(const Resolved&, const Resolved&) = default;

  // Returns the source of the field called `name`, or "default" if there is no
  // such field.
  std::string_view SourceOf(std::string_view name) const;
};

// Returns the settings that apply at a node. A node that is not in the tree
// inherits all fields from its closest ancestor in the tree.
Resolved Resolve(const Tree& tree, const NodePath& path);

// Sets or removes the override of one field at one node.
struct Edit {
  NodePath path;
  std::string field;
  std::optional<uint32_t> value;  // nullopt removes the override
  friend bool operator==(const Edit&, const Edit&) = default;
};

// Returns the tree with the edit applied. Nodes for data centres and targets
// are added as needed. Fails if the service or the field does not exist. The
// range of the value is not checked.
base::Result<Tree> ApplyEdit(Tree tree, const Edit& edit);
// Returns the value that a node itself sets for a field, or nullopt if it
// inherits the field or is not in the tree.
std::optional<uint32_t> FindOverride(const Tree& tree,
                                     const NodePath& path,
                                     const Field& field);

// A field that a node sets differently in two trees, or a service that only one
// of them has.
struct Difference {
  NodePath path;
  std::string field;   // empty if the service was added or removed
  std::string before;  // text form of the value, or a note in parentheses
  std::string after;
  friend bool operator==(const Difference&, const Difference&) = default;
};

// Returns the differences between two trees. A service that was added or
// removed is listed first, and then also each field that it sets.
std::vector<Difference> Diff(const Tree& before, const Tree& after);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_TREE_H_
