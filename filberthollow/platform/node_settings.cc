#include "filberthollow/platform/node_settings.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>
#include <utility>
#include <vector>

#include "filberthollow/settings/process_file.h"

namespace filberthollow::platform {
namespace {

constexpr const char* kPathEnvironmentVariable = "FILBERTHOLLOW_BOOT";
constexpr const char* kDefaultPath = "/etc/filberthollow/local.conf";
constexpr int64_t kMillisPerSecond = 1000;
// The metrics port is not in the settings file. It must be the port that
// deploy/system.toml specifies.
constexpr uint16_t kMetricsPort = 9464;

// SettingsFields gives access to the fields of a settings file, by name. An
// invalid field is recorded as an error, of which the first is kept. `text`
// must outlive the object. If a field is repeated, its first value is used.
class SettingsFields {
 public:
  SettingsFields(std::string_view text, std::string_view source)
      : m_source(source) {
    while (!text.empty()) {
      size_t end = std::min(text.find('\n'), text.size());
      std::string_view line = text.substr(0, end);
      size_t equals = line.find('=');
      if (equals != line.npos) {
        m_values.emplace(line.substr(0, equals), line.substr(equals + 1));
      }
      text.remove_prefix(std::min(end + 1, text.size()));
    }
  }

  std::string Text(std::string_view name) const {
    auto found = m_values.find(name);
    return found == m_values.end() ? "" : std::string(found->second);
  }

  base::Address RequiredAddress(std::string_view name) {
    std::string text = Text(name);
    auto address = base::Address::Parse(text);
    if (!address) {
      RecordError(name, text, "A.B.C.D:PORT");
      return {};
    }
    return *address;
  }

  // Returns an empty address if the field is missing, as for fields that only
  // one role has.
  base::Address OptionalAddress(std::string_view name) {
    return Text(name).empty() ? base::Address{} : RequiredAddress(name);
  }

  std::vector<std::string> List(std::string_view name) const {
    std::vector<std::string> items;
    std::string text = Text(name);
    std::string_view rest = text;
    while (!rest.empty()) {
      size_t end = std::min(rest.find(','), rest.size());
      items.emplace_back(rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return items;
  }

  // Parses a number of seconds, which may have a fraction.
  base::Millis Seconds(std::string_view name, base::Millis fallback) {
    std::string text = Text(name);
    if (text.empty()) {
      return fallback;
    }
    double seconds = 0;
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc{}) {
      RecordError(name, text, "a number of seconds");
    }
    return base::Millis(static_cast<int64_t>(seconds * kMillisPerSecond));
  }

  // Parses a whole number of milliseconds.
  base::Millis Milliseconds(std::string_view name, base::Millis fallback) {
    std::string text = Text(name);
    int64_t ms = 0;
    if (text.empty()) {
      return fallback;
    }
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc{}) {
      RecordError(name, text, "a number of milliseconds");
    }
    return base::Millis(ms);
  }

  // Parses a number from 0, which may have a fraction.
  double Decimal(std::string_view name, double fallback) {
    std::string text = Text(name);
    if (text.empty()) {
      return fallback;
    }
    double value = 0;
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || value < 0) {
      RecordError(name, text, "a number from 0");
    }
    return value;
  }

  // Parses a positive whole number.
  uint32_t Count(std::string_view name, uint32_t fallback) {
    std::string text = Text(name);
    uint32_t count = 0;
    if (text.empty()) {
      return fallback;
    }
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || count == 0) {
      RecordError(name, text, "a positive number");
    }
    return count;
  }

  // Records an error unless there is one already.
  void RecordError(std::string_view name,
                   const std::string& found,
                   const std::string& expected) {
    if (m_error.step.empty()) {
      m_error =
          base::MakeError(std::errc::invalid_argument, "read settings",
                          m_source + ": " + std::string(name),
                          "found \"" + found + "\", expected " + expected);
    }
  }

  // Returns the first error; its step is empty if there is none.
  const base::Error& error() const { return m_error; }

 private:
  const std::string m_source;
  std::map<std::string, std::string_view, std::less<>> m_values;
  base::Error m_error;
};

