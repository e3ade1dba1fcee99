#include "filberthollow/settings/json_reader.h"

#include <fmt/format.h>

namespace filberthollow::settings {
namespace {

// Longest excerpt of an invalid value in an error message.
constexpr size_t kMaxFoundBytes = 60;

std::string Shorten(std::string text) {
  if (text.size() > kMaxFoundBytes) {
    text.resize(kMaxFoundBytes);
    text += "...";
  }
  return text;
}

}  // namespace

base::Result<nlohmann::json> ParseJson(std::string_view text,
                                       std::string_view source) {
  bool too_deep = false;
  auto limit_depth = [&too_deep](int depth, auto /*event*/, auto& /*parsed*/) {
    too_deep = too_deep || depth > kMaxJsonDepth;
    return !too_deep;
  };
  try {
    nlohmann::json parsed = nlohmann::json::parse(text, limit_depth);
    if (!too_deep) {
      return parsed;
    }
  } catch (const nlohmann::json::exception& error) {
    return base::MakeError(std::errc::invalid_argument, "parse JSON",
                           std::string(source), error.what());
  }
  return base::MakeError(std::errc::invalid_argument, "parse JSON",
                         std::string(source),
                         fmt::format("nested deeper than {}", kMaxJsonDepth));
}

ObjectReader::ObjectReader(const nlohmann::json& object, std::string path)
    : m_object(object), m_path(std::move(path)) {
  if (!object.is_object()) {
    m_error = base::MakeError(
        std::errc::invalid_argument, "read settings", m_path,
        fmt::format("found {}, expected an object", Shorten(object.dump())));
  }
}

const nlohmann::json* ObjectReader::Find(std::string_view name) {
  m_read.emplace(name);
  if (m_error) {
    return nullptr;
  }
  auto found = m_object.find(std::string(name));
  return found == m_object.end() ? nullptr : &*found;
}

const nlohmann::json* ObjectReader::Raw(std::string_view name) {
  return Find(name);
}

void ObjectReader::Fail(std::string_view name,
                        std::string found,
                        std::string expected) {
  if (!m_error) {
    m_error = base::MakeError(std::errc::invalid_argument, "read settings",
                              fmt::format("{}.{}", m_path, name),
                              fmt::format("found {}, expected {}",
                                          Shorten(std::move(found)), expected));
  }
}

std::string ObjectReader::Text(std::string_view name) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr || !value->is_string() ||
      value->get_ref<const std::string&>().empty()) {
    Fail(name, value == nullptr ? "nothing" : value->dump(),
         "a string that is not empty");
    return "";
  }
  return value->get<std::string>();
}

std::string ObjectReader::OptionalText(std::string_view name,
                                       std::string fallback) {
  return Find(name) == nullptr ? std::move(fallback) : Text(name);
}

base::Address ObjectReader::AddressOf(std::string_view name) {
  std::string text = Text(name);
  if (m_error) {
    return {};
  }
  base::Result<base::Address> address = base::Address::Parse(text);
  if (!address) {
    Fail(name, "\"" + text + "\"", "\"A.B.C.D:PORT\"");
    return {};
  }
  return *address;
}

uint32_t ObjectReader::Number(std::string_view name,
                              uint32_t min,
                              uint32_t max,
                              uint32_t fallback) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number_unsigned() || value->get<uint64_t>() < min ||
      value->get<uint64_t>() > max) {
    Fail(name, value->dump(), fmt::format("{} to {}", min, max));
    return fallback;
  }
  return value->get<uint32_t>();
}

const nlohmann::json* ObjectReader::Object(std::string_view name) {
  const nlohmann::json* value = Find(name);
  if (value != nullptr && !value->is_object()) {
    Fail(name, value->dump(), "an object");
    return nullptr;
  }
  return value;
}

std::vector<std::string> ObjectReader::Strings(std::string_view name) {
  std::vector<std::string> strings;
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return strings;
  }
  if (!value->is_array()) {
    Fail(name, value->dump(), "a list of strings");
    return strings;
  }
  for (const nlohmann::json& item : *value) {
    if (!item.is_string()) {
      Fail(name, item.dump(), "a string");
      return {};
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

std::optional<base::Error> ObjectReader::Finish() {
  if (!m_error) {
    for (const auto& item : m_object.items()) {
      if (!m_read.contains(item.key())) {
        Fail(item.key(), "an unknown field", "one of the documented fields");
      }
    }
  }
  return m_error;
}

}  // namespace filberthollow::settings
