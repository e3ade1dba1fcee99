// Encodes the configuration that a process serves to its peers: JSON compressed
// with zlib. It is compressed because many peers fetch it after each change,
// and hosts may have slow links.
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

// Maximum size of the configuration, both compressed and uncompressed. Leaves
// room for several objects of 1 MB, the platform's limit for one object.
inline constexpr size_t kMaxConfigBytes = size_t{8} << 20;

// Returns the encoded form of `objects`. Their order is preserved.
std::string EncodeObjects(const std::vector<platform::StoredObject>& objects);

// Decodes bytes received from `peer`, which is named in errors. Fails if the
// bytes are corrupted or the uncompressed size exceeds kMaxConfigBytes.
base::Result<std::vector<platform::StoredObject>> DecodeObjects(
    std::string_view bytes,
    base::Address peer);

}  // namespace filberthollow::passthrough

#endif  // FILBERTHOLLOW_PASSTHROUGH_PEER_CONFIG_H_
