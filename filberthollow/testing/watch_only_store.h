// A base for fake object stores whose users only watch: all other calls are
// never answered.
//
//   class HeldStore final : public testing::WatchOnlyStore {
//    public:
//     void Watch(const WatchQuery& query, Handler<WatchAnswer> done) override;
//   };
#ifndef FILBERTHOLLOW_TESTING_WATCH_ONLY_STORE_H_
#define FILBERTHOLLOW_TESTING_WATCH_ONLY_STORE_H_

#include <string>

#include "filberthollow/platform/object_store.h"

namespace filberthollow::testing {

class WatchOnlyStore : public platform::ObjectStore {
 public:
  void Read(const std::string& /*name*/,
            Handler<platform::StoredObject> /*done*/) override {}
  void Write(const std::string& /*name*/,
             uint64_t /*if_version*/,
             const std::string& /*value*/,
             Handler<platform::WriteAnswer> /*done*/) override {}
  void Delete(const std::string& /*name*/,
              uint64_t /*if_version*/,
              Handler<platform::WriteAnswer> /*done*/) override {}
};

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_WATCH_ONLY_STORE_H_
