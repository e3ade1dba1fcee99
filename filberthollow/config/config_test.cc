#include "filberthollow/config/config.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "filberthollow/config/backoff.h"

namespace filberthollow::config {
namespace {

using platform::StoredObject;
using platform::VersionOf;

// Returns the object of the service "desk", with one setting.
StoredObject DeskObject(uint64_t version, uint32_t slots) {
  return {
      "config/tree/service/desk", version,
      R"({"author": "a", "operations": [], "node": {"settings": {"slots": )" +
          std::to_string(slots) + "}}}"};
}

uint32_t DeskSlots(const ConfigState& state) {
  return settings::Resolve(state.snapshot()->tree, {"desk", "", ""})
      .settings.slots;
}

// Old versions of an object can arrive after newer ones: from a slow watch,
// from a stale peer, or when answers are reordered. They must not replace newer
// ones.
RC_BOOST_PROP(TheNewestVersionWinsInAnyOrder,
              (const std::vector<uint8_t>& versions)) {
  ConfigState state;
  uint64_t newest = 0;
  for (uint64_t version : versions) {
    state.Apply({DeskObject(version + 1, static_cast<uint32_t>(version) + 1)});
    newest = std::max(newest, version + 1);
    RC_ASSERT(state.revision() == newest);
    RC_ASSERT(DeskSlots(state) == newest);
  }
}

BOOST_AUTO_TEST_CASE(AnInvalidObjectIsReportedAndTheOldOneStaysActive) {
  ConfigState state;
  state.Apply({DeskObject(1, 5)});
  ConfigChange change = state.Apply({DeskObject(2, 0)});
  BOOST_TEST(change.refused.size() == 1u);
  BOOST_TEST(change.refused[0].peer ==
             "config/tree/service/desk.settings.slots");
  BOOST_TEST(DeskSlots(state) == 5u);
}

// Guards against a store that came back from a copy: it returned an older
// configuration, and gave later ones lower versions than the held one had.
BOOST_AUTO_TEST_CASE(SnapshotIsOrderedByTheVersionOfItsAuthor) {
  ConfigState state;
  auto deliver = [&state](uint64_t store_version, uint64_t author_version) {
    settings::Snapshot snapshot{.version = author_version};
    snapshot.tree.services["v" + std::to_string(author_version)];
    return state
        .Apply({{platform::kSnapshotObject, store_version,
                 settings::SnapshotText(snapshot)}})
        .snapshot;
  };
  BOOST_TEST(deliver(20, 7));
  BOOST_TEST(!deliver(platform::VersionOf(1, 15), 5));
  BOOST_TEST(!deliver(platform::VersionOf(1, 16), 7));
  BOOST_TEST(state.revision() == platform::AuthorVersionOf(7));
  BOOST_TEST(state.snapshot()->tree.services.contains("v7"));
  BOOST_TEST(deliver(platform::VersionOf(1, 17), 9));
  BOOST_TEST(state.snapshot()->tree.services.contains("v9"));
}

BOOST_AUTO_TEST_CASE(AnInvalidSnapshotDoesNotHideALaterOne) {
  ConfigState state;
  ConfigChange change =
      state.Apply({{platform::kSnapshotObject, 30, R"({"version": "x"})"}});
  BOOST_TEST(change.refused.size() == 1U);
  BOOST_TEST(state.revision() == 0U);
  change = state.Apply({{platform::kSnapshotObject, 31, R"({"version": 4})"}});
  BOOST_TEST(change.snapshot);
  BOOST_TEST(state.revision() == platform::AuthorVersionOf(4));
}

// Guards against a fleet in which processes of the previous release, which
// order the configuration by the store's version, ignore what the others hold.
BOOST_AUTO_TEST_CASE(AuthorVersionsAreNewerThanVersionsOfTheStore) {
  uint64_t store_version = platform::VersionOf(3, 530);
  ConfigState state;
  state.Apply({{platform::kSnapshotObject, store_version, "{}"}});
  BOOST_TEST(state.revision() == store_version);
  state.Apply({{platform::kSnapshotObject, 20, R"({"version": 18})"}});
  BOOST_TEST(state.revision() > store_version);
  // The same from a peer of that release.
  BOOST_TEST(!state
                  .Apply({{platform::kSnapshotObject, store_version + 1,
                           R"({"version": 18})"}})
                  .snapshot);
}

BOOST_AUTO_TEST_CASE(ADeletedSnapshotDoesNotHideALaterOne) {
  ConfigState state;
  state.Apply({{platform::kSnapshotObject, 30, R"({"version": 18})"}});
  state.ApplyFullState({}, platform::VersionOf(1, 12));
  BOOST_TEST(state
                 .Apply({{platform::kSnapshotObject, platform::VersionOf(1, 13),
                          R"({"version": 19})"}})
                 .snapshot);
}

// Returns an object of the service "desk" whose last write sets `slots` to the
// number of writes.
StoredObject EditedDesk(uint64_t version, uint32_t writes) {
  std::string operations;
  for (uint32_t write = 1; write <= writes; ++write) {
    operations += (write > 1 ? ", \"" : "\"") + std::to_string(write) + "\"";
  }
  StoredObject object = DeskObject(version, writes);
  object.value->replace(object.value->find("[]"), 2, "[" + operations + "]");
  return object;
}

StoredObject KeysObject(uint64_t version, uint32_t newest_epoch) {
  std::vector<flow::Key> keys;
  for (uint32_t epoch = 1; epoch <= newest_epoch; ++epoch) {
    keys.push_back({.epoch = epoch});
  }
  return {platform::kKeysObject, version, KeysText(keys)};
}

// Guards against a store that came back from a copy: the older settings in it
// replaced the newer ones, since they had a higher version.
BOOST_AUTO_TEST_CASE(SettingsThatARestoredStoreHasLostStayInForce) {
  ConfigState state;
  StoredObject held = EditedDesk(VersionOf(1, 18), 3);
  state.Apply({held});
  ConfigChange change =
      state.ApplyFullState({EditedDesk(VersionOf(2, 15), 2)}, VersionOf(2, 15));
  BOOST_TEST(DeskSlots(state) == 3U);
  BOOST_REQUIRE(change.lost.size() == 1U);
  BOOST_TEST((change.lost[0] == LostObject{VersionOf(2, 15), held}));
  BOOST_TEST(state.IsStillLost(change.lost[0]));
  BOOST_TEST(state.revision() == VersionOf(2, 15));

  ConfigChange written_back = state.Apply({EditedDesk(VersionOf(2, 16), 3)});
  BOOST_TEST(written_back.lost.empty());
  BOOST_TEST(!state.IsStillLost(change.lost[0]));
  BOOST_TEST(state.revision() == VersionOf(2, 16));
  BOOST_TEST(DeskSlots(state) == 3U);
  state.Apply({EditedDesk(VersionOf(2, 17), 4)});
  BOOST_TEST(DeskSlots(state) == 4U);
}

// Guards against a store that came back from a copy: the newest key, which
// processes hold already, was lost to processes that start later.
BOOST_AUTO_TEST_CASE(KeysThatARestoredStoreHasLostStayInForce) {
  ConfigState state;
  state.Apply({KeysObject(VersionOf(1, 18), 3)});
  ConfigChange change = state.Apply({KeysObject(VersionOf(2, 15), 2)});
  BOOST_TEST(!change.keys);
  BOOST_TEST(state.keys().newest_epoch() == 3U);
  BOOST_REQUIRE(change.lost.size() == 1U);
  BOOST_TEST(change.lost[0].store_version == VersionOf(2, 15));
}

// Guards against a store that came back from a copy made before an object was
// created.
BOOST_AUTO_TEST_CASE(ObjectsMissingInARestoredStoreAreLostAndNotDeleted) {
  ConfigState state;
  StoredObject held = EditedDesk(VersionOf(1, 18), 1);
  state.Apply({held, KeysObject(VersionOf(1, 19), 1)});
  ConfigChange change =
      state.ApplyFullState({KeysObject(VersionOf(2, 15), 1)}, VersionOf(2, 15));
  BOOST_TEST(DeskSlots(state) == 1U);
  BOOST_REQUIRE(change.lost.size() == 1U);
  BOOST_TEST((change.lost[0] == LostObject{0, held}));
  // Within one generation a missing object was deleted.
  change =
      state.ApplyFullState({EditedDesk(VersionOf(2, 16), 1)}, VersionOf(2, 17));
  BOOST_TEST(change.lost.empty());
  BOOST_TEST(!state.objects().at(platform::kKeysObject).value.has_value());
}

BOOST_AUTO_TEST_CASE(SettingsOnTopOfACopyReplaceThoseThatItLacks) {
  ConfigState state;
  state.Apply({EditedDesk(VersionOf(1, 18), 2)});
  StoredObject other = EditedDesk(VersionOf(2, 16), 5);
  other.value->replace(other.value->find("\"5\""), 3, "\"x\"");
  other.value->replace(other.value->find("\"2\""), 3, "\"y\"");
  BOOST_TEST(state.Apply({other}).lost.empty());
  BOOST_TEST(DeskSlots(state) == 5U);
  // A peer that has not seen it yet changes nothing.
  state.Apply({EditedDesk(VersionOf(1, 18), 2)});
  BOOST_TEST(DeskSlots(state) == 5U);
}

// A process that started after the restore learns from a peer what the store
// has lost. Its version never decreases.
BOOST_AUTO_TEST_CASE(APeerSuppliesWhatTheStoreHasLost) {
  ConfigState state;
  state.Apply({EditedDesk(VersionOf(2, 15), 2)});
  ConfigChange change = state.Apply({EditedDesk(VersionOf(1, 18), 3)});
  BOOST_TEST(DeskSlots(state) == 3U);
  BOOST_TEST(state.objects().at("config/tree/service/desk").version ==
             VersionOf(2, 15));
  BOOST_REQUIRE(change.lost.size() == 1U);
  BOOST_TEST(change.lost[0].store_version == VersionOf(2, 15));
  BOOST_TEST(state.IsStillLost(change.lost[0]));
}

BOOST_AUTO_TEST_CASE(ADeletedServiceDoesNotReturnFromACopy) {
  ConfigState state;
  state.Apply({EditedDesk(VersionOf(1, 7), 1),
               {"config/tree/service/desk", VersionOf(1, 18), std::nullopt}});
  ConfigChange change =
      state.ApplyFullState({EditedDesk(VersionOf(2, 7), 1)}, VersionOf(2, 15));
  BOOST_TEST(state.snapshot()->tree.services.empty());
  BOOST_TEST(change.lost.empty());
}

// The operator of the snapshot writes it again itself.
BOOST_AUTO_TEST_CASE(ASnapshotThatNamesItsVersionIsNeverLost) {
  ConfigState state;
  settings::Snapshot snapshot{.version = 7};
  snapshot.tree.services["desk"];
  state.Apply({{platform::kSnapshotObject, VersionOf(1, 18),
                settings::SnapshotText(snapshot)}});
  ConfigChange change = state.ApplyFullState({}, VersionOf(2, 15));
  BOOST_TEST(change.lost.empty());
  BOOST_TEST(state.snapshot()->tree.services.contains("desk"));
  change = state.Apply(
      {{platform::kSnapshotObject, VersionOf(2, 16), R"({"version": 5})"}});
  BOOST_TEST(change.lost.empty());
  BOOST_TEST(state.snapshot()->tree.services.contains("desk"));
}

BOOST_AUTO_TEST_CASE(ADeletedServiceIsRemoved) {
  ConfigState state;
  state.Apply({DeskObject(1, 5)});
  state.Apply({{"config/tree/service/desk", 2, std::nullopt}});
  BOOST_TEST(state.snapshot()->tree.services.empty());
}

BOOST_AUTO_TEST_CASE(KeysRoundTripAndNeverAppearInErrors) {
  flow::Key key{.epoch = 4, .active_from = base::Millis(7)};
  key.secret.fill(0xab);
  auto keys = ParseKeyList(KeysText({key}));
  BOOST_REQUIRE(bool(keys));
  BOOST_TEST((keys->at(0) == key));
  auto bad = ParseKeyList(R"({"keys": [{"epoch": 1, "secret": "abababab"}]})");
  BOOST_REQUIRE(!bad);
  BOOST_TEST(bad.error().Text().find("abab") == std::string::npos);
  BOOST_TEST(!ParseKeyList("[]"));
  BOOST_TEST(!ParseKeyList(R"({"keys": [{"epoch": 1}]})"));
}

BOOST_AUTO_TEST_CASE(BackoffGrowsWithJitterAndIsBounded) {
  Backoff backoff(base::Millis(500), base::Millis(10'000), 7);
  int64_t bound = 500;
  for (int i = 0; i < 10; ++i) {
    int64_t delay = backoff.Next().count();
    BOOST_TEST(delay >= bound / 2);
    BOOST_TEST(delay <= bound);
    bound = std::min<int64_t>(bound * 2, 10'000);
  }
  backoff.Reset();
  BOOST_TEST(backoff.Next().count() <= 500);
}

}  // namespace
}  // namespace filberthollow::config
