#include "filberthollow/operator/tree_editor.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

namespace filberthollow::operator_tool {
namespace {

using platform::StoredObject;
using platform::WriteAnswer;

// An in-memory store. It can carry out writes but lose their answers, and can
// call a function just before a write to simulate a concurrent operator.
class FakeStore final : public BlockingStore {
 public:
  base::Result<StoredObject> Read(const std::string& name) override {
    auto found = objects.find(name);
    return found == objects.end() ? StoredObject{.name = name} : found->second;
  }
  base::Result<WriteAnswer> Write(const std::string& name,
                                  uint64_t if_version,
                                  const std::string& value) override {
    if (before_write) {
      std::exchange(before_write, nullptr)();
    }
    ++writes;
    StoredObject& object = objects[name];
    if (object.version != if_version) {
      return WriteAnswer{WriteAnswer::kConflict, object.version};
    }
    object = {name, ++revision, value};
    if (lose_answers > 0) {
      --lose_answers;
      return WriteAnswer{};
    }
    return WriteAnswer{WriteAnswer::kWritten, revision};
  }
  base::Result<std::vector<StoredObject>> List(
      const std::string& prefix) override {
    std::vector<StoredObject> found;
    for (const auto& [name, object] : objects) {
      if (name.starts_with(prefix)) {
        found.push_back(object);
      }
    }
    return found;
  }

  std::map<std::string, StoredObject> objects;
  uint64_t revision = 0;
  uint32_t writes = 0;
  uint32_t lose_answers = 0;
  std::function<void()> before_write;
};

struct TreeEditorFixture {
  FakeStore store;
  TreeEditor ada{store, "ada", 1};
  TreeEditor bob{store, "bob", 2};

  TreeEditorFixture() {
    settings::Tree tree;
    tree.services["desk"] = {};
    BOOST_TEST(bool(ada.Commit({}, {}, {"desk"})));
  }
  settings::Tree Load() { return ada.Load()->tree; }
  static settings::Edit Slots(uint32_t value) {
    return {{"desk", "", ""}, "slots", value};
  }
  static settings::Edit Weight(uint32_t value) {
    return {{"desk", "", ""}, "weight", value};
  }
};

BOOST_FIXTURE_TEST_CASE(ConcurrentEditsOfDifferentFieldsAreMerged,
                        TreeEditorFixture) {
  settings::Tree base = Load();
  store.before_write = [&] {
    BOOST_TEST(bool(bob.Commit(base, {Weight(7)}, {})));
  };
  auto report = ada.Commit(base, {Slots(9)}, {});
  BOOST_REQUIRE(bool(report));
  BOOST_TEST(report->races == 1u);
  auto resolved = settings::Resolve(Load(), {"desk", "", ""}).settings;
  BOOST_TEST(resolved.slots == 9u);
  BOOST_TEST(resolved.weight == 7u);
}

BOOST_FIXTURE_TEST_CASE(ConflictErrorNamesTheChangeAndItsAuthor,
                        TreeEditorFixture) {
  settings::Tree base = Load();
  store.before_write = [&] {
    BOOST_TEST(bool(bob.Commit(base, {Slots(7)}, {})));
  };
  auto report = ada.Commit(base, {Slots(9)}, {});
  BOOST_REQUIRE(!report);
  BOOST_TEST((report.error().code == std::errc::operation_canceled));
  BOOST_TEST(report.error().detail == "slots was changed to 7 by bob");
  BOOST_TEST(settings::Resolve(Load(), {"desk", "", ""}).settings.slots == 7u);
}

BOOST_FIXTURE_TEST_CASE(WriteWithLostAnswerIsNotRepeated, TreeEditorFixture) {
  settings::Tree base = Load();
  store.lose_answers = 1;
  uint32_t before = store.writes;
  auto report = ada.Commit(base, {Slots(9)}, {});
  BOOST_REQUIRE(bool(report));
  BOOST_TEST(report->lost_answers == 1u);
  BOOST_TEST(store.writes == before + 1);
}

BOOST_FIXTURE_TEST_CASE(WriteWithLostAnswerIsFoundAfterLaterEdit,
                        TreeEditorFixture) {
  settings::Tree base = Load();
  store.lose_answers = 1;
  // Carol's write takes effect, but its answer is lost. Before she reads the
  // object again, bob overwrites the field. Her operation ID must still be
  // found, and bob's value must not be overwritten.
  struct EditingStore final : BlockingStore {
    explicit EditingStore(TreeEditorFixture& f) : fixture(f) {}
    base::Result<StoredObject> Read(const std::string& name) override {
      if (++reads == 2) {
        settings::Tree seen = fixture.Load();
        BOOST_TEST(bool(fixture.bob.Commit(seen, {Slots(3)}, {})));
      }
      return fixture.store.Read(name);
    }
    base::Result<WriteAnswer> Write(const std::string& name,
                                    uint64_t if_version,
                                    const std::string& value) override {
      return fixture.store.Write(name, if_version, value);
    }
    base::Result<std::vector<StoredObject>> List(
        const std::string& prefix) override {
      return fixture.store.List(prefix);
    }
    TreeEditorFixture& fixture;
    int reads = 0;
  };
  EditingStore editing_store(*this);
  TreeEditor carol(editing_store, "carol", 3);
  auto report = carol.Commit(base, {Slots(9)}, {});
  BOOST_REQUIRE(bool(report));
  BOOST_TEST(report->lost_answers == 1u);
  BOOST_TEST(settings::Resolve(Load(), {"desk", "", ""}).settings.slots == 3u);
}

BOOST_FIXTURE_TEST_CASE(InvalidEditWritesNothing, TreeEditorFixture) {
  uint32_t before = store.writes;
  BOOST_TEST(!ada.Commit(Load(), {{{"nobody", "", ""}, "weight", 1}}, {}));
  BOOST_TEST(store.writes == before);
}

}  // namespace
}  // namespace filberthollow::operator_tool
