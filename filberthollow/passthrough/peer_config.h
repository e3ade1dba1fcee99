// How one process hands the configuration that it holds to another: JSON,
// deflated, since many peers read it after each change and hosts may have slow
// links.
//
//   std::string bytes = EncodeObjects(objects);
//   auto objects = DecodeObjects(bytes, peer);
#ifndef FILBERTHOLLOW_PASSTHROUGH_PEER_CONFIG_H_
#define FILBERTHOLLOW_PASSTHROUGH_PEER_CONFIG_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/error.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::passthrough {

// kMaxConfigBytes bounds what is inflated: several objects of the size that the
// platform allows for one, 1 MB.
inline constexpr size_t kMaxConfigBytes = size_t{8} << 20;

// EncodeObjects returns the bytes of objects; they have an order.
std::string EncodeObjects(const std::vector<platform::StoredObject>& objects);

// DecodeObjects reads bytes that `peer` sent. It fails if they are damaged, or
// would take more than kMaxConfigBytes.
base::Result<std::vector<platform::StoredObject>> DecodeObjects(
    std::string_view bytes,
    base::Address peer);

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_PEER_CONFIG_H_
