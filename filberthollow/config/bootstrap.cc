#include "filberthollow/config/bootstrap.h"

#include "filberthollow/settings/json_reader.h"

namespace filberthollow::config {

std::string BootstrapText(const BootstrapEntry& entry) {
  return nlohmann::json{{"name", entry.name},
                        {"data_centre", entry.data_centre},
                        {"control", entry.control.Text()},
                        {"admin", entry.admin.Text()},
                        {"callers", entry.callers.Text()}}
      .dump();
}

base::Result<BootstrapEntry> ParseBootstrap(std::string_view text,
                                            std::string_view source) {
  base::Result<nlohmann::json> json = settings::ParseJson(text, source);
  if (!json) {
    return json.error();
  }
  settings::ObjectReader reader(*json, std::string(source));
  BootstrapEntry entry{.name = reader.Text("name"),
                       .data_centre = reader.Text("data_centre"),
                       .control = reader.AddressOf("control"),
                       .admin = reader.AddressOf("admin"),
                       .callers = reader.AddressOf("callers")};
  if (auto error = reader.Finish()) {
    return *error;
  }
  return entry;
}

std::vector<BootstrapEntry> ParseBootstrapList(
    const std::vector<platform::StoredObject>& objects) {
  std::vector<BootstrapEntry> entries;
  for (const platform::StoredObject& object : objects) {
    if (!object.value) {
      continue;
    }
    if (auto entry = ParseBootstrap(*object.value, object.name)) {
      entries.push_back(*entry);
    }
  }
  return entries;
}

}  // namespace filberthollow::config
