#include "filberthollow/passthrough/peer_config.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace filberthollow::passthrough {
namespace {

constexpr base::Address kPeer{0x0a000001, 7000};

std::vector<platform::StoredObject> ManyRoutes() {
  std::string value;
  for (int i = 0; i < 1500; ++i) {
    value += R"({"host":"198.18.)" + std::to_string(i % 256) + "." +
             std::to_string(i / 256) + R"(","service":"desk","port":443},)";
  }
  return {{"config/main", 41, value}, {"config/old", 7, std::nullopt}};
}

BOOST_AUTO_TEST_CASE(EncodedObjectsDecodeUnchanged) {
  auto objects = DecodeObjects(EncodeObjects(ManyRoutes()), kPeer);
  BOOST_REQUIRE(objects);
  BOOST_TEST((*objects == ManyRoutes()));
  BOOST_TEST(DecodeObjects(EncodeObjects({}), kPeer)->empty());
}

// Each balancer serves the configuration to several agents after each change,
// some of them over links of 10 Mbit/s.
BOOST_AUTO_TEST_CASE(RepetitiveRoutesCompressToAFifth) {
  auto objects = ManyRoutes();
  BOOST_TEST(EncodeObjects(objects).size() * 5 < objects[0].value->size());
}

BOOST_AUTO_TEST_CASE(ErrorNamesStepAndPeer) {
  auto objects = DecodeObjects("x", kPeer);
  BOOST_REQUIRE(!objects);
  BOOST_TEST(objects.error().Text().find("read configuration") !=
             std::string::npos);
  BOOST_TEST(objects.error().Text().find(kPeer.Text()) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OversizedLengthIsRejectedBeforeAllocation) {
  std::string bytes = EncodeObjects(ManyRoutes());
  bytes[3] = '\x7f';  // most significant byte of the length
  BOOST_TEST(!DecodeObjects(bytes, kPeer));
}

RC_BOOST_PROP(DamagedBytesAreRejectedOrDecodeUnchanged,
              (size_t at, unsigned char value)) {
  std::string bytes = EncodeObjects(ManyRoutes());
  size_t index = at % bytes.size();
  RC_PRE(static_cast<unsigned char>(bytes[index]) != value);
  bytes[index] = static_cast<char>(value);
  auto objects = DecodeObjects(bytes, kPeer);
  bool rejected_or_unchanged = !objects || *objects == ManyRoutes();
  RC_ASSERT(rejected_or_unchanged);
}

}  // namespace
}  // namespace filberthollow::passthrough
