// Serialization of one Cap'n Proto message per datagram, with size, depth and
// traversal limits that protect against malicious input.
#ifndef FILBERTHOLLOW_WIRE_CAPNP_FRAME_H_
#define FILBERTHOLLOW_WIRE_CAPNP_FRAME_H_

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <array>
#include <cstring>
#include <string>
#include <string_view>

namespace filberthollow::wire::internal {

inline constexpr int kMaxNestingDepth = 8;
inline constexpr size_t kMaxFrameBytes = 2048;
inline constexpr size_t kMaxFrameWords = kMaxFrameBytes / sizeof(capnp::word);

// Returns the serialized message that `fill` builds.
template <class Root, class Fill>
std::string WriteFrame(Fill fill) {
  std::array<capnp::word, kMaxFrameWords> scratch{};
  capnp::MallocMessageBuilder builder(
      kj::arrayPtr(scratch.data(), scratch.size()));
  fill(builder.initRoot<Root>());
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Calls `read` with the root of the message in `bytes`; returns false if the
// bytes are not a valid message or `read` returns false.
template <class Root, class Read>
bool ReadFrame(std::string_view bytes, Read read) {
  if (bytes.size() > kMaxFrameBytes ||
      bytes.size() % sizeof(capnp::word) != 0) {
    return false;
  }
  std::array<capnp::word, kMaxFrameWords> aligned;
  std::memcpy(aligned.data(), bytes.data(), bytes.size());
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxFrameWords * 2;
  options.nestingLimit = kMaxNestingDepth;
  bool valid = false;
  auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(aligned.data(), bytes.size() / sizeof(capnp::word)),
        options);
    valid = read(reader.getRoot<Root>());
  });
  return failure == nullptr && valid;
}

}  // namespace filberthollow::wire::internal

#endif  // FILBERTHOLLOW_WIRE_CAPNP_FRAME_H_
