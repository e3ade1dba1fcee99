#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "filberthollow/platform/announcement.h"
#include "filberthollow/platform/node_settings.h"
#include "filberthollow/platform/operator_config.h"
#include "filberthollow/platform/packet_format.h"

namespace filberthollow::platform {
namespace {

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (size_t i = 0; i + 1 < hex.size(); i += 3) {
    bytes += static_cast<char>(
        std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

constexpr flow::FlowEnds kExampleFlow{{0x64400007, 40001}, {0xc6120001, 443}};

BOOST_AUTO_TEST_CASE(ParsesHeaderOfOpeningPacket) {
  std::string packet = FromHex(
      "44 33 22 11 00 00 00 00 07 00 40 64 01 00 12 c6 bb 01 41 9c 00 00 00 00 "
      "00 00 20 00 d5 c3 b2 a1 ");
  auto header = PlatformPacketFormat().Read(packet);
  BOOST_REQUIRE(header.has_value());
  BOOST_TEST((header->FromCaller() == kExampleFlow));
  BOOST_TEST(header->sequence == 0x11223344U);
  BOOST_TEST(header->AsksToOpen());
  BOOST_TEST(!header->bounced);
}

BOOST_AUTO_TEST_CASE(BuildsResetThatParsesBack) {
  std::string expected = FromHex(
      "00 00 00 00 00 00 00 00 01 00 12 c6 07 00 40 64 41 9c bb 01 00 00 00 00 "
      "00 00 08 00 00 00 00 00 ");
  std::string reset = PlatformPacketFormat().MakeReset(kExampleFlow, 0);
  BOOST_TEST(reset == expected);
  BOOST_TEST((PlatformPacketFormat().Read(reset)->ToCaller() == kExampleFlow));
}

BOOST_AUTO_TEST_CASE(RejectsPacketShorterThanHeader) {
  BOOST_TEST(!PlatformPacketFormat().Read(std::string(31, 'x')).has_value());
}

net::HttpServerRequest HeartbeatRequest(std::string body) {
  return {.method = "PUT",
          .path = "/filberthollow/instances/i-7",
          .body = std::move(body)};
}

BOOST_AUTO_TEST_CASE(ParsesHeartbeat) {
  auto heartbeat = ReadHeartbeat(HeartbeatRequest(
      R"({"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1",
          "slots":4,"state":"draining","coldRemainingMs":7,"sequence":3,
          "born":1700000000123})"));
  BOOST_REQUIRE(heartbeat);
  BOOST_TEST(
      (*heartbeat == decision::flows::UpstreamHeartbeat{
                         .id = "i-7",
                         .service = "desk",
                         .address = {0x0a000001, 80},
                         .started = base::Millis(1700000000123),
                         .sequence = 3,
                         .state = decision::flows::UpstreamState::kDraining,
                         .slots = 4,
                         .cold_remaining = base::Millis(7)}));
}

// Returns the body of a valid heartbeat in which `field` has another value, or
// is missing if `value` is empty.
std::string HeartbeatBody(const std::string& field, const std::string& value) {
  const std::vector<std::pair<std::string, std::string>> valid{
      {"service", R"("desk")"}, {"address", R"("10.0.0.1:80")"},
      {"zone", R"("a")"},       {"version", R"("v1")"},
      {"slots", "4"},           {"state", R"("ready")"},
      {"coldRemainingMs", "0"}, {"sequence", "3"},
      {"born", "1700000000123"}};
  std::string body;
  for (const auto& [name, original] : valid) {
    const std::string& used = name == field ? value : original;
    if (!used.empty()) {
      body += fmt::format(R"({}"{}":{})", body.empty() ? "{" : ",", name, used);
    }
  }
  return body + "}";
}

BOOST_AUTO_TEST_CASE(RejectsMalformedHeartbeats) {
  for (const char* body : {"", "nonsense", "[]", "{}", "\xff\xfe", "{} {}"}) {
    BOOST_TEST(!ReadHeartbeat(HeartbeatRequest(body)));
  }
}

// Guards against the heartbeat of another writer, in which fields are missing
// or have another type: it was taken for a new run of the upstream, whose open
// flows were reset.
BOOST_AUTO_TEST_CASE(RejectsHeartbeatWithMissingOrWrongField) {
  BOOST_REQUIRE(ReadHeartbeat(HeartbeatRequest(HeartbeatBody("", ""))));
  const std::string not_text[] = {"", "null", "7", "true", "[]", "{}"};
  const std::string not_whole[] = {"",     "null", R"("4")",
                                   "true", "4.5",  "-1",
                                   "1e30", "[4]",  "18446744073709551615"};
  for (const char* field : {"service", "address", "zone", "version", "state"}) {
    for (const std::string& value : not_text) {
      auto heartbeat =
          ReadHeartbeat(HeartbeatRequest(HeartbeatBody(field, value)));
      BOOST_REQUIRE_MESSAGE(!heartbeat, field << " = " << value);
      BOOST_TEST(heartbeat.error().peer == field);
    }
  }
  for (const char* field : {"slots", "sequence", "born"}) {
    for (const std::string& value : not_whole) {
      auto heartbeat =
          ReadHeartbeat(HeartbeatRequest(HeartbeatBody(field, value)));
      BOOST_REQUIRE_MESSAGE(!heartbeat, field << " = " << value);
      BOOST_TEST(heartbeat.error().peer == field);
    }
  }
  for (const char* value : {"", "null", R"("0")", "true"}) {
    BOOST_TEST(!ReadHeartbeat(
        HeartbeatRequest(HeartbeatBody("coldRemainingMs", value))));
  }
  BOOST_TEST(
      !ReadHeartbeat(HeartbeatRequest(HeartbeatBody("state", R"("asleep")"))));
  BOOST_TEST(!ReadHeartbeat(
      HeartbeatRequest(HeartbeatBody("address", R"("nowhere")"))));
}

BOOST_AUTO_TEST_CASE(DeleteRequestReportsUpstreamGone) {
  auto heartbeat = ReadHeartbeat(
      {.method = "DELETE", .path = "/filberthollow/instances/i-7"});
  BOOST_REQUIRE(heartbeat);
  BOOST_TEST((heartbeat->state == decision::flows::UpstreamState::kGone));
  BOOST_TEST(heartbeat->id == "i-7");
}

BOOST_AUTO_TEST_CASE(DeleteRequestMayStateTheRun) {
  auto end = ReadHeartbeat({.method = "DELETE",
                            .path = "/filberthollow/instances/i-7",
                            .body = R"({"born":1700000000123,"sequence":9})"});
  BOOST_REQUIRE(end);
  BOOST_TEST((end->started == base::Millis(1700000000123)));
  BOOST_TEST(end->sequence == 9U);
  for (const char* body : {"{", "[]", R"({"born":"1"})", R"({"born":-1})",
                           R"({"sequence":true})"}) {
    BOOST_TEST(!ReadHeartbeat({.method = "DELETE",
                               .path = "/filberthollow/instances/i-7",
                               .body = body}));
  }
}

BOOST_AUTO_TEST_CASE(ConvertsOperatorConfig) {
  auto snapshot = ParseOperatorConfig(
      R"({"version":7,
          "routes":[{"name":"r1","host":"198.18.0.1","pathPrefix":"/8443/",
                     "kind":"safe","priority":2,"aimMs":200,"split":[{"service":"a","weight":90},
                                            {"service":"b","weight":10}]},
                    {"name":"r2","host":"198.18.0.2","pathPrefix":"/443/",
                     "kind":"unsafe","service":"b"}],
          "services":[{"name":"a","healthPath":"/health",
                       "connectionLimit":2000},
                      {"name":"b","connectionLimit":999999999}],
          "limits":{"idleTimeoutMs":14500}})",
      "x");
  BOOST_REQUIRE(static_cast<bool>(snapshot));
  BOOST_REQUIRE(snapshot->routes.size() == 2U);
  BOOST_TEST((snapshot->routes[0] ==
              settings::Route{.name = "r1",
                              .address = {0xc6120001, 8443},
                              .idempotent = true,
                              .priority = 2,
                              .latency_goal_ms = 200,
                              .shares = {{"a", 90}, {"b", 10}}}));
  BOOST_TEST(
      (snapshot->routes[1] == settings::Route{.name = "r2",
                                              .address = {0xc6120002, 443},
                                              .shares = {{"b", 1}}}));
  BOOST_TEST(*snapshot->tree.root.idle_flow_s == 15U);
  BOOST_TEST(*snapshot->tree.services.at("a").overrides.connections == 2000U);
  BOOST_TEST(*snapshot->tree.services.at("b").overrides.connections ==
             100'000U);
  BOOST_TEST(snapshot->health_paths.at("a") == "/health");
  BOOST_TEST(snapshot->version == 7U);
  auto reparsed =
      settings::ParseSnapshot(settings::SnapshotText(*snapshot), "x");
  BOOST_REQUIRE(static_cast<bool>(reparsed));
  BOOST_TEST((*reparsed == *snapshot));
}

BOOST_AUTO_TEST_CASE(RejectsWholeConfigOnAnyError) {
  BOOST_TEST(!ParseOperatorConfig("{}", "x"));
  BOOST_TEST(!ParseOperatorConfig(R"({"routes":[],"services":[]})", "x"));
  BOOST_TEST(!ParseOperatorConfig(
      R"({"version":1,
          "routes":[{"name":"r","host":"x","pathPrefix":"/1/",
                     "service":"a"}],"services":[]})",
      "x"));
}

constexpr const char* kAgentSettings =
    "node=side-1\nmachineClass=side\nzone=a\nipAddress=10.1.0.12\n"
    "listenAddresses.packets=10.1.0.12:8172\n"
    "listenAddresses.outbound=10.1.0.12:8162\n"
    "listenAddresses.ready=10.1.0.12:8167\n"
    "listenAddresses.control=10.1.0.12:8166\n"
    "internalPorts=7720,7735\nseeds=10.1.0.10:8166,10.2.0.40:8166\n"
    "bootstrap=true\nheartbeatMs=770\nbounds.graceS=6.5\napp=10.1.0.12:"
    "8165\nservice=desk\n"
    "platform.address=10.200.1.7:8169\nunknown.field=1\n";

BOOST_AUTO_TEST_CASE(ParsesAgentSettings) {
  auto settings = ParseNodeSettings(kAgentSettings, "local.conf");
  BOOST_REQUIRE(static_cast<bool>(settings));
  BOOST_TEST(settings->name == "side-1");
  BOOST_TEST(settings->peers.Text() == "10.1.0.12:7720");
  BOOST_TEST(settings->outbound.Text() == "10.1.0.12:8162");
  BOOST_TEST(settings->upstream.Text() == "10.1.0.12:8165");
  BOOST_TEST(settings->caller_port == 8172);
  BOOST_TEST(settings->seeds.size() == 2U);
  BOOST_TEST(settings->seeds.at(1).Text() == "10.2.0.40:7720");
  BOOST_TEST(settings->first_start);
  BOOST_TEST((settings->heartbeat_interval == base::Millis(770)));
  BOOST_TEST((settings->stop_grace == base::Millis(6500)));
}

// Guards against calls of the store that are timed for other bounds than those
// of the deployment.
BOOST_AUTO_TEST_CASE(DeadlinesOfChangesAreTheBoundsOfTheSettings) {
  auto deadlines = [](const std::string& bounds) {
    auto settings = ParseNodeSettings(kAgentSettings + bounds, "local.conf");
    BOOST_REQUIRE(static_cast<bool>(settings));
    return std::pair(settings->config_deadline.count(),
                     settings->evacuation_deadline.count());
  };
  BOOST_TEST((deadlines("") == std::pair<int64_t, int64_t>(5000, 5000)));
  BOOST_TEST((deadlines("bounds.configurationMs=3000\n"
                        "bounds.evacuationMs=2000\n") ==
              std::pair<int64_t, int64_t>(3000, 2000)));
  BOOST_TEST((deadlines("bounds.configurationMs=3000\n"
                        "bounds.evacuationMs=9000\n"
                        "bounds.stableWindowMs=4000\n") ==
              std::pair<int64_t, int64_t>(3000, 4000)));
}

BOOST_AUTO_TEST_CASE(SettingsErrorNamesField) {
  auto settings = ParseNodeSettings("internalPorts=1,2\n", "local.conf");
  BOOST_REQUIRE(!settings);
  BOOST_TEST(settings.error().peer == "local.conf: listenAddresses.packets");
}

}  // namespace
}  // namespace filberthollow::platform
