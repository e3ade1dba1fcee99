// Strict parsing of JSON settings. It is an error if a field is unknown, is
// required but absent, has the wrong type or is out of range. The error gives
// the path of the field, the value found and what was expected.
//
//   ObjectReader reader(json, "agent.json");
//   std::string name = reader.Text("name");
//   uint32_t slots = reader.Number("slots", 1, 4096, /*fallback=*/4);
//   if (auto error = reader.Finish()) return *error;
#ifndef FILBERTHOLLOW_SETTINGS_JSON_READER_H_
#define FILBERTHOLLOW_SETTINGS_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"

namespace filberthollow::settings {

// Maximum nesting depth of a settings text.
inline constexpr int kMaxJsonDepth = 16;

// Parses a JSON text. `source` is the file or object that the text came from;
// the error names it, and the position of a syntax error.
base::Result<nlohmann::json> ParseJson(std::string_view text,
                                       std::string_view source);

// ObjectReader reads the fields of one JSON object. It keeps the first error.
// After an error the reads return empty or fallback values.
class ObjectReader {
 public:
  // `path` identifies the object in errors. `object` must outlive the reader
  // and the pointers that it returns.
  ObjectReader(const nlohmann::json& object, std::string path);

  // Returns the value of a required, non-empty string field.
  std::string Text(std::string_view name);
  // Returns the value of a string field, or `fallback` if the field is absent.
  // If present, the string must not be empty.
  std::string OptionalText(std::string_view name, std::string fallback);
  // Returns the value of a required address field, written "A.B.C.D:PORT".
  base::Address AddressOf(std::string_view name);
  // Returns the value of an integer field, which must be from `min` to `max`,
  // or `fallback` if the field is absent.
  uint32_t Number(std::string_view name,
                  uint32_t min,
                  uint32_t max,
                  uint32_t fallback);
  // Returns the value of an object field, or null if the field is absent.
  const nlohmann::json* Object(std::string_view name);
  // Returns the value of a field that is a list of strings, or an empty list if
  // the field is absent.
  std::vector<std::string> Strings(std::string_view name);
  // Returns the value of a field of any type, or null if the field is absent.
  // The caller must check the type.
  const nlohmann::json* Raw(std::string_view name);

  // Records an error for the field `name`, unless there was an earlier error.
  void Fail(std::string_view name, std::string found, std::string expected);
  // Returns the first error. Fields that have not been read are unknown, which
  // is an error. To be called after the last read.
  std::optional<base::Error> Finish();

  const std::string& path() const { return m_path; }

 private:
  // Marks a field as read and returns its value. Returns null if the field is
  // absent or there was an error.
  const nlohmann::json* Find(std::string_view name);

  const nlohmann::json& m_object;
  std::string m_path;
  std::set<std::string, std::less<>> m_read;  // names of the fields read
  std::optional<base::Error> m_error;
};

}  // namespace filberthollow::settings

#endif  // FILBERTHOLLOW_SETTINGS_JSON_READER_H_
