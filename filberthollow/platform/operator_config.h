// Makes the operator's configuration on the platform available as a snapshot of
// the settings tree and the routes.
//
// OperatorConfigStore is an object store that reports the operator's
// configuration under the name platform::kSnapshotObject when the prefix
// kConfigPrefix is watched; ParseOperatorConfig() parses its text. All other
// calls are passed to HttpObjectStore unchanged.
//
//   OperatorConfigStore store(client, address);
//   store.Watch({kConfigPrefix, revision, wait}, [](const auto& answer) {...});
#ifndef FILBERTHOLLOW_PLATFORM_OPERATOR_CONFIG_H_
#define FILBERTHOLLOW_PLATFORM_OPERATOR_CONFIG_H_

#include <string>
#include <string_view>

#include "filberthollow/base/error.h"
#include "filberthollow/platform/http_object_store.h"
#include "filberthollow/settings/routes.h"

namespace filberthollow::platform {

// ParseOperatorConfig parses the operator's JSON text. `source` names the text
// in errors. A single malformed route or service makes the whole text an error,
// because a partial configuration would refuse callers whose routes exist.
base::Result<settings::Snapshot> ParseOperatorConfig(std::string_view text,
                                                     std::string_view source);

// OperatorConfigStore belongs to the task that owns the client. The client must
// outlive the store, and the store must outlive its pending calls.
class OperatorConfigStore final : public ObjectStore {
 public:
  OperatorConfigStore(net::HttpClient& client, base::Address server)
      : m_store(client, server) {}

  void Read(const std::string& name, Handler<StoredObject> done) override;
  void Write(const std::string& name,
             uint64_t if_version,
             const std::string& value,
             Handler<WriteAnswer> done) override;
  void Delete(const std::string& name,
              uint64_t if_version,
              Handler<WriteAnswer> done) override;
  // For the prefix kConfigPrefix, watches the operator's objects instead. The
  // answer then contains the configuration at most; it omits deletions and is
  // never marked as complete.
  void Watch(const WatchQuery& query, Handler<WatchAnswer> done) override;

 private:
  HttpObjectStore m_store;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_OPERATOR_CONFIG_H_
