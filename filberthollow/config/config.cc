#include "filberthollow/config/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>

#include "filberthollow/settings/json_reader.h"
#include "filberthollow/settings/tree_json.h"

namespace filberthollow::config {
namespace {

using nlohmann::json;

// Returns the node inside a tree object; see operator/tree_editor.h.
base::Result<json> NodeOf(const platform::StoredObject& object) {
  base::Result<json> parsed = settings::ParseJson(*object.value, object.name);
  if (!parsed) {
    return parsed;
  }
  settings::ObjectReader reader(*parsed, object.name);
  reader.OptionalText("author", "");
  reader.Strings("operations");
  const json* node = reader.Object("node");
  if (node == nullptr) {
    reader.Fail("node", "nothing", "an object");
  }
  if (auto error = reader.Finish()) {
    return *error;
  }
  return *node;
}

base::Result<base::Done> ApplyRoot(const platform::StoredObject& object,
                                   settings::Tree& tree) {
  if (!object.value) {
    tree.root = {};
    return base::Done{};
  }
  base::Result<json> node = NodeOf(object);
  if (!node) {
    return node.error();
  }
  auto root = settings::ParseRoot(*node, object.name);
  if (!root) {
    return root.error();
  }
  tree.root = *root;
  return base::Done{};
}

base::Result<base::Done> ApplyService(const platform::StoredObject& object,
                                      const std::string& service,
                                      settings::Tree& tree) {
  if (!object.value) {
    tree.services.erase(service);
    return base::Done{};
  }
  base::Result<json> node = NodeOf(object);
  if (!node) {
    return node.error();
  }
  auto parsed = settings::ParseService(*node, object.name);
  if (!parsed) {
    return parsed.error();
  }
  tree.services[service] = *parsed;
  return base::Done{};
}

}  // namespace

base::Result<std::vector<flow::Key>> ListKeys(std::string_view text) {
  auto wrong = [](std::string detail) {
    return base::MakeError(std::errc::invalid_argument, "read keys",
                           platform::kKeysObject, std::move(detail));
  };
  json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("keys") ||
      !parsed["keys"].is_array()) {
    return wrong("expected {\"keys\": [...]}");
  }
  std::vector<flow::Key> keys;
  for (const json& item : parsed["keys"]) {
    bool shaped = item.is_object() && item.contains("epoch") &&
                  item["epoch"].is_number_unsigned() &&
                  item.contains("secret") && item["secret"].is_string();
    if (!shaped) {
      return wrong(
          fmt::format("key {}: expected epoch and secret", keys.size() + 1));
    }
    auto secret = flow::ParseSecret(item["secret"].get<std::string>());
    if (!secret) {
      return wrong(fmt::format("key {}: expected a secret of 32 hex digits",
                               keys.size() + 1));
    }
    int64_t active_from = 0;
    if (item.contains("active_from_ms") &&
        item["active_from_ms"].is_number_unsigned()) {
      active_from = item["active_from_ms"].get<int64_t>();
    }
    keys.push_back(
        {item["epoch"].get<uint32_t>(), *secret, base::Millis(active_from)});
  }
  return keys;
}

base::Result<flow::KeyRing> ParseKeys(std::string_view text,
                                      base::Millis wall_now) {
  auto keys = ListKeys(text);
  if (!keys) {
    return keys.error();
  }
  return flow::KeyRing(*keys, wall_now);
}

std::string KeysText(const std::vector<flow::Key>& keys) {
  json list = json::array();
  for (const flow::Key& key : keys) {
    std::string hex;
    for (uint8_t byte : key.secret) {
      hex += fmt::format("{:02x}", byte);
    }
    list.push_back({{"epoch", key.epoch},
                    {"secret", hex},
                    {"active_from_ms", key.active_from.count()}});
  }
  return json{{"keys", list}}.dump();
}

base::Result<base::Done> ConfigState::ApplyOne(
    const platform::StoredObject& object,
    settings::Snapshot& snapshot,
    ConfigChange& change) {
  if (object.name == platform::kKeysObject) {
    auto keys = ParseKeys(object.value.value_or(""), base::WallMillis());
    if (!keys) {
      return keys.error();
    }
    m_keys = *keys;
    change.keys = true;
    return base::Done{};
  }
  if (object.name == platform::kSnapshotObject) {
    auto parsed = m_read_snapshot(object.value.value_or("{}"), object.name);
    if (!parsed) {
      return parsed.error();
    }
    snapshot = std::move(*parsed);
    change.tree = true;
    return base::Done{};
  }
  if (object.name == platform::kRootObject) {
    change.tree = true;
    return ApplyRoot(object, snapshot.tree);
  }
  std::string_view prefix = platform::kServicePrefix;
  if (object.name.starts_with(prefix)) {
    change.tree = true;
    return ApplyService(object, object.name.substr(prefix.size()),
                        snapshot.tree);
  }
  return base::Done{};  // an object of a newer release
}

void ConfigState::ActivateKeys(base::Millis wall_now) {
  m_keys = m_keys.At(wall_now);
}

ConfigChange ConfigState::Apply(
    const std::vector<platform::StoredObject>& objects) {
  ConfigChange change;
  settings::Snapshot snapshot{m_tree->tree, m_tree->routes,
                              m_tree->health_paths};
  for (const platform::StoredObject& object : objects) {
    auto held = m_objects.find(object.name);
    if (held != m_objects.end() && held->second.version >= object.version) {
      continue;
    }
    m_objects[object.name] = object;
    if (auto applied = ApplyOne(object, snapshot, change); !applied) {
      change.refused.push_back(applied.error());
    }
  }
  uint64_t newest = m_tree->revision;
  for (const platform::StoredObject& object : objects) {
    if (object.name.starts_with(platform::kTreePrefix)) {
      newest = std::max(newest, object.version);
    }
  }
  change.tree = change.tree || newest != m_tree->revision;
  if (change.tree) {
    m_tree = std::make_shared<const TreeVersion>(TreeVersion{
        newest, std::move(snapshot.tree), std::move(snapshot.routes),
        std::move(snapshot.health_paths)});
  }
  return change;
}

ConfigChange ConfigState::ApplyAll(std::vector<platform::StoredObject> objects,
                                   uint64_t revision) {
  std::set<std::string> present;
  for (const platform::StoredObject& object : objects) {
    present.insert(object.name);
  }
  for (const auto& [name, held] : m_objects) {
    if (held.value && held.version < revision && !present.contains(name)) {
      objects.push_back({.name = name, .version = revision});
    }
  }
  return Apply(objects);
}

}  // namespace filberthollow::config
