#include "filberthollow/config/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "filberthollow/config/content_order.h"
#include "filberthollow/settings/json_reader.h"
#include "filberthollow/settings/tree_json.h"

namespace filberthollow::config {
namespace {

using nlohmann::json;

// Parses an object of the settings tree and returns its "node" member. See
// operator/tree_editor.h for the format.
base::Result<json> ParseTreeObject(const platform::StoredObject& object) {
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
  base::Result<json> node = ParseTreeObject(object);
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
  base::Result<json> node = ParseTreeObject(object);
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

base::Result<std::vector<flow::Key>> ParseKeyList(std::string_view text) {
  auto parse_error = [](std::string detail) {
    return base::MakeError(std::errc::invalid_argument, "read keys",
                           platform::kKeysObject, std::move(detail));
  };
  json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("keys") ||
      !parsed["keys"].is_array()) {
    return parse_error("expected {\"keys\": [...]}");
  }
  std::vector<flow::Key> keys;
  for (const json& item : parsed["keys"]) {
    bool well_formed = item.is_object() && item.contains("epoch") &&
                       item["epoch"].is_number_unsigned() &&
                       item.contains("secret") && item["secret"].is_string();
    if (!well_formed) {
      return parse_error(
          fmt::format("key {}: expected epoch and secret", keys.size() + 1));
    }
    auto secret = flow::ParseSecret(item["secret"].get<std::string>());
    if (!secret) {
      return parse_error(fmt::format(
          "key {}: expected a secret of 32 hex digits", keys.size() + 1));
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

base::Result<flow::KeyRing> ParseKeyRing(std::string_view text,
                                         base::Millis wall_now) {
  auto keys = ParseKeyList(text);
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

base::Result<base::Done> ConfigState::ApplyObject(
    const platform::StoredObject& object,
    ConfigSnapshot& updated,
    ConfigChange& change) {
  if (object.name == platform::kKeysObject) {
    auto keys = ParseKeyRing(object.value.value_or(""), base::WallMillis());
    if (!keys) {
      return keys.error();
    }
    m_keys = *keys;
    change.keys = true;
    return base::Done{};
  }
  if (object.name == platform::kRootObject) {
    change.snapshot = true;
    return ApplyRoot(object, updated.tree);
  }
  std::string_view prefix = platform::kServicePrefix;
  if (object.name.starts_with(prefix)) {
    change.snapshot = true;
    return ApplyService(object, object.name.substr(prefix.size()),
                        updated.tree);
  }
  return base::Done{};  // Unknown name: written by a newer release. Ignored.
}

void ConfigState::ActivateKeys(base::Millis wall_now) {
  m_keys = m_keys.At(wall_now);
}

bool ConfigState::IsStillLost(const LostObject& lost) const {
  auto held = m_objects.find(lost.held.name);
  return held != m_objects.end() && held->second == lost.held;
}

bool ConfigState::Record(const platform::StoredObject& object,
                         ConfigChange& change) {
  auto [entry, first] = m_objects.try_emplace(object.name, object);
  if (first) {
    return true;
  }
  platform::StoredObject& held = entry->second;
  ContentOrder order = CompareObjects(object, held);
  bool newer = order == ContentOrder::kNewer;
  // The store has the later generation, whose content is the older one.
  bool lost =
      order != ContentOrder::kSame && newer != (object.version > held.version);
  uint64_t newest_version = std::max(object.version, held.version);
  if (newer) {
    held = object;
  }
  if (newer || order == ContentOrder::kSame) {
    held.version = newest_version;
  }
  if (lost && held.value) {
    change.lost.push_back({newest_version, held});
  }
  return newer;
}

base::Result<base::Done> ConfigState::ApplyIfNewer(
    platform::StoredObject object,
    ConfigSnapshot& updated,
    ConfigChange& change) {
  std::optional<settings::Snapshot> snapshot;
  if (object.name == platform::kSnapshotObject) {
    auto read = m_read_snapshot(object.value.value_or("{}"), object.name);
    if (!read) {
      return read.error();
    }
    if (read->version > 0) {
      object.version = platform::AuthorVersionOf(read->version);
    }
    snapshot = std::move(*read);
  }
  if (object.name.starts_with(platform::kTreePrefix)) {
    updated.revision = std::max(updated.revision, object.version);
  }
  if (!Record(object, change)) {
    return base::Done{};
  }
  if (!snapshot) {
    return ApplyObject(object, updated, change);
  }
  updated.tree = std::move(snapshot->tree);
  updated.routes = std::move(snapshot->routes);
  updated.health_paths = std::move(snapshot->health_paths);
  updated.cold_limits = std::move(snapshot->cold_limits);
  change.snapshot = true;
  return base::Done{};
}

ConfigChange ConfigState::Apply(
    const std::vector<platform::StoredObject>& objects) {
  ConfigChange change;
  ConfigSnapshot updated = *m_snapshot;
  for (const platform::StoredObject& object : objects) {
    if (auto applied = ApplyIfNewer(object, updated, change); !applied) {
      change.refused.push_back(applied.error());
    }
  }
  change.snapshot = change.snapshot || updated.revision != m_snapshot->revision;
  if (change.snapshot) {
    m_snapshot = std::make_shared<const ConfigSnapshot>(std::move(updated));
  }
  return change;
}

ConfigChange ConfigState::ApplyFullState(
    std::vector<platform::StoredObject> objects,
    uint64_t revision) {
  std::set<std::string> names;
  for (const platform::StoredObject& object : objects) {
    names.insert(object.name);
  }
  std::vector<LostObject> missing;
  for (const auto& [name, held] : m_objects) {
    if (!held.value || held.version >= revision || names.contains(name)) {
      continue;
    }
    if (platform::GenerationOf(held.version) ==
        platform::GenerationOf(revision)) {
      objects.push_back({.name = name, .version = revision});
    } else {
      missing.push_back({.held = held});
    }
  }
  ConfigChange change = Apply(objects);
  change.lost.insert(change.lost.end(), missing.begin(), missing.end());
  return change;
}

}  // namespace filberthollow::config
