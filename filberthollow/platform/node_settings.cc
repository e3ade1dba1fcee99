#include "filberthollow/platform/node_settings.h"

#include <charconv>
#include <cstdlib>
#include <map>
#include <utility>
#include <vector>

#include "filberthollow/settings/process_file.h"

namespace filberthollow::platform {
namespace {

constexpr const char* kPathVariable = "FILBERTHOLLOW_BOOT";
constexpr const char* kDefaultPath = "/etc/filberthollow/local.conf";
constexpr int64_t kMillisPerSecond = 1000;
// The port that deploy/system.toml names for metrics.
constexpr uint16_t kMetricsPort = 9464;

// Lines reads the fields of a settings file; the first error is kept.
class Lines {
 public:
  Lines(std::string_view text, std::string_view source) : m_source(source) {
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

  base::Address AddressOf(std::string_view name) {
    std::string text = Text(name);
    auto address = base::Address::Parse(text);
    if (!address) {
      Fail(name, text, "A.B.C.D:PORT");
      return {};
    }
    return *address;
  }

  // An address that some roles don't have.
  base::Address OptionalAddress(std::string_view name) {
    return Text(name).empty() ? base::Address{} : AddressOf(name);
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

  // A number of seconds, which may be a fraction.
  base::Millis Seconds(std::string_view name, base::Millis fallback) {
    std::string text = Text(name);
    if (text.empty()) {
      return fallback;
    }
    double seconds = 0;
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc{}) {
      Fail(name, text, "a number of seconds");
    }
    return base::Millis(static_cast<int64_t>(seconds * kMillisPerSecond));
  }

  // A whole number of milliseconds.
  base::Millis Number(std::string_view name, base::Millis fallback) {
    std::string text = Text(name);
    int64_t ms = 0;
    if (text.empty()) {
      return fallback;
    }
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc{}) {
      Fail(name, text, "a number of milliseconds");
    }
    return base::Millis(ms);
  }

  void Fail(std::string_view name,
            const std::string& found,
            const std::string& expected) {
    if (m_error.step.empty()) {
      m_error =
          base::MakeError(std::errc::invalid_argument, "read settings",
                          m_source + ": " + std::string(name),
                          "found \"" + found + "\", expected " + expected);
    }
  }

  const base::Error& error() const { return m_error; }

 private:
  const std::string m_source;
  std::map<std::string, std::string_view, std::less<>> m_values;
  base::Error m_error;
};

// Peers talk on the first port of the range that the platform leaves to us.
uint16_t PeerPort(Lines& lines) {
  std::vector<std::string> range = lines.List("internalPorts");
  int port = range.empty() ? 0 : std::atoi(range.front().c_str());
  if (port <= 0 || port > UINT16_MAX) {
    lines.Fail("internalPorts", lines.Text("internalPorts"), "two ports");
  }
  return static_cast<uint16_t>(port);
}

// Seeds are the addresses that serve heartbeats; peers listen on the same host
// at the port that all hosts share.
std::vector<base::Address> PeerSeeds(Lines& lines, uint16_t port) {
  std::vector<base::Address> seeds;
  for (const std::string& text : lines.List("seeds")) {
    auto address = base::Address::Parse(text);
    if (!address) {
      lines.Fail("seeds", text, "A.B.C.D:PORT");
      return {};
    }
    seeds.push_back({address->ip, port});
  }
  return seeds;
}

}  // namespace

base::Result<passthrough::NodeSettings> ParseNodeSettings(
    std::string_view text,
    std::string_view source) {
  constexpr base::Millis kDefaultGrace{6000};
  constexpr base::Millis kDefaultBeat{1000};
  constexpr base::Millis kDefaultLifetime{60'000};
  Lines lines(text, source);
  uint16_t peer_port = PeerPort(lines);
  base::Address packets = lines.AddressOf("listenAddresses.packets");
  passthrough::NodeSettings file{
      .name = lines.Text("node"),
      .data_centre = lines.Text("zone"),
      .peers = {packets.ip, peer_port},
      .readiness = lines.AddressOf("listenAddresses.ready"),
      .metrics = {packets.ip, kMetricsPort},
      .platform = lines.AddressOf("platform.address"),
      .seeds = PeerSeeds(lines, peer_port),
      .first_start = lines.Text("bootstrap") == "true",
      .stop_grace = lines.Seconds("bounds.graceS", kDefaultGrace),
      .flow_lifetime = lines.Seconds("bounds.flowLifetimeS", kDefaultLifetime),
      .callers = packets,
      .caller_port = packets.port,
      .outbound = lines.OptionalAddress("listenAddresses.outbound"),
      .upstream = lines.OptionalAddress("app"),
      .heartbeats = lines.OptionalAddress("listenAddresses.control"),
      .service = lines.Text("service"),
      .heartbeat_interval = lines.Number("heartbeatMs", kDefaultBeat)};
  if (!lines.error().step.empty()) {
    return lines.error();
  }
  return file;
}

base::Result<passthrough::NodeSettings> ReadNodeSettings() {
  const char* named = std::getenv(kPathVariable);
  std::string path = named == nullptr ? kDefaultPath : named;
  auto text = settings::ReadFile(path);
  if (!text) {
    return text.error();
  }
  return ParseNodeSettings(*text, path);
}

}  // namespace filberthollow::platform
