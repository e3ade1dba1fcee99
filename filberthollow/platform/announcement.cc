#include "filberthollow/platform/announcement.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace filberthollow::platform {
namespace {

using nlohmann::json;

constexpr std::string_view kInstancesPath = "/filberthollow/instances/";
constexpr std::string_view kReadinessPath = "/filberthollow/readiness";

std::optional<decision::flows::UpstreamState> ParseState(
    const std::string& name) {
  if (name == "ready") {
    return decision::flows::UpstreamState::kReady;
  }
  if (name == "draining") {
    return decision::flows::UpstreamState::kDraining;
  }
  return std::nullopt;
}

std::optional<decision::flows::UpstreamHeartbeat> ParseHeartbeat(
    std::string id,
    const std::string& body) {
  try {
    json fields = json::parse(body);
    auto state = ParseState(fields.at("state").get<std::string>());
    if (!state || !fields.at("born").is_number_integer() ||
        !fields.at("sequence").is_number_integer()) {
      return std::nullopt;
    }
    return decision::flows::UpstreamHeartbeat{
        .id = std::move(id),
        .service = fields.at("service").get<std::string>(),
        .started = base::Millis(fields.at("born").get<int64_t>()),
        .sequence = fields.at("sequence").get<uint64_t>(),
        .state = *state,
        .slots = fields.at("slots").get<uint32_t>(),
        .cold_remaining =
            base::Millis(fields.at("coldRemainingMs").get<int64_t>())};
  } catch (const json::exception&) {
    return std::nullopt;  // The request is answered with HTTP status 400.
  }
}

}  // namespace

std::optional<decision::flows::UpstreamHeartbeat> ReadHeartbeat(
    const net::HttpServerRequest& request) {
  if (!request.path.starts_with(kInstancesPath)) {
    return std::nullopt;
  }
  std::string id = request.path.substr(kInstancesPath.size());
  if (request.method == "DELETE") {
    return decision::flows::UpstreamHeartbeat{
        .id = std::move(id), .state = decision::flows::UpstreamState::kGone};
  }
  return request.method == "PUT" ? ParseHeartbeat(std::move(id), request.body)
                                 : std::nullopt;
}

bool IsReadinessCheck(const net::HttpServerRequest& request) {
  return request.method == "GET" && request.path == kReadinessPath;
}

}  // namespace filberthollow::platform
