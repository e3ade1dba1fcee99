// An HTTP/1.1 server on a task's event loop.
//
// Each request is passed to the handler with a Responder, which may respond at
// once or later. If the client closes the connection first, the responder's
// on-closed callback is called.
//
//   HttpServer server(loop, [](const HttpServerRequest& request,
//                              std::shared_ptr<Responder> responder) {
//     responder->Respond({.body = "{}"});
//   });
//   auto address = server.Listen({loopback, 0});
#ifndef FILBERTHOLLOW_NET_HTTP_SERVER_H_
#define FILBERTHOLLOW_NET_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/error.h"
#include "filberthollow/net/http.h"
#include "filberthollow/net/loop.h"

struct lws;
struct lws_vhost;

namespace filberthollow::net {

// HttpServerRequest is a completely received request.
struct HttpServerRequest {
  std::string method;
  std::string path;   // without the query
  std::string query;  // "a=1&b=2", not percent-decoded
  std::string body;
  std::string request_id;  // kRequestIdHeader
  std::string deadline;    // kDeadlineHeader
  friend bool operator==(const HttpServerRequest&,
                         const HttpServerRequest&) = default;

  // Returns the value of a query parameter, or "" if it is absent.
  std::string Parameter(std::string_view name) const;
};

// Responder sends the response to one request; used on the loop's thread.
class Responder {
 public:
  // Respond sends the response. Further calls have no effect, nor does a call
  // after the connection was closed.
  void Respond(HttpResponse response);
  // SetOnClosed sets a callback for the connection being closed before
  // Respond().
  void SetOnClosed(std::function<void()> on_closed);
  // Abort closes the connection without a response.
  void Abort();

 private:
  friend class HttpServer;
  lws* m_wsi = nullptr;
  bool m_responded = false;
  HttpResponse m_response;
  size_t m_written = 0;
  std::function<void()> m_on_closed;
};

// HttpServer is used on the loop's thread and must not be destroyed before
// Loop::Shutdown() while it can receive requests.
class HttpServer {
 public:
  static constexpr size_t kMaxBodyBytes = size_t{2} << 20;
  // kCloseCheckInterval is how often a connection with a pending response is
  // checked for closure by the client.
  static constexpr base::Millis kCloseCheckInterval{20};

  using Handler =
      std::function<void(const HttpServerRequest&, std::shared_ptr<Responder>)>;

  HttpServer(Loop& loop, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listen starts listening; with port 0 the operating system assigns a port.
  // Returns the bound address.
  base::Result<base::Address> Listen(base::Address address);

 private:
  struct Connection;  // state of one connection
  struct Callbacks;   // libwebsockets' callbacks

  void AcceptPending(int listener);
  void WatchForClose(const std::shared_ptr<Responder>& responder);
  void CheckForClose();

  Loop& m_loop;
  Handler m_handler;
  std::vector<std::weak_ptr<Responder>> m_pending;  // not yet responded
  lws_vhost* m_vhost = nullptr;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_HTTP_SERVER_H_
