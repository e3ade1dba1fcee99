// Blocking access to the platform's object API, for command-line programs.
//
//   HttpBlockingStore store(clock, address);
//   Result<StoredObject> object = store.Read("config/keys");
#ifndef FILBERTHOLLOW_OPERATOR_BLOCKING_STORE_H_
#define FILBERTHOLLOW_OPERATOR_BLOCKING_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/net/http_client.h"
#include "filberthollow/platform/http_object_store.h"

namespace filberthollow::operator_tool {

// BlockingStore is the part of the platform's object API that the operator's
// command uses. Each call blocks until the platform answers or the request
// fails.
class BlockingStore {
 public:
  virtual ~BlockingStore() = default;
  // Read returns an object; its `value` is empty if there is no such object.
  virtual base::Result<platform::StoredObject> Read(
      const std::string& name) = 0;
  // Write replaces an object if its version is still `if_version`; 0 creates
  // it. A conflict and a lost answer are kinds of WriteAnswer, not errors.
  virtual base::Result<platform::WriteAnswer> Write(
      const std::string& name,
      uint64_t if_version,
      const std::string& value) = 0;
  // List returns the objects whose names start with `prefix`.
  virtual base::Result<std::vector<platform::StoredObject>> List(
      const std::string& prefix) = 0;
};

// HttpBlockingStore calls the platform over HTTP. It runs its own event loop
// while it waits, so it must be used from one thread only.
class HttpBlockingStore final : public BlockingStore {
 public:
  HttpBlockingStore(const base::Clock& clock, base::Address platform)
      : m_loop(clock), m_client(m_loop), m_store(m_client, platform) {}

  base::Result<platform::StoredObject> Read(const std::string& name) override;
  base::Result<platform::WriteAnswer> Write(const std::string& name,
                                            uint64_t if_version,
                                            const std::string& value) override;
  base::Result<std::vector<platform::StoredObject>> List(
      const std::string& prefix) override;
  // Get fetches `path` from the admin service of a process at `server`. Any
  // status but 200 is an error.
  base::Result<std::string> Get(base::Address server, const std::string& path);
  // GetAll does the same at several processes, kMaxParallelGets at one time, so
  // that many unreachable ones don't add up their timeouts. The results are in
  // the order of `servers`.
  static constexpr size_t kMaxParallelGets = 64;
  std::vector<base::Result<std::string>> GetAll(
      const std::vector<base::Address>& servers,
      const std::string& path);

 private:
  using PageHandler = std::function<void(const base::Result<std::string>&)>;

  void StartGet(base::Address server,
                const std::string& path,
                PageHandler done);
  // Runs the event loop until the callback that `call` received is called.
  template <class T, class Call>
  base::Result<T> Wait(Call call) {
    std::optional<base::Result<T>> result;
    call([&result](const base::Result<T>& r) { result = r; });
    m_loop.RunUntil([&result] { return result.has_value(); });
    return *result;
  }

  net::Loop m_loop;
  net::HttpClient m_client;
  platform::HttpObjectStore m_store;
};

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_BLOCKING_STORE_H_
