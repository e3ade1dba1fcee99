// An asynchronous HTTP/1.1 client on a task's event loop.
//
//   HttpClient client(loop);
//   auto id = client.Start(request, [](const HttpResult& result) { ... });
//   client.Cancel(id);  // closes the connection
#ifndef FILBERTHOLLOW_NET_HTTP_CLIENT_H_
#define FILBERTHOLLOW_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "filberthollow/net/http.h"
#include "filberthollow/net/loop.h"

namespace filberthollow::net {

namespace internal {
struct ClientExchange;
}  // namespace internal

// HttpClient is used on the loop's thread and must not be destroyed before
// Loop::Shutdown() while exchanges are in progress.
class HttpClient {
 public:
  using Handler = std::function<void(const HttpResult&)>;
  using ExchangeId = uint64_t;

  explicit HttpClient(Loop& loop);
  ~HttpClient();

  // Start begins an exchange. `done` is called at most once, on the loop's
  // thread and never from within Start(). It is not called once
  // Loop::Shutdown() has begun.
  ExchangeId Start(HttpRequest request, Handler done);
  // Cancel aborts an exchange and closes its connection. The handler gets
  // kNotSent or kFailedAfterSend; before the connection is started it is called
  // from within Cancel().
  void Cancel(ExchangeId id);
  // Returns the number of exchanges in progress.
  size_t active() const { return m_exchanges.size(); }

 private:
  friend struct internal::ClientExchange;

  void Connect(ExchangeId id);
  void Finish(ExchangeId id, const HttpResult& result);

  Loop& m_loop;
  ExchangeId m_last_id = 0;
  std::unordered_map<ExchangeId, std::unique_ptr<internal::ClientExchange>>
      m_exchanges;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_HTTP_CLIENT_H_
