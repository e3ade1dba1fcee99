// The object store over the platform's HTTP API:
//
//   GET    /filberthollow/objects/KIND?after=N             one page of a kind
//   GET    /filberthollow/objects/KIND?watch=R&waitMs=W    what changed since R
//   GET    /filberthollow/objects/KIND/NAME
//   POST   /filberthollow/objects/KIND                     creates
//   PUT    /filberthollow/objects/KIND/NAME                replaces
//
// A product name "config/tree/root" is the platform's object "tree~root" of the
// kind that stands for "config" in a table.
//
//   HttpObjectStore store(client, address);
#ifndef FILBERTHOLLOW_PLATFORM_HTTP_OBJECT_STORE_H_
#define FILBERTHOLLOW_PLATFORM_HTTP_OBJECT_STORE_H_

#include <memory>
#include <string>
#include <string_view>

#include "filberthollow/net/http_client.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::platform {

// kObjectsPath is the path below which the API's objects are.
inline constexpr std::string_view kObjectsPath = "/filberthollow/objects/";

// kOperatorPrefix names the objects that the platform's operator writes.
inline constexpr const char* kOperatorPrefix = "operator/";
inline constexpr const char* kOperatorConfig = "operator/main";

// HttpObjectStore belongs to the task that owns the client.
class HttpObjectStore final : public ObjectStore {
 public:
  // kCallTimeout bounds a call, besides the time that a watch may wait; a slow
  // platform answers in a few hundred milliseconds.
  static constexpr base::Millis kCallTimeout{3000};
  // kMaxAnswerBytes bounds an answer: one page, which is 1 MB at most, escaped.
  static constexpr size_t kMaxAnswerBytes = size_t{8} << 20;

  HttpObjectStore(net::HttpClient& client, base::Address server)
      : m_client(client), m_server(server) {}

  void Read(const std::string& name, Handler<StoredObject> done) override;
  void Write(const std::string& name,
             uint64_t if_version,
             const std::string& value,
             Handler<WriteAnswer> done) override;
  void Delete(const std::string& name,
              uint64_t if_version,
              Handler<WriteAnswer> done) override;
  void Watch(const WatchQuery& query, Handler<WatchAnswer> done) override;

 private:
  // A list that is read page by page.
  struct Listing {
    std::string prefix;
    WatchAnswer answer;
    Handler<WatchAnswer> done;
  };

  void ListPage(const std::shared_ptr<Listing>& listing,
                const std::string& after_name);
  void OnWriteResponse(const net::HttpResult& result,
                       const std::string& name,
                       const Handler<WriteAnswer>& done);
  base::Error MakeFailure(const net::HttpResult& result,
                          std::string step) const;

  net::HttpClient& m_client;
  const base::Address m_server;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_HTTP_OBJECT_STORE_H_
