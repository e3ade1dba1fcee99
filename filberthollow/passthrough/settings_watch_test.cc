#include "filberthollow/passthrough/settings_watch.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>

#include "filberthollow/passthrough/messages.h"

namespace filberthollow::passthrough {
namespace {

constexpr base::Address kSeed{1, 7000};
constexpr base::Address kOtherSeed{2, 7000};

// The file that the fake adapter reads; nothing if it is wrong.
std::optional<NodeFile> g_file;

base::Result<NodeFile> ReadFake() {
  if (!g_file) {
    return base::MakeError(std::errc::invalid_argument, "read settings", "fake",
                           "wrong");
  }
  return *g_file;
}

struct Fixture {
  kernel::Registry registry;
  std::shared_ptr<kernel::Inbox<PacketsMessage>> inbox =
      std::make_shared<kernel::Inbox<PacketsMessage>>(8, [] {});
  Adapter adapter{.read_settings = &ReadFake};
  NodeFile first{.name = "one",
                 .seeds = {kSeed},
                 .stop_grace = base::Millis(6000)};
  SettingsWatch settings{registry, adapter, first};

  Fixture() {
    registry.Register(kPacketsService, inbox);
    g_file = first;
  }
};

BOOST_FIXTURE_TEST_CASE(NothingIsPostedWithoutAChange, Fixture) {
  settings.Check();
  BOOST_TEST(inbox->Drain().empty());
}

BOOST_FIXTURE_TEST_CASE(NewSeedsArePostedOnce, Fixture) {
  g_file->seeds = {kOtherSeed};
  settings.Check();
  settings.Check();
  auto messages = inbox->Drain();
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST((messages[0] == PacketsMessage(PeersFound{{kOtherSeed}})));
}

BOOST_FIXTURE_TEST_CASE(AWrongFileChangesNothing, Fixture) {
  g_file.reset();
  settings.Check();
  BOOST_TEST(inbox->Drain().empty());
  BOOST_TEST((settings.file() == first));
  g_file = first;
  settings.Check();
  BOOST_TEST(inbox->Drain().empty());
}

BOOST_FIXTURE_TEST_CASE(TheNewestStopGraceIsKept, Fixture) {
  g_file->stop_grace = base::Millis(9000);
  settings.Check();
  BOOST_TEST((settings.file().stop_grace == base::Millis(9000)));
}

}  // namespace
}  // namespace filberthollow::passthrough
