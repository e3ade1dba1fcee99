#include "filberthollow/wire/codec.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <random>

#include "filberthollow/wire/control_codec.h"
#include "filberthollow/wire/sealed.h"

namespace filberthollow::wire {
namespace {

const flow::KeyRing kKeys({flow::Key{3, {7, 7, 7}}});

flow::FlowToken Token() {
  return {.service = base::ServiceId{1},
          .incarnation = base::Incarnation{2},
          .agent = {0x7f000001, 99},
          .flow = base::FlowId{3},
          .epoch = 3,
          .mac = 5};
}

std::vector<flow::Up> UpSamples() {
  return {flow::Open{.service = base::ServiceId{9},
                     .nonce = 8,
                     .attempt = 2,
                     .avoid = base::Incarnation{6}},
          flow::Request{.token = Token(),
                        .seq = base::RequestSeq{4},
                        .settled_below = base::RequestSeq{2},
                        .attempt = 3,
                        .idempotent = true,
                        .time_left = base::Millis(1234),
                        .method = flow::Method::kPost,
                        .path = "/p?a=1",
                        .body = std::string("\0\1x", 3)},
          flow::Fetch{Token(), base::RequestSeq{4}, 7, 8},
          flow::Cancel{Token(), base::RequestSeq{4}}, flow::Close{Token()}};
}

std::vector<flow::Down> DownSamples() {
  return {flow::Opened{77, Token()},
          flow::Accepted{base::FlowId{3}, base::RequestSeq{4}},
          flow::Part{.flow = base::FlowId{3},
                     .seq = base::RequestSeq{4},
                     .status = 200,
                     .part = 1,
                     .size = 2000,
                     .checksum = 5,
                     .bytes = "abc"},
          flow::Refusal{.nonce = 1,
                        .flow = base::FlowId{3},
                        .seq = base::RequestSeq{4},
                        .reason = flow::Reason::kQueueFull,
                        .run_state = flow::RunState::kNotRun,
                        .retry_after = base::Millis(200)}};
}

decision::membership::MemberRecord Record(uint64_t id) {
  return {.id = decision::membership::MemberId{id},
          .kind = decision::membership::MemberKind::kBalancer,
          .state = decision::membership::MemberState::kDraining,
          .incarnation = base::Incarnation{5},
          .sequence = 6,
          .service = base::ServiceId{7},
          .data_centre = 8,
          .address = {9, 10},
          .weight = 11,
          .load = 12};
}

std::vector<ControlMessage> ControlSamples() {
  decision::membership::GossipMessage gossip{.sender = Record(1),
                                             .revision = 4};
  for (uint64_t i = 0; i < decision::membership::Gossip::kMaxRecords; ++i) {
    gossip.records.push_back(Record(i));
  }
  gossip.suspicions.push_back(
      {.member = decision::membership::MemberId{3}, .sequence = 4});
  gossip.group_digests.emplace().fill(42);
  gossip.bucket_group = 5;
  gossip.bucket_digests.fill(43);
  gossip.requested_buckets = {1, 2};
  return {Heartbeat{Record(2), 5, "riga-a", "c-1", 80},
          HeartbeatAck{.member = decision::membership::MemberId{2},
                       .suspected = true,
                       .key_epoch = 3,
                       .interval = base::Millis(1500),
                       .settings_revision = 9,
                       .settings = settings::Settings{.slots = 17}},
          gossip};
}

BOOST_AUTO_TEST_CASE(FlowAndControlMessagesRoundTrip) {
  for (const flow::Up& up : UpSamples()) {
    std::string bytes = EncodeUp(up);
    BOOST_TEST(bytes.size() <= kMaxDatagramBytes);
    BOOST_TEST((*DecodeUp(bytes) == up));
    flow::RelayedUp relayed{{1, 2}, base::FlowId{3}, up};
    BOOST_TEST(
        (*DecodeRelayedUp(EncodeRelayedUp(relayed, kKeys), kKeys) == relayed));
  }
  for (const flow::Down& down : DownSamples()) {
    BOOST_TEST((*DecodeDown(EncodeDown(down)) == down));
    flow::RelayedDown relayed{{1, 2}, down, 7};
    BOOST_TEST((*DecodeRelayedDown(EncodeRelayedDown(relayed, kKeys), kKeys) ==
                relayed));
  }
  for (const ControlMessage& message : ControlSamples()) {
    std::string bytes = EncodeControl(message, kKeys);
    BOOST_TEST(bytes.size() <= kMaxDatagramBytes);
    BOOST_TEST((*DecodeControl(bytes, kKeys) == message));
  }
}

BOOST_AUTO_TEST_CASE(LargestRequestAndPartFitADatagram) {
  flow::Request request{.token = Token(),
                        .path = std::string(flow::kMaxPathBytes, 'p')};
  request.body = std::string(flow::kMaxRequestBytes - flow::kMaxPathBytes, 'b');
  BOOST_TEST(EncodeRelayedUp({{1, 2}, {}, request}, kKeys).size() <=
             kMaxDatagramBytes);
  flow::Part part{.size = flow::kPartBytes,
                  .bytes = std::string(flow::kPartBytes, 'x')};
  BOOST_TEST(EncodeRelayedDown({{1, 2}, part}, kKeys).size() <=
             kMaxDatagramBytes);
}

BOOST_AUTO_TEST_CASE(OpenIsAtLeastAsLongAsItsResponse) {
  std::string open = EncodeUp(flow::Open{.nonce = 1});
  BOOST_TEST(open.size() >= kMinOpenBytes);
  BOOST_TEST(EncodeDown(flow::Opened{1, Token()}).size() <= kMinOpenBytes);
  BOOST_TEST(EncodeDown(DownSamples()[3]).size() <= kMinOpenBytes);
}

BOOST_AUTO_TEST_CASE(ReportsOversizedAndUnsealedDatagrams) {
  BOOST_TEST((DecodeUp(std::string(kMaxDatagramBytes + 1, 'x')).reason() ==
              flow::Reason::kOversized));
  flow::KeyRing other({flow::Key{3, {8}}});
  std::string sealed = EncodeRelayedUp({{1, 2}, {}, UpSamples()[1]}, other);
  BOOST_TEST(
      (DecodeRelayedUp(sealed, kKeys).reason() == flow::Reason::kUnsealed));
}

// Passes the bytes to all decoders; only a crash or a sanitizer report fails
// the test.
void DecodeAll(const std::string& bytes) {
  (void)DecodeUp(bytes);
  (void)DecodeDown(bytes);
  (void)DecodeRelayedUp(bytes, kKeys);
  (void)DecodeControl(bytes, kKeys);
  std::string sealed = SealPayload(bytes, kKeys);
  (void)DecodeRelayedUp(sealed, kKeys);
  (void)DecodeRelayedDown(sealed, kKeys);
  (void)DecodeControl(sealed, kKeys);
}

RC_BOOST_PROP(DecodersSurviveArbitraryBytes, (const std::string& bytes)) {
  DecodeAll(bytes);
}

BOOST_AUTO_TEST_CASE(DecodersSurviveFlippedBits) {
  std::vector<std::string> samples;
  for (const flow::Up& up : UpSamples()) {
    samples.push_back(EncodeUp(up));
    samples.push_back(
        EncodeRelayedUp({{1, 2}, {}, up}, kKeys).substr(kSealBytes));
  }
  for (const flow::Down& down : DownSamples()) {
    samples.push_back(EncodeDown(down));
  }
  for (const ControlMessage& message : ControlSamples()) {
    samples.push_back(EncodeControl(message, kKeys).substr(kSealBytes));
  }
  std::mt19937_64 random(99);
  uint64_t rejected = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = samples[random() % samples.size()];
    for (uint64_t flips = random() % 4 + 1; flips > 0; --flips) {
      bytes[random() % bytes.size()] ^= static_cast<char>(1 << random() % 8);
    }
    if (random() % 4 == 0) {
      bytes.resize(random() % bytes.size());
    }
    rejected += DecodeUp(bytes) ? 0 : 1;
    DecodeAll(bytes);
  }
  BOOST_TEST(rejected > 0u);
}

}  // namespace
}  // namespace filberthollow::wire
