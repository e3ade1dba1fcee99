#include "filberthollow/wire/packet_codec.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

namespace filberthollow::wire {
namespace {

constexpr flow::FlowEnds kFlow{{0x64400007, 40001}, {0xc6120001, 443}};
constexpr decision::load::UpstreamLoad kLoad{.slots = 4,
                                             .in_flight = 3,
                                             .open_flows = 70,
                                             .in_flight_mean = 250,
                                             .cold_ms = 900,
                                             .openings_left = 7,
                                             .work_age_ms = 350,
                                             .work_us = 41'000};

std::vector<PacketMessage> Samples() {
  return {
      decision::flows::Forward{.revision = 9,
                               .probe = true,
                               .service = base::ServiceIdOf("desk"),
                               .packet = "\0packet"},
      decision::flows::Locate{{{kFlow, 0xfffffff0}, {kFlow, 7}}},
      decision::flows::Located{{{kFlow, decision::flows::Holding::kUnsure}},
                               {.slots = 4, .in_flight = 2}},
      decision::flows::FlowAnswer{.flow = kFlow,
                                  .holding = decision::flows::Holding::kRefused,
                                  .reason = flow::Reason::kUpstreamRefused,
                                  .load = kLoad,
                                  .packet = "handed back"},
      decision::flows::UpstreamReport{
          .service = base::ServiceId{7},
          .data_centre = 8,
          .run = 9,
          .state = decision::flows::UpstreamState::kDraining,
          .silent = true,
          .load = kLoad,
          .revision = 11,
          .interval = base::Millis(200),
          .leaving = true,
          .confirmation = decision::flows::ReportConfirmation::kReceived,
          .evacuation_revision = 12,
          .evacuations = {12, {"north-1", "north-2"}}},
      decision::flows::BalancerHello{.revision = 11,
                                     .run = 12,
                                     .leaving = true,
                                     .balancers = {{1, 2}, {3, 4}},
                                     .newcomer = {5, 6},
                                     .confirms_report = true,
                                     .evacuations = {13, {"north-1"}},
                                     .takes_turns = true},
      decision::flows::KnownAgents{
          {{{1, 2}, base::ServiceId{7}, true, base::Millis(300)},
           {{3, 4}, base::ServiceId{8}, false, base::Millis(0)}}}};
}

BOOST_AUTO_TEST_CASE(PacketMessagesRoundTrip) {
  for (const PacketMessage& sample : Samples()) {
    auto read = DecodePacketMessage(EncodePacketMessage(sample));
    BOOST_REQUIRE(static_cast<bool>(read));
    BOOST_TEST((*read == sample));
  }
}

BOOST_AUTO_TEST_CASE(LongBalancerListIsTruncated) {
  decision::flows::BalancerHello hello;
  hello.balancers.resize(1000, {1, 2});
  auto read = DecodePacketMessage(EncodePacketMessage(hello));
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST(std::get<decision::flows::BalancerHello>(*read).balancers.size() ==
             kMaxHelloBalancers);
}

BOOST_AUTO_TEST_CASE(CorruptedBytesAreDecodedSafely) {
  constexpr int kCorruptionsPerSample = 4000;
  std::mt19937 random(7);
  for (const PacketMessage& sample : Samples()) {
    const std::string intact = EncodePacketMessage(sample);
    for (int i = 0; i < kCorruptionsPerSample; ++i) {
      std::string bytes = intact;
      bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
      bytes.resize(random() % 8 == 0 ? random() % bytes.size() : bytes.size());
      // Any message that still decodes must be encodable.
      if (auto read = DecodePacketMessage(bytes)) {
        BOOST_TEST(!EncodePacketMessage(*read).empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(RejectsAnUnknownEnumValue) {
  auto refused =
      DecodePacketMessage(EncodePacketMessage(decision::flows::FlowAnswer{
          .flow = kFlow, .holding = static_cast<decision::flows::Holding>(9)}));
  BOOST_TEST(!refused);
}

}  // namespace
}  // namespace filberthollow::wire
