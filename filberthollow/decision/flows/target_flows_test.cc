// Tests each kind of refusal by an agent. caller/flow_client_test.cc tests the
// path from caller to upstream as a whole.
#include "filberthollow/decision/flows/target_flows.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::flows {
namespace {

using base::Millis;
using flow::Reason;
using flow::RunState;

const flow::KeyRing kKeys({flow::Key{1, {1}}});
constexpr base::ServiceId kService{7};
constexpr base::Address kCaller{0x0a000001, 40};

struct Fixture {
  TargetLimits limits{.admission = {.slots = 1, .queue_length = 1},
                      .connections = 3,
                      .flows_per_caller = 2};
  TargetFlows flows{{kService, base::TargetId{1}, base::Incarnation{5}, {1, 1}},
                    limits,
                    kKeys};
  uint64_t nonce = 0;

  Fixture() { flows.SetReadiness(Readiness::kReady); }

  flow::Down Open(base::Address caller, base::ServiceId service = kService) {
    ++nonce;
    flow::Open open{.service = service, .nonce = nonce};
    return flows
        .OnMessage({caller, base::FlowId{nonce}, open}, {caller, {}}, Millis(0))
        .sends.at(0)
        .message.message;
  }
  flow::FlowToken Token() {
    return std::get<flow::Opened>(Open(kCaller)).token;
  }
  static flow::Request Request(const flow::FlowToken& token, uint64_t seq) {
    return {.token = token,
            .seq = base::RequestSeq{seq},
            .time_left = Millis(1000),
            .path = "/x"};
  }
  AgentActions Send(const flow::Up& message, Millis now = Millis(0)) {
    return flows.OnMessage({kCaller, {}, message}, {kCaller, {}}, now);
  }
};

const flow::Refusal& RefusalIn(const AgentActions& actions) {
  return std::get<flow::Refusal>(actions.sends.at(0).message.message);
}

BOOST_FIXTURE_TEST_CASE(FlowsAreBoundedForTheTargetAndForEachCaller, Fixture) {
  Token();
  Token();
  flow::Down third = Open(kCaller);
  BOOST_TEST(
      (std::get<flow::Refusal>(third).reason == Reason::kCallerFlowLimit));
  BOOST_TEST(std::holds_alternative<flow::Opened>(Open({0x0a000002, 1})));
  flow::Down fifth = Open({0x0a000003, 1});
  BOOST_TEST(
      (std::get<flow::Refusal>(fifth).reason == Reason::kConnectionLimit));
  BOOST_TEST((std::get<flow::Refusal>(fifth).run_state == RunState::kNotRun));
}

BOOST_FIXTURE_TEST_CASE(UnusedFlowsExpire, Fixture) {
  Token();
  Token();
  flows.OnTick(TargetFlows::kUnusedFlowTimeout + Millis(1));
  BOOST_TEST(flows.open_flows() == 0u);
  BOOST_TEST(std::holds_alternative<flow::Opened>(Open(kCaller)));
}

BOOST_FIXTURE_TEST_CASE(AnotherServiceOrIncarnationIsRefusedAsUnknown,
                        Fixture) {
  BOOST_TEST(
      (std::get<flow::Refusal>(Open(kCaller, base::ServiceId{8})).reason ==
       Reason::kWrongService));
  flow::FlowToken token = Token();
  flow::FlowToken other_service = token;
  other_service.service = base::ServiceId{8};
  AgentActions refused = Send(Request(other_service, 1));
  BOOST_TEST((RefusalIn(refused).reason == Reason::kWrongService));
  BOOST_TEST((RefusalIn(refused).run_state == RunState::kUnknown));
  flow::FlowToken former = token;
  former.incarnation = base::Incarnation{4};
  refused = Send(Request(former, 1));
  BOOST_TEST((RefusalIn(refused).reason == Reason::kWrongIncarnation));
  BOOST_TEST(refused.starts.empty());
}

// A refused request must not start when a late copy of it finds a free slot:
// the caller has received a refusal saying that it did not run and may have
// retried it.
BOOST_FIXTURE_TEST_CASE(ADuplicateOfARefusedRequestIsNotStarted, Fixture) {
  flow::FlowToken token = Token();
  BOOST_TEST(Send(Request(token, 1)).starts.size() == 1u);
  BOOST_TEST(Send(Request(token, 2)).starts.empty());  // queued
  AgentActions refused = Send(Request(token, 3));
  BOOST_TEST((RefusalIn(refused).reason == Reason::kQueueFull));
  BOOST_TEST((RefusalIn(refused).run_state == RunState::kNotRun));
  flows.OnResult(
      {{token.flow, base::RequestSeq{1}}, UpstreamResult::kAnswered, 200},
      Millis(5));
  flows.OnResult(
      {{token.flow, base::RequestSeq{2}}, UpstreamResult::kAnswered, 200},
      Millis(9));
  AgentActions copy = Send(Request(token, 3), Millis(10));
  BOOST_TEST(copy.starts.empty());
  BOOST_TEST((RefusalIn(copy).reason == Reason::kQueueFull));
}

BOOST_FIXTURE_TEST_CASE(CancellationFreesTheSlotAndRefusesALateRequest,
                        Fixture) {
  flow::FlowToken token = Token();
  Send(Request(token, 1));
  AgentActions cancelled =
      Send(flow::Cancel{token, base::RequestSeq{1}}, Millis(1));
  BOOST_TEST(cancelled.cancels.size() == 1u);
  AgentActions ended = flows.OnResult(
      {{token.flow, base::RequestSeq{1}}, UpstreamResult::kFailedAfterSend},
      Millis(2));
  BOOST_TEST((RefusalIn(ended).reason == Reason::kCancelled));
  BOOST_TEST((RefusalIn(ended).run_state == RunState::kUnknown));
  BOOST_TEST(flows.admission().running() == 0u);
  Send(flow::Cancel{token, base::RequestSeq{9}}, Millis(3));
  AgentActions late = Send(Request(token, 9), Millis(4));
  BOOST_TEST(late.starts.empty());
  BOOST_TEST((RefusalIn(late).run_state == RunState::kNotRun));
}

// The ledger remembers kMaxEntries requests. A copy of a request whose entry
// was evicted must not run a second time.
BOOST_FIXTURE_TEST_CASE(ARequestEvictedFromTheLedgerIsNotStartedAgain,
                        Fixture) {
  flow::FlowToken token = Token();
  for (uint64_t seq = 1; seq <= RequestLedger::kMaxEntries + 5; ++seq) {
    BOOST_TEST(Send(Request(token, seq)).starts.size() == 1u);
    flows.OnResult(
        {{token.flow, base::RequestSeq{seq}}, UpstreamResult::kAnswered, 200},
        Millis(1));
  }
  AgentActions copy = Send(Request(token, 2));
  BOOST_TEST(copy.starts.empty());
  BOOST_TEST((RefusalIn(copy).reason == Reason::kSettled));
  BOOST_TEST((RefusalIn(copy).run_state == RunState::kUnknown));
}

// A copy of an Open that arrives after its flow was closed must not make the
// old token valid again: the new flow has an empty ledger and would run copies
// of earlier requests.
BOOST_FIXTURE_TEST_CASE(ALateOpenDoesNotReviveAClosedFlow, Fixture) {
  flow::Open open{.service = kService, .nonce = 77};
  auto reopen = [&] {
    auto sent = flows.OnMessage({kCaller, base::FlowId{77}, open},
                                {kCaller, {}}, Millis(0));
    return std::get<flow::Opened>(sent.sends.at(0).message.message).token;
  };
  flow::FlowToken first = reopen();
  BOOST_TEST((reopen() == first));  // a copy of an Open for an open flow
  Send(flow::Close{first});
  BOOST_TEST((reopen().flow != first.flow));
  AgentActions late = Send(Request(first, 1));
  BOOST_TEST((RefusalIn(late).reason == Reason::kUnknownFlow));
}

}  // namespace
}  // namespace filberthollow::decision::flows
