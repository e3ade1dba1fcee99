#include "filberthollow/settings/tree.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "filberthollow/settings/tree_json.h"

namespace filberthollow::settings {
namespace {

constexpr std::string_view kTree = R"({
  "comment": "permit office",
  "settings": {"slots": 5, "placement": "balanced"},
  "services": {
    "permit-desk": {
      "settings": {"connections": 2000},
      "data_centres": {
        "taean-a": {"settings": {"slots": 6},
                    "targets": {"desk-1": {"settings": {"slots": 7}}}}}}}})";

BOOST_AUTO_TEST_CASE(ATargetInheritsWhatItDoesNotOverride) {
  Tree tree = *ParseTree(kTree, "tree");
  Resolved target = Resolve(tree, {"permit-desk", "taean-a", "desk-1"});
  BOOST_TEST(target.settings.slots == 7u);
  BOOST_TEST(target.SourceOf("slots") == "/permit-desk/taean-a/desk-1");
  BOOST_TEST(target.settings.placement == 1u);
  BOOST_TEST(target.SourceOf("placement") == "/");
  BOOST_TEST(target.SourceOf("weight") == "default");
  Resolved unknown = Resolve(tree, {"permit-desk", "taean-a", "desk-9"});
  BOOST_TEST(unknown.settings.slots == 6u);
}

struct InvalidTreeCase {
  std::string_view text;
  std::string_view peer;
  std::string_view detail;
};

BOOST_AUTO_TEST_CASE(AnInvalidTreeIsRejectedWithPathFoundAndExpected) {
  const InvalidTreeCase cases[] = {
      {R"({"settings": {"slots": 0}})", "t.settings.slots",
       "found 0, expected 1 to 4096"},
      {R"({"settings": {"slots": "4"}})", "t.settings.slots",
       "found \"4\", expected 1 to 4096"},
      {R"({"settings": {"slotz": 4}})", "t.settings.slotz",
       "found an unknown field, expected one of the documented fields"},
      {R"({"services": {"a": {"data_centres": {"b": {"weigth": 1}}}}})",
       "t.services.a.data_centres.b.weigth",
       "found an unknown field, expected one of the documented fields"},
      {R"({"settings": {"placement": "best"}})", "t.settings.placement",
       "found \"best\", expected \"stable\" or \"balanced\""},
      {R"([])", "t", "found [], expected an object"},
  };
  for (const InvalidTreeCase& bad : cases) {
    auto tree = ParseTree(bad.text, "t");
    BOOST_REQUIRE(!tree);
    BOOST_TEST(tree.error().peer == bad.peer);
    BOOST_TEST(tree.error().detail == bad.detail);
  }
  BOOST_TEST(!ParseTree(std::string(100, '['), "t"));
  BOOST_TEST(!ParseTree(R"({"services": {"A/b": {}}})", "t"));
}

BOOST_AUTO_TEST_CASE(TreeJsonRoundTrips) {
  Tree tree = *ParseTree(kTree, "tree");
  BOOST_TEST((*ParseTree(TreeJson(tree).dump(), "again") == tree));
}

RC_BOOST_PROP(AnEditAppearsInTheDiffAndCanBeReverted, (uint16_t number)) {
  Tree tree = *ParseTree(kTree, "tree");
  uint32_t value = number % 4096 + 1;
  NodePath path{"permit-desk", "taean-a", "desk-1"};
  Tree changed = *ApplyEdit(tree, {path, "slots", value});
  RC_ASSERT(Resolve(changed, path).settings.slots == value);
  RC_ASSERT(Diff(tree, changed).size() == (value == 7 ? 0u : 1u));
  RC_ASSERT(*ApplyEdit(changed, {path, "slots", 7}) == tree);
}

BOOST_AUTO_TEST_CASE(AnEditOfAnUnknownServiceOrFieldChangesNothing) {
  Tree tree = *ParseTree(kTree, "tree");
  BOOST_TEST(!ApplyEdit(tree, {{"nobody", "", ""}, "slots", 1}));
  BOOST_TEST(!ApplyEdit(tree, {{}, "slotz", 1}));
  BOOST_TEST(!NodePath::Parse("a/b"));
  BOOST_TEST(!NodePath::Parse("/a/b/c/d"));
  BOOST_TEST(NodePath::Parse("/a/b")->Text() == "/a/b");
}

}  // namespace
}  // namespace filberthollow::settings
