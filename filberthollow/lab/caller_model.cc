#include "filberthollow/lab/caller_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filberthollow::lab {
namespace {

constexpr uint32_t kPercent = 100;
constexpr double kPerMille = 1000;
constexpr double kMillisPerSecond = 1000;
constexpr uint32_t kInitialSequence = 100;
constexpr uint16_t kRequestBytes = 500;
constexpr uint32_t kFirstCallerIp = 0x0a000000;
constexpr uint32_t kFirstRouteIp = 0xc6120001;
constexpr uint32_t kMaxResends = 4;

}  // namespace

base::Address RouteOf(uint32_t kind) {
  return {kFirstRouteIp + kind, 443};
}

CallerModel::CallerModel(Engine& engine,
                         const Pattern& pattern,
                         uint64_t seed,
                         Send send)
    : m_engine(engine), m_pattern(pattern), m_send(std::move(send)) {
  for (const RequestKind& kind : pattern.kinds) {
    m_sources.push_back(
        {.arrivals = {seed, "arrivals of " + kind.name},
         .work = {seed, "work of " + kind.name},
         .choice = {seed, "sessions of " + kind.name},
         .idle_flows = std::vector<base::Address>(kind.sessions)});
  }
}

void CallerModel::Start() {
  for (size_t kind = 0; kind < m_sources.size(); ++kind) {
    ScheduleArrival(kind);
  }
}

void CallerModel::ScheduleArrival(size_t kind) {
  double rate = m_pattern.kinds[kind].per_second *
                (m_sources[kind].percent / double{kPercent});
  if (rate <= 0) {
    return;
  }
  double delay = m_sources[kind].arrivals.Exponential(kMillisPerSecond / rate);
  m_engine.After(base::Millis(std::lround(delay)), [this, kind] {
    Offer(kind);
    ScheduleArrival(kind);
  });
}

void CallerModel::Offer(size_t kind) {
  const RequestKind& wanted = m_pattern.kinds[kind];
  double work = m_sources[kind].work.LogNormal(
      wanted.work_ms, wanted.spread_percent / double{kPercent});
  if (wanted.tail_per_mille > 0 &&
      m_sources[kind].work.Chance(wanted.tail_per_mille / kPerMille)) {
    work *= wanted.tail_factor;
  }
  m_outcomes.push_back(
      {.kind = static_cast<uint32_t>(kind),
       .born = m_engine.Now(),
       .work_ms = static_cast<uint32_t>(std::max(std::lround(work), 1L))});
  uint64_t request = m_outcomes.size();
  m_engine.After(base::Millis(wanted.deadline_ms),
                 [this, request] { OnDeadline(request); });
  Attempt(request);
}

void CallerModel::Attempt(uint64_t request) {
  Outcome& outcome = OutcomeOf(request);
  Source& source = m_sources[outcome.kind];
  bool first = outcome.tries++ == 0;
  size_t session = source.choice.Index(source.idle_flows.size());
  base::Address idle = std::exchange(source.idle_flows[session], {});
  if (!first || idle == base::Address{}) {
    source.idle_flows[session] = idle;
    OpenFlow(request, session);
    return;
  }
  Flow& flow = m_flows.at(idle);
  flow.request = request;
  m_flow_of_request[request] = flow.ends.caller;
  SendRequest(flow);
}

void CallerModel::OpenFlow(uint64_t request, size_t session) {
  uint32_t kind = OutcomeOf(request).kind;
  uint32_t number = m_next_caller++;
  base::Address caller{kFirstCallerIp + number, 1024};
  Flow& flow = m_flows[caller];
  flow = {.ends = {caller, RouteOf(kind)},
          .data_centre = number % m_pattern.data_centres,
          .kind = kind,
          .session = session,
          .request = request};
  m_flow_of_request[request] = caller;
  SendOpening(flow);
}

void CallerModel::SendOpening(Flow& flow) {
  m_send({.header = {.source = flow.ends.caller,
                     .destination = flow.ends.route,
                     .sequence = kInitialSequence,
                     .acknowledged = flow.copies,
                     .opens = true}},
         flow.data_centre);
  flow.epoch = m_next_epoch++;
  ArmOpenTimer(flow);
}

void CallerModel::ArmOpenTimer(const Flow& flow) {
  base::Millis before =
      flow.copies == 0 ? base::Millis(0) : kOpenRetries[flow.copies - 1];
  m_engine.After(kOpenRetries[flow.copies] - before,
                 [this, caller = flow.ends.caller, epoch = flow.epoch] {
                   auto found = m_flows.find(caller);
                   if (found == m_flows.end() || found->second.epoch != epoch) {
                     return;
                   }
                   if (++found->second.copies < kOpenRetries.size()) {
                     SendOpening(found->second);
                   } else {
                     FailAttempt(found->second, false);
                   }
                 });
}

