#include "filberthollow/base/ids.h"

#include <xxhash.h>

namespace filberthollow::base {

uint64_t HashBytes(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t HashWords(std::initializer_list<uint64_t> words) {
  return XXH3_64bits(words.begin(), words.size() * sizeof(uint64_t));
}

ServiceId ServiceIdOf(std::string_view name) {
  return ServiceId{HashBytes(name)};
}

TargetId TargetIdOf(std::string_view service,
                    std::string_view data_centre,
                    std::string_view target) {
  return TargetId{HashWords({HashBytes(service, 1), HashBytes(data_centre, 2),
                             HashBytes(target, 3)})};
}

}  // namespace filberthollow::base
