#include "filberthollow/operator/tree_editor.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "filberthollow/settings/json_reader.h"
#include "filberthollow/settings/tree_json.h"

namespace filberthollow::operator_tool {
namespace {

using nlohmann::json;
using platform::StoredObject;
using platform::WriteAnswer;
using settings::Edit;
using settings::Tree;

std::string ObjectName(const std::string& service) {
  return service.empty() ? platform::kRootObject
                         : platform::kServicePrefix + service;
}

// Parses an object's node into `tree`. An empty `service` stands for the root.
base::Result<base::Done> ParseNode(const json& node,
                                   const std::string& service,
                                   Tree& tree) {
  if (service.empty()) {
    auto root = settings::ParseRoot(node, "node");
    if (!root) {
      return root.error();
    }
    tree.root = *root;
    return base::Done{};
  }
  auto parsed = settings::ParseService(node, "node");
  if (!parsed) {
    return parsed.error();
  }
  tree.services[service] = *parsed;
  return base::Done{};
}

json NodeJson(const Tree& tree, const std::string& service) {
  return service.empty() ? settings::RootJson(tree.root)
                         : settings::ServiceJson(tree.services.at(service));
}

// Returns the first edit whose field was concurrently changed to another value
// since `base`, or null.
const Edit* FindConflict(const Tree& base,
                         const Tree& current,
                         const std::vector<Edit>& edits) {
  for (const Edit& edit : edits) {
    const settings::Field* field = settings::FindField(edit.field);
    if (field == nullptr) {
      continue;  // ApplyEdit rejects unknown fields
    }
    auto before = settings::FindOverride(base, edit.path, *field);
    auto now = settings::FindOverride(current, edit.path, *field);
    if (now != before && now != edit.value) {
      return &edit;
    }
  }
  return nullptr;
}

base::Error ConflictError(const Edit& edit,
                          const Tree& current,
                          const std::string& author) {
  const settings::Field& field = *settings::FindField(edit.field);
  auto now = settings::FindOverride(current, edit.path, field);
  return base::MakeError(
      std::errc::operation_canceled, "edit settings", edit.path.Text(),
      fmt::format("{} was changed to {} by {}", edit.field,
                  now ? settings::ValueText(field, *now) : "(inherited)",
                  author));
}

}  // namespace

struct TreeEditor::TreeObject {
  uint64_t version = 0;
  std::string author;
  std::vector<std::string> operation_ids;
  Tree tree;  // contains only this object's node
};

TreeEditor::TreeEditor(BlockingStore& store, std::string author, uint64_t seed)
    : m_store(store), m_author(std::move(author)), m_random(seed) {}

std::string TreeEditor::NewOperationId() {
  return fmt::format("{:016x}{:016x}", m_random(), m_random());
}

base::Result<TreeEditor::TreeObject> TreeEditor::ReadObject(
    const std::string& service) {
  std::string name = ObjectName(service);
  auto stored = m_store.Read(name);
  if (!stored) {
    return stored.error();
  }
  TreeObject object{.version = stored->version};
  if (!stored->value) {
    return object;
  }
  auto parsed = settings::ParseJson(*stored->value, name);
  if (!parsed) {
    return parsed.error();
  }
  settings::ObjectReader reader(*parsed, name);
  object.author = reader.OptionalText("author", "unknown");
  object.operation_ids = reader.Strings("operations");
  const json* node = reader.Object("node");
  if (auto error = reader.Finish()) {
    return *error;
  }
  if (node != nullptr) {
    if (auto read = ParseNode(*node, service, object.tree); !read) {
      return read.error().WithContext("read settings", name);
    }
  }
  return object;
}

base::Result<TreeSnapshot> TreeEditor::Load() {
  TreeSnapshot snapshot;
  auto root = ReadObject("");
  if (!root) {
    return root.error();
  }
  snapshot.tree.root = root->tree.root;
  snapshot.revision = root->version;
  auto objects = m_store.List(platform::kServicePrefix);
  if (!objects) {
    return objects.error();
  }
  std::string_view prefix = platform::kServicePrefix;
  for (const StoredObject& stored : *objects) {
    if (!stored.value) {
      continue;
    }
    std::string service = stored.name.substr(prefix.size());
    auto object = ReadObject(service);
    if (!object) {
      return object.error();
    }
    snapshot.tree.services[service] = object->tree.services[service];
    snapshot.revision = std::max(snapshot.revision, object->version);
  }
  return snapshot;
}

base::Result<EditReport> TreeEditor::Commit(
    const Tree& base,
    const std::vector<Edit>& edits,
    const std::vector<std::string>& new_services) {
  std::set<std::string> services(new_services.begin(), new_services.end());
  for (const Edit& edit : edits) {
    services.insert(edit.path.service);
  }
  EditReport report;
  for (const std::string& service : services) {
    std::vector<Edit> service_edits;
    std::copy_if(
        edits.begin(), edits.end(), std::back_inserter(service_edits),
        [&service](const Edit& e) { return e.path.service == service; });
    bool create =
        std::count(new_services.begin(), new_services.end(), service) > 0;
    if (auto done = CommitObject(base, service, create, service_edits, report);
        !done) {
      return done.error();
    }
  }
  return report;
}

base::Result<base::Done> TreeEditor::CommitObject(
    const Tree& base,
    const std::string& service,
    bool create,
    const std::vector<Edit>& edits,
    EditReport& report) {
  std::string operation_id = NewOperationId();
  bool answer_lost = false;
  for (uint32_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto object = ReadObject(service);
    if (!object) {
      return object.error();
    }
    if (answer_lost &&
        std::count(object->operation_ids.begin(), object->operation_ids.end(),
                   operation_id) > 0) {
      ++report.lost_answers;
      ++report.writes;
      report.revision = std::max(report.revision, object->version);
      return base::Done{};
    }
    if (const Edit* conflict = FindConflict(base, object->tree, edits)) {
      return ConflictError(*conflict, object->tree, object->author);
    }
    Tree changed = object->tree;
    if (create) {
      changed.services.try_emplace(service);
    }
    for (const Edit& edit : edits) {
      auto applied = settings::ApplyEdit(changed, edit);
      if (!applied) {
        return applied.error();
      }
      changed = *applied;
    }
    if (object->version != 0 && changed == object->tree) {
      return base::Done{};
    }
    object->operation_ids.push_back(operation_id);
    if (object->operation_ids.size() > kMaxOperationIds) {
      object->operation_ids.erase(object->operation_ids.begin());
    }
    json value{{"author", m_author},
               {"operations", object->operation_ids},
               {"node", NodeJson(changed, service)}};
    auto written =
        m_store.Write(ObjectName(service), object->version, value.dump());
    if (!written) {
      return written.error();
    }
    if (written->kind == WriteAnswer::kWritten) {
      ++report.writes;
      report.revision = std::max(report.revision, written->version);
      return base::Done{};
    }
    answer_lost = answer_lost || written->kind == WriteAnswer::kUnknown;
    report.races += written->kind == WriteAnswer::kConflict ? 1 : 0;
  }
  return base::MakeError(std::errc::resource_unavailable_try_again,
                         "edit settings", ObjectName(service),
                         "too many concurrent edits of this object");
}

TreeChange EditsBetween(const Tree& before, const Tree& after) {
  TreeChange change;
  for (const settings::Difference& difference : settings::Diff(before, after)) {
    if (difference.field.empty()) {
      if (!before.services.contains(difference.path.service)) {
        change.new_services.push_back(difference.path.service);
      }
      continue;
    }
    const settings::Field& field = *settings::FindField(difference.field);
    // Services that `after` lacks are kept unchanged.
    bool removed = !difference.path.service.empty() &&
                   !after.services.contains(difference.path.service);
    if (!removed) {
      change.edits.push_back(
          {difference.path, difference.field,
           settings::FindOverride(after, difference.path, field)});
    }
  }
  return change;
}

}  // namespace filberthollow::operator_tool
