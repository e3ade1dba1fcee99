#include "filberthollow/operator/blocking_store.h"

#include <utility>

namespace filberthollow::operator_tool {

using platform::StoredObject;
using platform::WatchAnswer;
using platform::WriteAnswer;

base::Result<StoredObject> HttpBlockingStore::Read(const std::string& name) {
  return Wait<StoredObject>([&](auto done) { m_store.Read(name, done); });
}

base::Result<WriteAnswer> HttpBlockingStore::Write(const std::string& name,
                                                   uint64_t if_version,
                                                   const std::string& value) {
  return Wait<WriteAnswer>(
      [&](auto done) { m_store.Write(name, if_version, value, done); });
}

base::Result<std::vector<StoredObject>> HttpBlockingStore::List(
    const std::string& prefix) {
  auto answer = Wait<WatchAnswer>([&](auto done) {
    m_store.Watch({prefix, 0, base::Millis(0)}, done);
  });
  if (!answer) {
    return answer.error();
  }
  return answer->objects;
}

base::Result<std::string> HttpBlockingStore::Get(base::Address server,
                                                 const std::string& path) {
  return Wait<std::string>(
      [&](auto done) { StartGet(server, path, std::move(done)); });
}

std::vector<base::Result<std::string>> HttpBlockingStore::GetAll(
    const std::vector<base::Address>& servers,
    const std::string& path) {
  std::vector<base::Result<std::string>> results(servers.size(), std::string());
  size_t started = 0;
  size_t finished = 0;
  std::function<void()> start_next = [&] {
    if (started == servers.size()) {
      return;
    }
    size_t index = started++;
    StartGet(servers[index], path, [&, index](const auto& result) {
      results[index] = result;
      ++finished;
      start_next();
    });
  };
  for (size_t i = 0; i < kMaxParallelGets; ++i) {
    start_next();
  }
  m_loop.RunUntil([&] { return finished == servers.size(); });
  return results;
}

void HttpBlockingStore::StartGet(base::Address server,
                                 const std::string& path,
                                 PageHandler done) {
  m_client.Start(
      {.server = server, .path = path},
      [server, path, done = std::move(done)](const net::HttpResult& result) {
        if (result.status == net::kHttpOk) {
          done(result.body);
        } else {
          done(base::MakeError(std::errc::connection_refused, "get " + path,
                               server.Text()));
        }
      });
}

}  // namespace filberthollow::operator_tool
