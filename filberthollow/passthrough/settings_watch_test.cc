#include "filberthollow/passthrough/settings_watch.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>

#include "filberthollow/passthrough/messages.h"

namespace filberthollow::passthrough {
namespace {

constexpr base::Address kSeed{1, 7000};
constexpr base::Address kOtherSeed{2, 7000};

// The settings that the fake adapter returns; if nullopt, reading them fails.
std::optional<settings::NodeSettings> g_settings;

base::Result<settings::NodeSettings> ReadFakeSettings() {
  if (!g_settings) {
    return base::MakeError(std::errc::invalid_argument, "read settings", "fake",
                           "wrong");
  }
  return *g_settings;
}

struct Fixture {
  kernel::Registry registry;
  std::shared_ptr<kernel::Inbox<PacketsMessage>> inbox =
      std::make_shared<kernel::Inbox<PacketsMessage>>(8, [] {});
  config::Adapter adapter{.read_settings = &ReadFakeSettings};
  settings::NodeSettings initial{.name = "one",
                                 .seeds = {kSeed},
                                 .stop_grace = base::Millis(6000)};
  SettingsWatch watch{registry, adapter, initial};

  Fixture() {
    registry.Register(kPacketsService, inbox);
    g_settings = initial;
  }
};

BOOST_FIXTURE_TEST_CASE(UnchangedSettingsPostNothing, Fixture) {
  watch.Check();
  BOOST_TEST(inbox->Drain().empty());
}

BOOST_FIXTURE_TEST_CASE(NewSeedsArePostedOnce, Fixture) {
  g_settings->seeds = {kOtherSeed};
  watch.Check();
  watch.Check();
  auto messages = inbox->Drain();
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST((messages[0] == PacketsMessage(BalancersFound{{kOtherSeed}})));
}

BOOST_FIXTURE_TEST_CASE(InvalidFileChangesNothing, Fixture) {
  g_settings.reset();
  watch.Check();
  BOOST_TEST(inbox->Drain().empty());
  BOOST_TEST((watch.settings() == initial));
  g_settings = initial;
  watch.Check();
  BOOST_TEST(inbox->Drain().empty());
}

BOOST_FIXTURE_TEST_CASE(NewStopGraceIsApplied, Fixture) {
  g_settings->stop_grace = base::Millis(9000);
  watch.Check();
  BOOST_TEST((watch.settings().stop_grace == base::Millis(9000)));
}

}  // namespace
}  // namespace filberthollow::passthrough
