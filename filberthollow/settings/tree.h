// The tree of settings: root, service, data centre, target.
//
// Each node overrides what differs and inherits the rest. The tree is a plain
// value; edits return a changed copy.
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

// DataCentreNode holds a service's settings in one data centre.
struct DataCentreNode {
  Overrides overrides;
  std::map<std::string, Overrides> targets;
  friend bool operator==(const DataCentreNode&,
                         const DataCentreNode&) = default;
};

// ServiceNode holds the settings of one service.
struct ServiceNode {
  Overrides overrides;
  std::map<std::string, DataCentreNode> data_centres;
  friend bool operator==(const ServiceNode&, const ServiceNode&) = default;
};

// Tree is the whole tree. A service exists if it has a node here.
struct Tree {
  Overrides root;
  std::map<std::string, ServiceNode> services;
  friend bool operator==(const Tree&, const Tree&) = default;
};

// NodePath names a node: empty members at the end name a node higher up.
struct NodePath {
  std::string service;
  std::string data_centre;
  std::string target;
  friend auto operator<=>(const NodePath&, const NodePath&) = default;

  // Parse reads "/", "/service", "/service/data-centre" or
  // "/service/data-centre/target".
  static base::Result<NodePath> Parse(std::string_view text);
  std::string Text() const;
};

// Resolved is the outcome of inheritance for one node.
struct Resolved {
  Settings settings;
  // For each field of Fields(), the path of the node that set it, or "default".
  std::array<std::string, kFieldCount> sources;
  friend bool operator==(const Resolved&, const Resolved&) = default;

  // SourceOf returns the source of the field called `name`.
  std::string_view SourceOf(std::string_view name) const;
};

// Resolve returns the settings of a node; nodes that the tree does not state
// inherit everything.
Resolved Resolve(const Tree& tree, const NodePath& path);

// Edit changes or removes what one node states for one field.
struct Edit {
  NodePath path;
  std::string field;
  std::optional<uint32_t> value;  // nothing: inherit again
  friend bool operator==(const Edit&, const Edit&) = default;
};

// ApplyEdit returns the tree with the edit applied; nodes are added as needed,
// but a service must exist.
base::Result<Tree> ApplyEdit(Tree tree, const Edit& edit);
// FindOverride returns what a node itself states for a field.
std::optional<uint32_t> FindOverride(const Tree& tree,
                                     const NodePath& path,
                                     const Field& field);

// Difference is one field that two trees state differently.
struct Difference {
  NodePath path;
  std::string field;  // empty where the whole service was added or removed
  std::string before;
  std::string after;
  friend bool operator==(const Difference&, const Difference&) = default;
};

// Diff lists what leads from one tree to another.
std::vector<Difference> Diff(const Tree& before, const Tree& after);

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_TREE_H_
