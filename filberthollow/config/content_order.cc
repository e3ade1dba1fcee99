#include "filberthollow/config/content_order.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "filberthollow/config/config.h"

namespace filberthollow::config {
namespace {

using nlohmann::json;
using platform::GenerationOf;
using platform::RevisionOf;
using platform::StoredObject;

// Returns the operations of an object of the settings tree, newest last; none
// if the text can't be read.
std::vector<std::string> ReadOperations(std::string_view text) {
  json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("operations") ||
      !parsed["operations"].is_array()) {
    return {};
  }
  std::vector<std::string> operations;
  for (const json& operation : parsed["operations"]) {
    if (!operation.is_string()) {
      return {};
    }
    operations.push_back(operation.get<std::string>());
  }
  return operations;
}

ContentOrder CompareTreeObjects(std::string_view text,
                                std::string_view held_text) {
  std::vector<std::string> operations = ReadOperations(text);
  std::vector<std::string> held = ReadOperations(held_text);
  if (operations.empty() || held.empty()) {
    return ContentOrder::kUnrelated;
  }
  if (operations.back() == held.back()) {
    return ContentOrder::kSame;
  }
  bool is_in_held = std::ranges::find(held, operations.back()) != held.end();
  bool contains_held =
      std::ranges::find(operations, held.back()) != operations.end();
  if (is_in_held == contains_held) {
    return ContentOrder::kUnrelated;
  }
  return is_in_held ? ContentOrder::kOlder : ContentOrder::kNewer;
}

// Returns whether `longer` ends with the keys of `shorter`.
bool EndsWith(const std::vector<flow::Key>& longer,
              const std::vector<flow::Key>& shorter) {
  return shorter.size() <= longer.size() &&
         std::equal(shorter.rbegin(), shorter.rend(), longer.rbegin());
}

ContentOrder CompareKeys(std::string_view text, std::string_view held_text) {
  auto keys = ParseKeyList(text);
  auto held = ParseKeyList(held_text);
  if (!keys || !held || keys->empty() || held->empty()) {
    return ContentOrder::kUnrelated;
  }
  std::ranges::sort(*keys);
  std::ranges::sort(*held);
  if (*keys == *held) {
    return ContentOrder::kSame;
  }
  uint32_t epoch = keys->back().epoch;
  uint32_t held_epoch = held->back().epoch;
  if (epoch != held_epoch) {
    return epoch > held_epoch ? ContentOrder::kNewer : ContentOrder::kOlder;
  }
  // Keys are withdrawn oldest first.
  if (EndsWith(*held, *keys)) {
    return ContentOrder::kNewer;
  }
  return EndsWith(*keys, *held) ? ContentOrder::kOlder
                                : ContentOrder::kUnrelated;
}

// How the texts of the objects whose names start with `prefix` are compared.
struct Comparison {
  std::string_view prefix;
  ContentOrder (*compare)(std::string_view text, std::string_view held_text);
};
constexpr std::array<Comparison, 3> kComparisons{{
    {platform::kKeysObject, &CompareKeys},
    {platform::kRootObject, &CompareTreeObjects},
    {platform::kServicePrefix, &CompareTreeObjects},
}};

ContentOrder CompareNumbers(uint64_t number, uint64_t held) {
  if (number == held) {
    return ContentOrder::kSame;
  }
  return number > held ? ContentOrder::kNewer : ContentOrder::kOlder;
}

}  // namespace

ContentOrder CompareContent(std::string_view name,
                            std::string_view text,
                            std::string_view held_text) {
  if (text == held_text) {
    return ContentOrder::kSame;
  }
  for (const Comparison& comparison : kComparisons) {
    if (name.starts_with(comparison.prefix)) {
      return comparison.compare(text, held_text);
    }
  }
  return ContentOrder::kUnrelated;
}

ContentOrder CompareObjects(const StoredObject& object,
                            const StoredObject& held) {
  ContentOrder by_version = CompareNumbers(object.version, held.version);
  if (GenerationOf(object.version) == GenerationOf(held.version)) {
    return by_version;
  }
  if (object.value && held.value) {
    ContentOrder order =
        CompareContent(object.name, *object.value, *held.value);
    return order == ContentOrder::kUnrelated ? by_version : order;
  }
  if (!object.value && !held.value) {
    return ContentOrder::kSame;
  }
  // What a copy brings back has a lower revision than its deletion had.
  bool brought_back = object.value && by_version == ContentOrder::kNewer &&
                      RevisionOf(object.version) <= RevisionOf(held.version);
  return brought_back ? ContentOrder::kOlder : by_version;
}

}  // namespace filberthollow::config