void CallerModel::SendRequest(Flow& flow) {
  m_send({.header = {.source = flow.ends.caller,
                     .destination = flow.ends.route,
                     .sequence = flow.next_sequence,
                     .acknowledged = flow.acknowledged,
                     .data_bytes = kRequestBytes,
                     .acknowledges = true},
          .request = flow.request,
          .work_ms = OutcomeOf(flow.request).work_ms},
         flow.data_centre);
  flow.epoch = m_next_epoch++;
  ArmResendTimer(flow);
}

void CallerModel::ArmResendTimer(const Flow& flow) {
  m_engine.After(kResendDelay * (int64_t{1} << flow.copies),
                 [this, caller = flow.ends.caller, epoch = flow.epoch] {
                   auto found = m_flows.find(caller);
                   if (found != m_flows.end() && found->second.epoch == epoch &&
                       found->second.copies < kMaxResends) {
                     ++found->second.copies;
                     SendRequest(found->second);
                   }
                 });
}

void CallerModel::Receive(const LabPacket& packet) {
  auto found = m_flows.find(packet.header.destination);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  if (packet.header.opens) {
    if (flow.stage == Stage::kOpening) {
      flow.stage = Stage::kOpen;
      flow.copies = 0;
      flow.acknowledged = packet.header.sequence + 1;
      SendRequest(flow);
    }
    return;
  }
  bool answers = packet.request != 0 && packet.request == flow.request;
  if (!answers) {
    return;
  }
  flow.acknowledged = packet.header.sequence + packet.header.data_bytes;
  flow.next_sequence += kRequestBytes;
  flow.copies = 0;
  flow.epoch = m_next_epoch++;
  Outcome& outcome = OutcomeOf(flow.request);
  if (packet.refused) {
    ++outcome.refusals;
    FailAttempt(flow, false);
    return;
  }
  outcome.answered = true;
  outcome.took = m_engine.Now() - outcome.born;
  m_flow_of_request.erase(flow.request);
  flow.request = 0;
  ++flow.answers;
  const RequestKind& kind = m_pattern.kinds[flow.kind];
  bool keep = kind.long_flows && (kind.requests_per_flow == 0 ||
                                  flow.answers < kind.requests_per_flow);
  base::Address& idle = m_sources[flow.kind].idle_flows[flow.session];
  if (keep && idle == base::Address{}) {
    idle = flow.ends.caller;
  } else {
    CloseFlow(flow);
  }
}

void CallerModel::ReceiveReset(const flow::FlowEnds& ends) {
  auto found = m_flows.find(ends.caller);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  if (flow.request != 0) {
    ++OutcomeOf(flow.request).resets;
    FailAttempt(flow, flow.stage == Stage::kOpen);
    return;
  }
  m_sources[flow.kind].idle_flows[flow.session] = {};
  m_flows.erase(found);
}

void CallerModel::FailAttempt(Flow& flow, bool may_have_run) {
  uint64_t request = flow.request;
  const RequestKind& kind = KindOf(request);
  m_flow_of_request.erase(request);
  CloseFlow(flow);
  bool may_retry = kind.idempotent || !may_have_run;
  if (may_retry && OutcomeOf(request).tries <= kind.retries) {
    m_engine.After(kRetryPause, [this, request] {
      if (m_engine.Now() <
          OutcomeOf(request).born + base::Millis(KindOf(request).deadline_ms)) {
        Attempt(request);
      }
    });
  }
}

void CallerModel::OnDeadline(uint64_t request) {
  auto found = m_flow_of_request.find(request);
  if (found != m_flow_of_request.end()) {
    base::Address caller = found->second;
    m_flow_of_request.erase(found);
    CloseFlow(m_flows.at(caller));
  }
}

void CallerModel::CloseFlow(const Flow& flow) {
  if (flow.stage == Stage::kOpen) {
    uint32_t end = flow.next_sequence + (flow.request != 0 ? kRequestBytes : 0);
    m_send({.header = {.source = flow.ends.caller,
                       .destination = flow.ends.route,
                       .sequence = end,
                       .acknowledged = flow.acknowledged,
                       .acknowledges = true,
                       .finishes = true}},
           flow.data_centre);
  }
  base::Address caller = flow.ends.caller;
  m_flows.erase(caller);
}

}  // namespace filberthollow::lab
