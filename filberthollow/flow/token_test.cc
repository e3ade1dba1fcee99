#include "filberthollow/flow/token.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace filberthollow::flow {
namespace {

constexpr base::Address kCaller{0x7f000001, 4000};

FlowToken SomeToken() {
  return {.service = base::ServiceId{7},
          .incarnation = base::Incarnation{8},
          .agent = {0x7f000001, 9},
          .flow = base::FlowId{10}};
}

BOOST_AUTO_TEST_CASE(RotationKeepsOldTokensValidUntilTheirKeyIsRemoved) {
  Key first{1, {1, 2, 3}};
  Key second{2, {4, 5, 6}};
  FlowToken token = KeyRing({first}).Sign(SomeToken(), kCaller);
  BOOST_TEST(KeyRing({first, second}).Verify(token, kCaller));
  BOOST_TEST(!KeyRing({second}).Verify(token, kCaller));
  BOOST_TEST(KeyRing({first, second}).Sign(SomeToken(), kCaller).epoch == 2u);
}

BOOST_AUTO_TEST_CASE(ANewKeySignsOnlyOnceItIsActive) {
  using base::Millis;
  Key first{1, {1}, Millis(0)};
  Key second{2, {2}, Millis(5000)};
  KeyRing keys({first, second}, Millis(4000));
  BOOST_TEST(keys.signing_epoch() == 1u);
  BOOST_TEST(keys.newest_epoch() == 2u);
  BOOST_TEST((keys.NextActivation() == Millis(5000)));
  BOOST_TEST(keys.At(Millis(5000)).signing_epoch() == 2u);
  BOOST_TEST((keys.At(Millis(4999)).NextActivation() == Millis(5000)));
  BOOST_TEST((keys.At(Millis(5000)).NextActivation() == base::kNever));
  BOOST_TEST(KeyRing({second}, Millis(4000)).signing_epoch() == 2u);
}

RC_BOOST_PROP(AnAlteredTokenIsRefused, (uint64_t flip, uint8_t which)) {
  RC_PRE(flip != 0);
  KeyRing keys({Key{1, {9, 9, 9}}});
  FlowToken token = keys.Sign(SomeToken(), kCaller);
  RC_ASSERT(keys.Verify(token, kCaller));
  base::Address caller = kCaller;
  switch (which % 6) {
    case 0:
      token.service = base::ServiceId{base::Value(token.service) ^ flip};
      break;
    case 1:
      token.incarnation =
          base::Incarnation{base::Value(token.incarnation) ^ flip};
      break;
    case 2:
      token.agent.ip ^= static_cast<uint32_t>(flip) | 1;
      break;
    case 3:
      token.flow = base::FlowId{base::Value(token.flow) ^ flip};
      break;
    case 4:
      token.mac ^= flip;
      break;
    default:
      caller.port ^= static_cast<uint16_t>(flip) | 1;
  }
  RC_ASSERT(!keys.Verify(token, caller));
}

}  // namespace
}  // namespace filberthollow::flow
