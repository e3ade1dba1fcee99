// The operator's configuration on the platform, as a snapshot of the product's
// tree and routes.
//
// OperatorConfigStore is an object store in which the product finds the
// operator's text under platform::kSnapshotObject; ParseOperatorConfig() reads
// that text. All other objects are the product's own and pass through.
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

// ParseOperatorConfig translates the operator's JSON text. Routes or services
// that can't be read make the whole text an error: half a configuration would
// refuse callers whose routes are there.
base::Result<settings::Snapshot> ParseOperatorConfig(std::string_view text,
                                                     std::string_view source);

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
  void Watch(const WatchQuery& query, Handler<WatchAnswer> done) override;

 private:
  HttpObjectStore m_store;
};

}  // namespace filberthollow::platform

#endif  // FILBERTHOLLOW_PLATFORM_OPERATOR_CONFIG_H_
