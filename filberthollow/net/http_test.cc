#include <boost/test/unit_test.hpp>

#include <thread>

#include "filberthollow/net/http_client.h"
#include "filberthollow/net/http_server.h"

namespace filberthollow::net {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr size_t kLargeBytes = 3'000'000;

// A server that echoes requests, sends a large or late response, or never
// responds, depending on the path.
struct EchoServer {
  base::SystemClock clock;
  Loop loop{clock};
  HttpServer server{loop, [this](const auto& request, auto responder) {
                      Handle(request, std::move(responder));
                    }};
  std::vector<std::shared_ptr<Responder>> unanswered;
  int closed = 0;

  void Handle(const HttpServerRequest& request,
              std::shared_ptr<Responder> responder) {
    if (request.path == "/large") {
      responder->Respond({.body = std::string(kLargeBytes, 'x')});
    } else if (request.path == "/late") {
      loop.After(base::Millis(6000),
                 [responder] { responder->Respond({.body = "late"}); });
    } else if (request.path == "/silent") {
      responder->SetOnClosed([this] {
        ++closed;
        loop.Quit();
      });
      unanswered.push_back(std::move(responder));
    } else {
      responder->Respond({.status = 201,
                          .body = request.method + " " + request.path + " " +
                                  request.Parameter("b") + " " +
                                  request.request_id + " " + request.body});
    }
  }
};

struct Fixture : EchoServer {
  base::Address address = *server.Listen({kLoopback, 0});
  HttpClient client{loop};

  HttpResult Call(HttpRequest request) {
    HttpResult result;
    bool done = false;
    request.server = address;
    client.Start(std::move(request), [&](const HttpResult& r) {
      result = r;
      done = true;
    });
    loop.RunUntil([&done] { return done; });
    return result;
  }
};

BOOST_FIXTURE_TEST_CASE(SendsMethodPathQueryHeaderAndBody, Fixture) {
  HttpResult result = Call({.method = "POST",
                            .path = "/p/q?a=1&b=2",
                            .headers = {{"x-request-id:", "r7"}},
                            .body = "hello"});
  BOOST_TEST(result.kind == HttpResult::kAnswered);
  BOOST_TEST(result.status == 201);
  BOOST_TEST(result.body == "POST /p/q 2 r7 hello");
}

// Guards against taking the body of a DELETE request for the next request.
BOOST_FIXTURE_TEST_CASE(ReadsTheBodyOfADeleteRequest, Fixture) {
  HttpResult result = Call({.method = "DELETE", .path = "/p", .body = "hello"});
  BOOST_TEST(result.kind == HttpResult::kAnswered);
  BOOST_TEST(result.body == "DELETE /p   hello");
}

BOOST_FIXTURE_TEST_CASE(ReadsALargeResponse, Fixture) {
  HttpResult result = Call({.path = "/large", .max_response_bytes = 4 << 20});
  BOOST_TEST(result.kind == HttpResult::kAnswered);
  BOOST_TEST(result.body.size() == kLargeBytes);
}

// Guards against the default timeout of libwebsockets, 5 s, ending an exchange
// before its own timeout.
BOOST_FIXTURE_TEST_CASE(SlowResponseIsAwaitedUntilTheRequestTimeout, Fixture) {
  HttpResult result = Call({.path = "/late", .timeout = base::Millis(30'000)});
  BOOST_TEST(result.kind == HttpResult::kAnswered);
  BOOST_TEST(result.body == "late");
}

BOOST_FIXTURE_TEST_CASE(RejectsAResponseOverTheLimit, Fixture) {
  HttpResult result = Call({.path = "/large", .max_response_bytes = 1000});
  BOOST_TEST(result.kind == HttpResult::kTooLarge);
}

BOOST_FIXTURE_TEST_CASE(TimeoutClosesTheConnection, Fixture) {
  HttpResult result;
  client.Start(
      {.server = address, .path = "/silent", .timeout = base::Millis(50)},
      [&](const HttpResult& r) { result = r; });
  loop.After(base::Millis(5000), [&] { loop.Quit(); });
  loop.Run();  // ends when the server sees the connection close
  BOOST_TEST(result.kind == HttpResult::kFailedAfterSend);
  BOOST_TEST(closed == 1);
}

BOOST_FIXTURE_TEST_CASE(ServersOnOneLoopServeTheirOwnConnections, Fixture) {
  HttpServer other(loop, [](const auto& /*request*/, auto responder) {
    responder->Respond({.body = "other"});
  });
  base::Address own = address;
  address = *other.Listen({kLoopback, 0});
  BOOST_TEST(Call({.path = "/x"}).body == "other");
  address = own;
  BOOST_TEST(Call({.path = "/x"}).body == "GET /x   ");
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsReportedAsNotSent) {
  base::SystemClock clock;
  Loop loop(clock);
  HttpClient client(loop);
  HttpResult result{.kind = HttpResult::kFailedAfterSend};
  client.Start({.server = {kLoopback, 1}}, [&](const HttpResult& r) {
    result = r;
    loop.Quit();
  });
  loop.Run();
  BOOST_TEST(result.kind == HttpResult::kNotSent);
}

}  // namespace
}  // namespace filberthollow::net
