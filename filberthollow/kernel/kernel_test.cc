#include "filberthollow/kernel/kernel.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace filberthollow::kernel {
namespace {

struct Greeting {
  std::string text;
  friend bool operator==(const Greeting&, const Greeting&) = default;
};

BOOST_AUTO_TEST_CASE(RegistryFindsInboxByNameAndMessageType) {
  Registry registry;
  int wakes = 0;
  auto inbox = std::make_shared<Inbox<Greeting>>(2, [&wakes] { ++wakes; });
  BOOST_TEST(registry.Register("greeter", inbox));
  BOOST_TEST(!registry.Register("greeter", inbox));
  BOOST_TEST((registry.Find<Greeting>("nobody") == nullptr));
  BOOST_TEST((registry.Find<int>("greeter") == nullptr));
  auto found = registry.Find<Greeting>("greeter");
  BOOST_TEST(found->Post({"one"}));
  BOOST_TEST(found->Post({"two"}));
  BOOST_TEST(!found->Post({"three is over the capacity"}));
  BOOST_TEST(wakes == 1);
  auto messages = inbox->Drain();
  BOOST_TEST(messages.size() == 2u);
  BOOST_TEST(messages[0].text == "one");
  BOOST_TEST(inbox->Drain().empty());
}

}  // namespace
}  // namespace filberthollow::kernel
