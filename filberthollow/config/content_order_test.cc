#include "filberthollow/config/content_order.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "filberthollow/config/config.h"

namespace filberthollow::config {

// Lets the test framework print the enumeration.
std::ostream& operator<<(std::ostream& out, ContentOrder order) {
  return out << static_cast<int>(order);
}

namespace {

using platform::StoredObject;
using platform::VersionOf;

constexpr const char* kDesk = "config/tree/service/desk";

std::string TreeText(const std::vector<std::string>& operations,
                     const std::string& author = "ada") {
  return nlohmann::json{{"author", author},
                        {"operations", operations},
                        {"node", nlohmann::json::object()}}
      .dump();
}

flow::Key MakeKey(uint32_t epoch, uint8_t secret = 0xab) {
  flow::Key key{.epoch = epoch};
  key.secret.fill(secret);
  return key;
}

std::string KeysOf(const std::vector<uint32_t>& epochs) {
  std::vector<flow::Key> keys;
  for (uint32_t epoch : epochs) {
    keys.push_back(MakeKey(epoch));
  }
  return KeysText(keys);
}

// Checks the order in both directions.
void CheckOlder(const char* name,
                const std::string& older,
                const std::string& newer) {
  BOOST_TEST(CompareContent(name, older, newer) == ContentOrder::kOlder);
  BOOST_TEST(CompareContent(name, newer, older) == ContentOrder::kNewer);
}

void CheckUnrelated(const char* name,
                    const std::string& one,
                    const std::string& other) {
  BOOST_TEST(CompareContent(name, one, other) == ContentOrder::kUnrelated);
  BOOST_TEST(CompareContent(name, other, one) == ContentOrder::kUnrelated);
}

BOOST_AUTO_TEST_CASE(TreeObjectsAreOrderedByTheirOperations) {
  for (const char* name : {platform::kRootObject, kDesk}) {
    CheckOlder(name, TreeText({"1"}), TreeText({"1", "2"}));
    CheckOlder(name, TreeText({"1", "2"}), TreeText({"2", "3", "4"}));
    BOOST_TEST(CompareContent(name, TreeText({"1", "2"}, "ada"),
                              TreeText({"2"}, "bob")) == ContentOrder::kSame);
  }
}

BOOST_AUTO_TEST_CASE(TreeObjectsWithoutACommonOperationAreUnrelated) {
  CheckUnrelated(kDesk, TreeText({"1", "2"}), TreeText({"1", "3"}));
  CheckUnrelated(kDesk, TreeText({"1"}), TreeText({"2"}));
  CheckUnrelated(kDesk, TreeText({}), TreeText({"1"}));
  CheckUnrelated(kDesk, TreeText({}, "ada"), TreeText({}, "bob"));
  BOOST_TEST(CompareContent(kDesk, TreeText({}), TreeText({})) ==
             ContentOrder::kSame);
}

BOOST_AUTO_TEST_CASE(UnreadableTreeObjectsAreUnrelated) {
  for (const char* text :
       {"", "{", "[]", R"({"operations": 1})", R"({"operations": ["1", 2]})"}) {
    CheckUnrelated(kDesk, text, TreeText({"1", "2"}));
  }
}

BOOST_AUTO_TEST_CASE(KeysAreOrderedByTheirNewestEpoch) {
  CheckOlder(platform::kKeysObject, KeysOf({1, 2}), KeysOf({1, 2, 3}));
  CheckOlder(platform::kKeysObject, KeysOf({1, 2, 3}), KeysOf({4}));
  BOOST_TEST(CompareContent(platform::kKeysObject, KeysOf({1, 2}),
                            KeysOf({2, 1})) == ContentOrder::kSame);
}

BOOST_AUTO_TEST_CASE(KeysWithoutTheWithdrawnOneAreNewer) {
  CheckOlder(platform::kKeysObject, KeysOf({1, 2, 3}), KeysOf({2, 3}));
}

// Guards against keys of two rotations on top of the same copy that were taken
// for a withdrawal.
BOOST_AUTO_TEST_CASE(DifferentKeysOfTheSameEpochAreUnrelated) {
  CheckUnrelated(platform::kKeysObject, KeysText({MakeKey(1), MakeKey(2, 1)}),
                 KeysText({MakeKey(2, 2)}));
}

BOOST_AUTO_TEST_CASE(UnreadableKeysAreUnrelated) {
  for (const char* text : {"", "{}", R"({"keys": []})", R"({"keys": [1]})"}) {
    CheckUnrelated(platform::kKeysObject, text, KeysOf({1}));
  }
}

BOOST_AUTO_TEST_CASE(OtherObjectsAreTheSameOnlyIfTheyAreEqual) {
  BOOST_TEST(CompareContent(platform::kSnapshotObject, "{}", "{}") ==
             ContentOrder::kSame);
  CheckUnrelated(platform::kSnapshotObject, TreeText({"1"}),
                 TreeText({"1", "2"}));
}

BOOST_AUTO_TEST_CASE(VersionsOfOneGenerationGoBeforeContents) {
  StoredObject held{kDesk, VersionOf(1, 8), TreeText({"1", "2"})};
  StoredObject later{kDesk, VersionOf(1, 9), TreeText({"1"})};
  BOOST_TEST(CompareObjects(later, held) == ContentOrder::kNewer);
  BOOST_TEST(CompareObjects(held, later) == ContentOrder::kOlder);
  BOOST_TEST(CompareObjects(held, held) == ContentOrder::kSame);
}

BOOST_AUTO_TEST_CASE(ContentsGoBeforeGenerations) {
  StoredObject held{kDesk, VersionOf(1, 8), TreeText({"1", "2"})};
  StoredObject copied{kDesk, VersionOf(2, 5), TreeText({"1"})};
  StoredObject written_back{kDesk, VersionOf(2, 6), TreeText({"1", "2"})};
  StoredObject unrelated{kDesk, VersionOf(2, 6), TreeText({"1", "3"})};
  BOOST_TEST(CompareObjects(copied, held) == ContentOrder::kOlder);
  BOOST_TEST(CompareObjects(held, copied) == ContentOrder::kNewer);
  BOOST_TEST(CompareObjects(written_back, held) == ContentOrder::kSame);
  BOOST_TEST(CompareObjects(unrelated, held) == ContentOrder::kNewer);
  BOOST_TEST(CompareObjects(held, unrelated) == ContentOrder::kOlder);
}

BOOST_AUTO_TEST_CASE(ADeletionIsNewerThanWhatACopyBringsBack) {
  StoredObject held{kDesk, VersionOf(1, 8), std::nullopt};
  StoredObject copied{kDesk, VersionOf(2, 5), TreeText({"1"})};
  StoredObject created_later{kDesk, VersionOf(2, 9), TreeText({"9"})};
  StoredObject deleted{kDesk, VersionOf(2, 6), std::nullopt};
  BOOST_TEST(CompareObjects(copied, held) == ContentOrder::kOlder);
  BOOST_TEST(CompareObjects(created_later, held) == ContentOrder::kNewer);
  BOOST_TEST(CompareObjects(deleted, held) == ContentOrder::kSame);
  BOOST_TEST(CompareObjects(deleted, copied) == ContentOrder::kNewer);
}

}  // namespace
}  // namespace filberthollow::config
