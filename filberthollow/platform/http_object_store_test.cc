#include "filberthollow/platform/http_object_store.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/net/http_server.h"

namespace filberthollow::platform {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr const char* kEvacuations = "/filberthollow/objects/evacuations";

// Objects whose name can't be read, as JSON texts.
const std::vector<std::string> kUnreadable{
    "null",
    "7",
    R"("text")",
    "[]",
    "{}",
    R"({"meta":null,"spec":{}})",
    R"({"meta":"x","spec":{}})",
    R"({"meta":{},"spec":{}})",
    R"({"meta":{"revision":3},"spec":{}})",
    R"({"meta":{"name":null,"revision":3},"spec":{}})",
    R"({"meta":{"name":7,"revision":3},"spec":{}})",
    R"({"meta":{"name":"","revision":3},"spec":{}})"};

std::string Object(const std::string& name, uint64_t revision) {
  return fmt::format(R"({{"meta":{{"name":"{}","revision":{}}},"spec":{{}}}})",
                     name, revision);
}

std::string Page(const std::string& items, bool has_more = false) {
  return fmt::format(R"({{"items":[{}],"hasMore":{},"at":9}})", items,
                     has_more);
}

StoredObject Stored(const std::string& name,
                    uint64_t revision,
                    const std::string& value = "{}") {
  return {kEvacuationPrefix + name, VersionOf(1, revision), value};
}

// Fake platform that answers each call with the body set for its path and
// query, and 404 for others.
struct Fixture {
  base::SystemClock clock;
  net::Loop loop{clock};
  std::map<std::string, std::string> bodies;
  net::HttpServer server{
      loop, [this](const auto& request, auto responder) {
        auto body = bodies.find(request.path + "?" + request.query);
        bool found = body != bodies.end();
        net::HttpResponse response{
            .status = found ? net::kHttpOk : net::kHttpNotFound,
            .body = found ? body->second : "{}"};
        response.headers.push_back({"store-era:", "1"});
        responder->Respond(std::move(response));
      }};
  base::Address address = *server.Listen({kLoopback, 0});
  net::HttpClient client{loop};
  HttpObjectStore store{client, address};