// Returns the port for messages from peers: the first port of the range that
// the platform leaves to this project.
uint16_t PeerPort(SettingsFields& fields) {
  std::vector<std::string> range = fields.List("internalPorts");
  int port = range.empty() ? 0 : std::atoi(range.front().c_str());
  if (port <= 0 || port > UINT16_MAX) {
    fields.RecordError("internalPorts", fields.Text("internalPorts"),
                       "two ports");
  }
  return static_cast<uint16_t>(port);
}

// Returns the peer addresses of the seeds. The file lists the addresses at
// which the seeds accept heartbeats; on the same hosts they listen for peers on
// `port`, which is the same on every host.
std::vector<base::Address> PeerSeeds(SettingsFields& fields, uint16_t port) {
  std::vector<base::Address> seeds;
  for (const std::string& text : fields.List("seeds")) {
    auto address = base::Address::Parse(text);
    if (!address) {
      fields.RecordError("seeds", text, "A.B.C.D:PORT");
      return {};
    }
    seeds.push_back({address->ip, port});
  }
  return seeds;
}

// Returns the time within which a change must be in force. `bound` counts from
// its acknowledgement. A change that was acknowledged while the store was
// disturbed must be in force bounds.stableWindowMs after the disturbance.
base::Millis ChangeDeadline(SettingsFields& fields, std::string_view bound) {
  constexpr base::Millis kDefault{5000};
  return std::min(fields.Milliseconds(bound, kDefault),
                  fields.Milliseconds("bounds.stableWindowMs", kDefault));
}

}  // namespace

base::Result<settings::NodeSettings> ParseNodeSettings(
    std::string_view text,
    std::string_view source) {
  constexpr base::Millis kDefaultStopGrace{6000};
  constexpr base::Millis kDefaultHeartbeatInterval{1000};
  constexpr base::Millis kDefaultFlowLifetime{60'000};
  constexpr uint32_t kDefaultReadsPerSecond = 2000;
  SettingsFields fields(text, source);
  uint16_t peer_port = PeerPort(fields);
  base::Address packets = fields.RequiredAddress("listenAddresses.packets");
  settings::NodeSettings node_settings{
      .name = fields.Text("node"),
      .data_centre = fields.Text("zone"),
      .peers = {packets.ip, peer_port},
      .readiness = fields.RequiredAddress("listenAddresses.ready"),
      .metrics = {packets.ip, kMetricsPort},
      .platform = fields.RequiredAddress("platform.address"),
      .platform_reads_per_second =
          fields.Count("platform.readsPerS", kDefaultReadsPerSecond),
      .config_deadline = ChangeDeadline(fields, "bounds.configurationMs"),
      .evacuations = !fields.Text("bounds.evacuationMs").empty(),
      .evacuation_deadline = ChangeDeadline(fields, "bounds.evacuationMs"),
      .cold_overshoot = fields.Decimal("bounds.coldOvershoot", 1),
      .cold_slack = fields.Decimal("bounds.coldSlack", 0),
      .seeds = PeerSeeds(fields, peer_port),
      .first_start = fields.Text("bootstrap") == "true",
      .stop_grace = fields.Seconds("bounds.graceS", kDefaultStopGrace),
      .flow_lifetime =
          fields.Seconds("bounds.flowLifetimeS", kDefaultFlowLifetime),
      .callers = packets,
      .caller_port = packets.port,
      .outbound = fields.OptionalAddress("listenAddresses.outbound"),
      .upstream = fields.OptionalAddress("app"),
      .heartbeats = fields.OptionalAddress("listenAddresses.control"),
      .service = fields.Text("service"),
      .heartbeat_interval =
          fields.Milliseconds("heartbeatMs", kDefaultHeartbeatInterval)};
  if (!fields.error().step.empty()) {
    return fields.error();
  }
  return node_settings;
}

base::Result<settings::NodeSettings> ReadNodeSettings() {
  const char* env_path = std::getenv(kPathEnvironmentVariable);
  std::string path = env_path == nullptr ? kDefaultPath : env_path;
  auto text = settings::ReadFile(path);
  if (!text) {
    return text.error();
  }
  return ParseNodeSettings(*text, path);
}

}  // namespace filberthollow::platform
