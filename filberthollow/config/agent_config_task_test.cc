#include "filberthollow/config/agent_config_task.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace filberthollow::config {
namespace {

using platform::StoredObject;
using platform::VersionOf;

constexpr uint64_t kSeed = 7;
// An epoch that no answer contains, so that the agent reads the keys again.
constexpr uint32_t kUnknownEpoch = 99;

// Fake store that gives one answer after the other to reads of the keys. The
// fleet announces a newer key after each answer. Calls `on_end` after the last.
class ScriptedStore final : public platform::ObjectStore {
 public:
  ScriptedStore(std::vector<StoredObject> answers,
                kernel::Registry& registry,
                std::function<void()> on_end)
      : m_answers(std::move(answers)),
        m_registry(registry),
        m_on_end(std::move(on_end)) {}

  void Read(const std::string& /*name*/, Handler<StoredObject> done) override {
    done(m_answers.at(m_next++));
    if (m_next == m_answers.size()) {
      m_on_end();
      return;
    }
    m_registry.Post(kConfigService, ConfigMessage(NewerKeys{kUnknownEpoch}));
  }
  void Write(const std::string& /*name*/,
             uint64_t /*if_version*/,
             const std::string& /*value*/,
             Handler<platform::WriteAnswer> /*done*/) override {}
  void Delete(const std::string& /*name*/,
              uint64_t /*if_version*/,
              Handler<platform::WriteAnswer> /*done*/) override {}
  void Watch(const platform::WatchQuery& /*query*/,
             Handler<platform::WatchAnswer> /*done*/) override {}

 private:
  const std::vector<StoredObject> m_answers;
  size_t m_next = 0;
  kernel::Registry& m_registry;
  const std::function<void()> m_on_end;
};

StoredObject KeysUpTo(uint64_t version, uint32_t newest_epoch) {
  std::vector<flow::Key> keys;
  for (uint32_t epoch = 1; epoch <= newest_epoch; ++epoch) {
    keys.push_back({.epoch = epoch});
  }
  return {platform::kKeysObject, version, KeysText(keys)};
}

// Returns the newest epoch of each ring that the task publishes.
std::vector<uint32_t> PublishedEpochs(std::vector<StoredObject> answers) {
  std::vector<uint32_t> epochs;
  base::SystemClock clock;
  kernel::Registry registry;
  AgentConfigTask* running = nullptr;
  AgentConfigTask task(
      clock, registry,
      [&](net::HttpClient& /*client*/) {
        return std::make_unique<ScriptedStore>(std::move(answers), registry,
                                               [&] { running->Stop(); });
      },
      {.on_keys =
           [&epochs](const flow::KeyRing& keys) {
             epochs.push_back(keys.newest_epoch());
           }},
      kSeed);
  running = &task;
  task.Run();
  return epochs;
}

// Guards against a store that came back from a copy: an agent that read the
// keys again lost the newest one.
BOOST_AUTO_TEST_CASE(OlderKeysOfARestoredStoreAreNotTaken) {
  std::vector<uint32_t> epochs = PublishedEpochs(
      {KeysUpTo(VersionOf(1, 18), 2), KeysUpTo(VersionOf(2, 15), 1),
       KeysUpTo(VersionOf(2, 17), 3)});
  BOOST_TEST(epochs == (std::vector<uint32_t>{2, 3}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(LaterKeysOfTheSameGenerationAreTaken) {
  std::vector<uint32_t> epochs = PublishedEpochs(
      {KeysUpTo(VersionOf(1, 18), 2), KeysUpTo(VersionOf(1, 19), 3)});
  BOOST_TEST(epochs == (std::vector<uint32_t>{2, 3}),
             boost::test_tools::per_element());
}

}  // namespace
}  // namespace filberthollow::config
