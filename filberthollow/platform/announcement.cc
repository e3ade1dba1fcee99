#include "filberthollow/platform/announcement.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace filberthollow::platform {
namespace {

using decision::flows::UpstreamHeartbeat;
using decision::flows::UpstreamState;
using nlohmann::json;

constexpr std::string_view kInstancesPath = "/filberthollow/instances/";
constexpr std::string_view kReadinessPath = "/filberthollow/readiness";
constexpr base::Millis kMaxDuration{86'400'000};  // one day

base::Error HeartbeatError(std::string field, std::string detail) {
  return base::MakeError(std::errc::bad_message, "read heartbeat",
                         std::move(field), std::move(detail));
}

// Reads the members of a JSON object and remembers the first one that is
// missing or has another type than asked for.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : m_object(object) {}

  std::string Text(const char* name) {
    const json* field = Find(name, &json::is_string, "text");
    return field == nullptr ? "" : field->get<std::string>();
  }
  // Reads a whole number from 0 to `most`.
  int64_t WholeNumber(const char* name, int64_t most = INT64_MAX) {
    const json* field = Find(name, &json::is_number_unsigned, "whole number");
    auto value = field == nullptr ? 0 : field->get<uint64_t>();
    if (value > static_cast<uint64_t>(most)) {
      Fail(name, "too large");
    }
    return static_cast<int64_t>(value);
  }
  // Reads a number of milliseconds; negative ones become 0.
  base::Millis Duration(const char* name) {
    const json* field = Find(name, &json::is_number, "number");
    double value = field == nullptr ? 0 : field->get<double>();
    return base::Millis(static_cast<int64_t>(
        std::clamp(value, 0.0, static_cast<double>(kMaxDuration.count()))));
  }
  // Returns 0 if the member is missing.
  int64_t OptionalWholeNumber(const char* name) {
    return m_object.contains(name) ? WholeNumber(name) : 0;
  }
  base::Address Address(const char* name) {
    std::string text = Text(name);
    auto address = base::Address::Parse(text);
    if (!address) {
      Fail(name, "expected A.B.C.D:PORT");
      return {};
    }
    return *address;
  }
  UpstreamState State(const char* name) {
    std::string text = Text(name);
    if (text == "ready") {
      return UpstreamState::kReady;
    }
    if (text != "draining") {
      Fail(name, "unknown state");
    }
    return UpstreamState::kDraining;
  }
  const std::optional<base::Error>& error() const { return m_error; }

 private:
  const json* Find(const char* name,
                   bool (json::*is_type)() const noexcept,
                   const char* type) {
    auto found = m_object.find(name);
    if (found == m_object.end()) {
      Fail(name, "missing");
      return nullptr;
    }
    if (!((*found).*is_type)()) {
      Fail(name, std::string("expected ") + type);
      return nullptr;
    }
    return &*found;
  }
  void Fail(const char* name, std::string detail) {
    if (!m_error) {
      m_error = HeartbeatError(name, std::move(detail));
    }
  }

  const json& m_object;
  std::optional<base::Error> m_error;
};

base::Result<UpstreamHeartbeat> ParseHeartbeat(std::string id,
                                               const std::string& body) {
  json fields = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!fields.is_object()) {
    return HeartbeatError("body", "expected a JSON object");
  }
  FieldReader reader(fields);
  UpstreamHeartbeat heartbeat{
      .id = std::move(id),
      .service = reader.Text("service"),
      .address = reader.Address("address"),
      .started = base::Millis(reader.WholeNumber("born")),
      .sequence = static_cast<uint64_t>(reader.WholeNumber("sequence")),
      .state = reader.State("state"),
      .slots = static_cast<uint32_t>(reader.WholeNumber("slots", UINT32_MAX)),
      .cold_remaining = reader.Duration("coldRemainingMs")};
  // Not used, but a heartbeat without them is not from an upstream.
  reader.Text("zone");
  reader.Text("version");
  if (reader.error()) {
    return *reader.error();
  }
  return heartbeat;
}

// Parses the announcement that a run of an upstream ends. Its body may be
// empty.
base::Result<UpstreamHeartbeat> ParseEnd(std::string id,
                                         const std::string& body) {
  UpstreamHeartbeat end{.id = std::move(id), .state = UpstreamState::kGone};
  if (body.empty()) {
    return end;
  }
  json fields = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!fields.is_object()) {
    return HeartbeatError("body", "expected a JSON object");
  }
  FieldReader reader(fields);
  end.started = base::Millis(reader.OptionalWholeNumber("born"));
  end.sequence = static_cast<uint64_t>(reader.OptionalWholeNumber("sequence"));
  if (reader.error()) {
    return *reader.error();
  }
  return end;
}

}  // namespace

base::Result<UpstreamHeartbeat> ReadHeartbeat(
    const net::HttpServerRequest& request) {
  if (!request.path.starts_with(kInstancesPath)) {
    return HeartbeatError("path", request.path);
  }
  std::string id = request.path.substr(kInstancesPath.size());
  if (id.empty()) {
    return HeartbeatError("path", "no identifier");
  }
  if (request.method == "DELETE") {
    return ParseEnd(std::move(id), request.body);
  }
  if (request.method != "PUT") {
    return HeartbeatError("method", request.method);
  }
  return ParseHeartbeat(std::move(id), request.body);
}

bool IsReadinessCheck(const net::HttpServerRequest& request) {
  return request.method == "GET" && request.path == kReadinessPath;
}

}  // namespace filberthollow::platform
