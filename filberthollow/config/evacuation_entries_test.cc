#include "filberthollow/config/evacuation_entries.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

namespace filberthollow::config {
namespace {

std::string EntryName(const std::string& data_centre) {
  return platform::kEvacuationPrefix + data_centre;
}

using decision::membership::kMaxDataCentreBytes;
using decision::membership::kMaxEvacuations;
using platform::StoredObject;
using platform::VersionOf;
using platform::WatchAnswer;
using Names = std::vector<std::string>;

StoredObject Written(const std::string& data_centre, uint64_t version) {
  return {platform::kEvacuationPrefix + data_centre, version, "{}"};
}

StoredObject Removed(const std::string& data_centre, uint64_t version) {
  return {platform::kEvacuationPrefix + data_centre, version, std::nullopt};
}

constexpr uint64_t kFirst = VersionOf(1, 20);

// Entries with "east" in force since a time of 100 ms.
struct Fixture {
  EvacuationEntries entries;

  Fixture() {
    Apply({.revision = kFirst,
           .objects = {Written("east", VersionOf(1, 7))},
           .complete = true},
          100);
  }
  EvacuationChange Apply(const WatchAnswer& answer, int64_t now_ms = 200) {
    auto change = entries.Apply(answer, base::Millis(now_ms));
    BOOST_REQUIRE(change.has_value());
    return *change;
  }
};

BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeTheFirstAnswer) {
  EvacuationEntries entries;
  BOOST_TEST(entries.List().revision == 0U);
  // A list of revision 0 would count as known to nobody.
  BOOST_TEST(!entries.Apply({.complete = true}, base::Millis(0)));
}

BOOST_FIXTURE_TEST_CASE(CompleteListReplacesTheEntries, Fixture) {
  EvacuationChange change = Apply(
      {.revision = kFirst + 5,
       .objects = {Written("west", kFirst + 2), Written("north", kFirst + 1)},
       .complete = true});
  BOOST_TEST((change == EvacuationChange{.added = {"west", "north"},
                                         .removed = {"east"},
                                         .has_news = true}));
  BOOST_TEST((entries.List() == decision::membership::EvacuationList{
                                    kFirst + 5, Names{"north", "west"}}));
}

BOOST_FIXTURE_TEST_CASE(EventsApplyInOrder, Fixture) {
  EvacuationChange change = Apply(
      {.revision = kFirst + 4,
       .objects = {Written("west", kFirst + 1), Written("north", kFirst + 2),
                   Removed("west", kFirst + 3)}});
  BOOST_TEST((change == EvacuationChange{.added = {"west", "north"},
                                         .removed = {"west"},
                                         .has_news = true}));
  BOOST_TEST((entries.List().data_centres == Names{"east", "north"}));
}

// Guards against taking the two events for one state: the entry would stay out
// of force, or its time in force would include the gap.
BOOST_FIXTURE_TEST_CASE(EntryRemovedAndWrittenAgainIsInForce, Fixture) {
  EvacuationChange change = Apply(
      {.revision = kFirst + 2,
       .objects = {Removed("east", kFirst + 1), Written("east", kFirst + 2)}});
  BOOST_TEST((change == EvacuationChange{.added = {"east"},
                                         .removed = {"east"},
                                         .has_news = true}));
  BOOST_TEST((entries.entries().at("east") ==
              EvacuationEntry{kFirst + 2, base::Millis(200)}));
  BOOST_TEST(entries.List().revision == kFirst + 2);
}

// An entry that is marked as being deleted arrives as a change of its object.
BOOST_FIXTURE_TEST_CASE(ChangedEntryStaysInForce, Fixture) {
  EvacuationChange change =
      Apply({.revision = kFirst + 3, .objects = {Written("east", kFirst + 3)}});
  BOOST_TEST((change == EvacuationChange{.has_news = true}));
  BOOST_TEST((entries.entries().at("east") ==
              EvacuationEntry{kFirst + 3, base::Millis(100)}));
}

BOOST_FIXTURE_TEST_CASE(ContentIsNotInterpreted, Fixture) {
  StoredObject odd{EntryName("west"), kFirst + 1, "null"};
  Apply({.revision = kFirst + 1, .objects = {odd}});
  BOOST_TEST((entries.List().data_centres == Names{"east", "west"}));
}

BOOST_FIXTURE_TEST_CASE(AnswerWithoutChangesIsNoNews, Fixture) {
  EvacuationChange change = Apply({.revision = kFirst + 9});
  BOOST_TEST((change == EvacuationChange{}));
  BOOST_TEST(entries.List().revision == kFirst + 9);
}

// Guards against keeping back a list whose names are the same here while
// another process has a list from between the two answers, with other names.
BOOST_FIXTURE_TEST_CASE(ListWithTheSameNamesIsNews, Fixture) {
  EvacuationChange missed_both =
      Apply({.revision = kFirst + 6, .objects = {Removed("west", kFirst + 6)}});
  BOOST_TEST((missed_both == EvacuationChange{.has_news = true}));
  EvacuationChange history_gone =
      Apply({.revision = kFirst + 9,
             .objects = {Written("east", VersionOf(1, 7))},
             .complete = true});
  BOOST_TEST((history_gone == EvacuationChange{.has_news = true}));
}

BOOST_FIXTURE_TEST_CASE(OlderAnswerChangesNothing, Fixture) {
  WatchAnswer older{.revision = kFirst - 1, .complete = true};
  BOOST_TEST(!entries.Apply(older, base::Millis(200)));
  BOOST_TEST(entries.List().revision == kFirst);
  BOOST_TEST((entries.List().data_centres == Names{"east"}));
}

// A restored store has lower revisions, in a later generation.
BOOST_FIXTURE_TEST_CASE(LaterGenerationLosesEntries, Fixture) {
  EvacuationChange change =
      Apply({.revision = VersionOf(2, 5),
             .objects = {Written("west", VersionOf(2, 3))},
             .complete = true});
  BOOST_TEST((change == EvacuationChange{.added = {"west"},
                                         .removed = {"east"},
                                         .lost = {"east"},
                                         .has_news = true}));
  BOOST_TEST((entries.List().data_centres == Names{"west"}));
}

BOOST_FIXTURE_TEST_CASE(ObjectsWithoutAUsableNameAreSkipped, Fixture) {
  std::string longest(kMaxDataCentreBytes, 'x');
  EvacuationChange change = Apply(
      {.revision = kFirst + 4,
       .objects = {Written("", kFirst + 1), Written(longest + "x", kFirst),
                   Written(longest, kFirst + 3)},
       .complete = true,
       .unreadable = 2});
  BOOST_TEST(change.malformed == 4U);
  BOOST_TEST((entries.List().data_centres == Names{longest}));
}

BOOST_FIXTURE_TEST_CASE(ListHasTheFirstNamesOnly, Fixture) {
  WatchAnswer answer{.revision = kFirst + 1, .complete = true};
  for (char name = 'r'; name >= 'a'; --name) {
    answer.objects.push_back(Written(std::string(1, name), kFirst));
  }
  Apply(answer);
  Names names = entries.List().data_centres;
  BOOST_TEST(names.size() == kMaxEvacuations);
  BOOST_TEST(names.front() == "a");
  BOOST_TEST(names.back() == "p");
  BOOST_TEST((entries.OmittedNames() == Names{"q", "r"}));
}

}  // namespace
}  // namespace filberthollow::config