  base::Result<WatchAnswer> Watch(uint64_t after_revision) {
    std::optional<base::Result<WatchAnswer>> result;
    store.Watch({kEvacuationPrefix, after_revision, base::Millis(0)},
                [&](const auto& answer) { result = answer; });
    loop.RunUntil([&] { return result.has_value(); });
    return *result;
  }
  base::Result<WatchAnswer> List(const std::string& body) {
    bodies = {{std::string(kEvacuations) + "?", body}};
    return Watch(0);
  }
  base::Result<WatchAnswer> Changes(const std::string& events) {
    bodies = {{std::string(kEvacuations) + "?watch=5&waitMs=0",
               fmt::format(R"({{"events":[{}],"at":9}})", events)}};
    return Watch(VersionOf(1, 5));
  }
};

// Guards against one object that turns the whole list into an error, so that
// none of the others would take effect.
BOOST_FIXTURE_TEST_CASE(UnreadableObjectInAListIsSkipped, Fixture) {
  for (const std::string& unreadable : kUnreadable) {
    auto answer =
        List(Page(Object("a", 3) + "," + unreadable + "," + Object("b", 4)));
    BOOST_REQUIRE_MESSAGE(static_cast<bool>(answer), unreadable);
    BOOST_TEST(
        (*answer == WatchAnswer{.revision = VersionOf(1, 9),
                                .objects = {Stored("a", 3), Stored("b", 4)},
                                .complete = true,
                                .unreadable = 1}));
  }
}

BOOST_FIXTURE_TEST_CASE(UnreadableEventIsSkipped, Fixture) {
  std::vector<std::string> events{
      "null", "7", "{}", R"({"removed":true})",
      R"({"removed":"no","object":)" + Object("c", 8) + "}"};
  for (const std::string& object : kUnreadable) {
    events.push_back(R"({"removed":false,"object":)" + object + "}");
    events.push_back(R"({"removed":true,"object":)" + object + "}");
  }
  for (const std::string& unreadable : events) {
    auto answer =
        Changes(R"({"object":)" + Object("a", 6) + "}," + unreadable +
                R"(,{"removed":true,"object":)" + Object("b", 4) + "}");
    BOOST_REQUIRE_MESSAGE(static_cast<bool>(answer), unreadable);
    StoredObject removed = Stored("b", 9);
    removed.value.reset();
    BOOST_TEST((*answer == WatchAnswer{.revision = VersionOf(1, 9),
                                       .objects = {Stored("a", 6), removed},
                                       .unreadable = 1}));
  }
}

// Guards against an evacuation that does not take effect because another part
// of its object than the name is odd.
BOOST_FIXTURE_TEST_CASE(ObjectWithANameIsReadable, Fixture) {
  auto answer = List(Page(R"({"meta":{"name":"a","revision":3}},
              {"meta":{"name":"b"},"spec":7},
              {"meta":{"name":"c","revision":"3"},"spec":{}},
              {"meta":{"name":"d","revision":18446744073709551615},"spec":{}},
              {"meta":{"name":"e","revision":-1},"spec":{}},
              {"meta":{"name":"f","revision":4,"deleting":true},"spec":{}})"));
  BOOST_REQUIRE(static_cast<bool>(answer));
  BOOST_TEST(answer->unreadable == 0U);
  BOOST_TEST((answer->objects ==
              std::vector<StoredObject>{
                  Stored("a", 3, "null"), Stored("b", 9, "7"), Stored("c", 9),
                  Stored("d", 9), Stored("e", 9), Stored("f", 4)}));
  answer = Changes(R"({"removed":true,"object":{"meta":{"name":"a"}}})");
  BOOST_REQUIRE(static_cast<bool>(answer));
  BOOST_REQUIRE(answer->objects.size() == 1U);
  BOOST_TEST(!answer->objects[0].value.has_value());
}

// Guards against a list that ends early, or starts again, because the last
// object of a page has no name after which the next page could begin.
BOOST_FIXTURE_TEST_CASE(ListContinuesAfterAnUnreadableObject, Fixture) {
  for (const std::string& unreadable : kUnreadable) {
    std::string first = std::string(kEvacuations) + "?";
    bodies = {
        {first, Page(Object("a", 3) + "," + unreadable, true)},
        {first + "after=a", Page(unreadable + "," + Object("b", 4), true)},
        {first + "after=b", Page(Object("c", 5) + "," + unreadable)}};
    auto answer = Watch(0);
    BOOST_REQUIRE_MESSAGE(static_cast<bool>(answer), unreadable);
    BOOST_TEST((answer->objects == std::vector<StoredObject>{Stored("a", 3),
                                                             Stored("b", 4),
                                                             Stored("c", 5)}));
    BOOST_TEST(answer->complete);
  }
}

// Guards against a partial list that passes for a complete one.
BOOST_FIXTURE_TEST_CASE(ListThatCannotContinueIsAnError, Fixture) {
  std::string first = std::string(kEvacuations) + "?";
  bodies = {{first, Page(Object("a", 3), true)},
            {first + "after=a", Page("{}", true)}};
  BOOST_TEST(!Watch(0));
  bodies[first + "after=a"] = Page(Object("a", 3), true);
  BOOST_TEST(!Watch(0));
}

BOOST_FIXTURE_TEST_CASE(BodyOfAnotherStructureIsAnError, Fixture) {
  for (const char* body : {"", "[]", "{}", R"({"items":[]})", R"({"at":9})",
                           R"({"items":[],"at":"9"})"}) {
    BOOST_TEST(!List(body));
  }
}

}  // namespace
}  // namespace filberthollow::platform
