#include "filberthollow/settings/process_file.h"

#include <array>
#include <fstream>

#include "filberthollow/settings/json_reader.h"

namespace filberthollow::settings {
namespace {

constexpr base::Address kAnyLoopbackPort{0x7f000001, 0};
constexpr size_t kReadBytes = 4096;

base::Level ReadLogLevel(ObjectReader& reader) {
  std::string text = reader.OptionalText("log_level", "info");
  base::Level level = base::Level::kInfo;
  if (!base::ParseLevel(text, level)) {
    reader.Fail("log_level", "\"" + text + "\"",
                R"("debug", "info", "warning" or "error")");
  }
  return level;
}

std::vector<base::Address> ReadPeers(ObjectReader& reader) {
  std::vector<base::Address> peers;
  for (const std::string& text : reader.Strings("peers")) {
    auto address = base::Address::Parse(text);
    if (!address) {
      reader.Fail("peers", "\"" + text + "\"", "\"A.B.C.D:PORT\"");
      return {};
    }
    peers.push_back(*address);
  }
  return peers;
}

std::optional<flow::Key> ReadJoinKey(ObjectReader& reader) {
  std::string text = reader.OptionalText("join_key", "none");
  if (text == "none") {
    return std::nullopt;
  }
  auto secret = flow::ParseSecret(text);
  if (!secret) {
    // Does not show the value, which may be a mistyped secret.
    reader.Fail("join_key", "an invalid secret", "32 hex digits");
    return std::nullopt;
  }
  return flow::Key{.epoch = 0, .secret = *secret};
}

base::Address ReadAdminAddress(ObjectReader& reader) {
  return reader.Raw("admin_address") == nullptr
             ? kAnyLoopbackPort
             : reader.AddressOf("admin_address");
}

}  // namespace

base::Result<BalancerFile> ParseBalancerFile(std::string_view text,
                                             std::string_view source) {
  base::Result<nlohmann::json> json = ParseJson(text, source);
  if (!json) {
    return json.error();
  }
  ObjectReader reader(*json, std::string(source));
  BalancerFile file{.name = reader.Text("name"),
                    .data_centre = reader.Text("data_centre"),
                    .caller_address = reader.AddressOf("caller_address"),
                    .relay_address = reader.AddressOf("relay_address"),
                    .control_address = reader.AddressOf("control_address"),
                    .admin_address = ReadAdminAddress(reader),
                    .platform = reader.AddressOf("platform"),
                    .peers = ReadPeers(reader),
                    .join_key = ReadJoinKey(reader),
                    .log_level = ReadLogLevel(reader)};
  reader.OptionalText("comment", "");
  if (auto error = reader.Finish()) {
    return *error;
  }
  return file;
}

base::Result<AgentFile> ParseAgentFile(std::string_view text,
                                       std::string_view source) {
  base::Result<nlohmann::json> json = ParseJson(text, source);
  if (!json) {
    return json.error();
  }
  ObjectReader reader(*json, std::string(source));
  AgentFile file{.name = reader.Text("name"),
                 .data_centre = reader.Text("data_centre"),
                 .service = reader.Text("service"),
                 .relay_address = reader.AddressOf("relay_address"),
                 .control_address = reader.AddressOf("control_address"),
                 .admin_address = ReadAdminAddress(reader),
                 .upstream = reader.AddressOf("upstream"),
                 .platform = reader.AddressOf("platform"),
                 .log_level = ReadLogLevel(reader)};
  reader.OptionalText("comment", "");
  if (auto error = reader.Finish()) {
    return *error;
  }
  return file;
}

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return base::MakeError(std::errc::no_such_file_or_directory, "read file",
                           path);
  }
  // Reads in chunks, so that the buffer grows with the file. If it had the
  // maximum size from the start, that memory would stay with the process.
  std::string text;
  std::array<char, kReadBytes> part{};
  while (in && text.size() <= kMaxFileBytes) {
    in.read(part.data(), part.size());
    text.append(part.data(), static_cast<size_t>(in.gcount()));
  }
  if (text.size() > kMaxFileBytes) {
    return base::MakeError(std::errc::file_too_large, "read file", path);
  }
  return text;
}

}  // namespace filberthollow::settings
