// HttpObjectStore is the object store on top of the platform's HTTP API:
//
//   GET    /filberthollow/objects/KIND?after=N           one page of a list, of
//                                                        the objects after N
//   GET    /filberthollow/objects/KIND?watch=R&waitMs=W  changes after revision
//                                                        R; waits at most W ms
//   GET    /filberthollow/objects/KIND/NAME              reads
//   POST   /filberthollow/objects/KIND                   creates
//   PUT    /filberthollow/objects/KIND/NAME              replaces
//   DELETE /filberthollow/objects/KIND/NAME?revision=R   deletes
//
// Each answer names the generation of the store (see VersionOf()) in the header
// Store-Era.
//
// The platform groups objects into kinds. The object "config/tree/root" of
// ObjectStore is stored as "tree~root", with each slash replaced by a tilde, in
// the kind that a table assigns to the prefix "config/".
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

// kObjectsPath is the prefix of all paths of the object API.
inline constexpr std::string_view kObjectsPath = "/filberthollow/objects/";

// kOperatorPrefix is the prefix of the objects that the platform's operator
// writes, and kOperatorConfig the one that holds the configuration.
inline constexpr const char* kOperatorPrefix = "operator/";
inline constexpr const char* kOperatorConfig = "operator/main";

// HttpObjectStore belongs to the task that owns the client. The client must
// outlive the store, and the store must outlive its pending calls.
class HttpObjectStore final : public ObjectStore {
 public:
  // kCallTimeout limits the duration of an HTTP request; a watch may take its
  // waiting time in addition. Even a slow platform answers within a few hundred
  // milliseconds.
  static constexpr base::Millis kCallTimeout{3000};
  // kMaxAnswerBytes limits the size of the answer to a read, a watch or a page
  // of a list. A page is at most 1 MB, and larger once escaped as JSON.
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
  // Listing is a list in progress, which is read page by page. `answer`
  // collects the objects whose names start with `prefix`.
  struct Listing {
    std::string prefix;
    uint64_t generation = 0;  // in which the first page was read
    WatchAnswer answer;
    Handler<WatchAnswer> done;
  };

  // AddPage adds a page to the list in progress. Returns the platform's name of
  // the object after which the next page begins, or "" if the list is complete.
  base::Result<std::string> AddPage(Listing& listing,
                                    const std::string& after_name,
                                    const std::string& step,
                                    const net::HttpResult& result) const;
  // LogUnreadable logs the number of objects in an answer that were skipped.
  void LogUnreadable(const std::string& step, size_t objects) const;
  // ListPage requests the page after the platform's object `after_name` (empty
  // for the first page) and continues until the list is complete.
  void ListPage(const std::shared_ptr<Listing>& listing,
                const std::string& after_name);
  // OnWriteResponse reports the outcome of a write or deletion.
  // `if_version` is the version that the write required.
  void OnWriteResponse(const net::HttpResult& result,
                       const std::string& name,
                       uint64_t if_version,
                       const Handler<WriteAnswer>& done);
  // Start sends a request and passes its result to `done`, after m_generation
  // was updated.
  void Start(net::HttpRequest request, net::HttpClient::Handler done);
  // ReportConflict reads the object's present version and reports it as the
  // cause of a conflict.
  void ReportConflict(const std::string& name,
                      const Handler<WriteAnswer>& done);
  // MakeFailure returns the error for a request that failed or was answered
  // with an unexpected HTTP status.
  base::Error MakeFailure(const net::HttpResult& result,
                          std::string step) const;

  net::HttpClient& m_client;
  const base::Address m_server;
  // Generation of the store in its last answer.
  uint64_t m_generation = 0;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_HTTP_OBJECT_STORE_H_
