#include "filberthollow/lab/upstream_model.h"

#include <algorithm>
#include <utility>

namespace filberthollow::lab {
namespace {

constexpr uint32_t kPercent = 100;
constexpr uint32_t kInitialSequence = 5000;
constexpr uint16_t kAnswerBytes = 1000;

LabPacket BouncedCopy(LabPacket packet) {
  packet.header.bounced = true;
  return packet;
}

}  // namespace

UpstreamModel::UpstreamModel(Engine& engine,
                             const Pattern& pattern,
                             uint64_t seed,
                             Send send)
    : m_engine(engine),
      m_pattern(pattern),
      m_send(std::move(send)),
      m_random(seed, "upstream") {}

void UpstreamModel::Start(bool cold) {
  Crash();
  m_alive = true;
  m_draining = false;
  m_cold_until = m_engine.Now() + base::Millis(cold ? m_pattern.cold_ms : 0);
}

void UpstreamModel::Crash() {
  ++m_run;
  m_alive = false;
  m_busy = 0;
  m_queue.clear();
  m_flows.clear();
}

uint32_t UpstreamModel::WorkPercent() const {
  uint32_t cold =
      ColdTimeLeft() > base::Millis(0) ? m_pattern.cold_percent : kPercent;
  return cold * m_slow_percent / m_speed_percent;
}

void UpstreamModel::Receive(const LabPacket& packet) {
  if (!m_alive) {
    return;
  }
  const flow::PacketHeader& header = packet.header;
  flow::FlowEnds ends = header.FromCaller();
  if (header.AsksToOpen()) {
    auto [found, added] =
        m_flows.try_emplace(ends, Flow{.next_sequence = kInitialSequence + 1});
    m_send({.header = {.source = ends.route,
                       .destination = ends.caller,
                       .sequence = kInitialSequence,
                       .acknowledged = header.sequence + 1,
                       .opens = true,
                       .acknowledges = true}});
    return;
  }
  auto found = m_flows.find(ends);
  if (found == m_flows.end()) {
    m_send(BouncedCopy(packet));
    return;
  }
  if (packet.request != 0) {
    OnRequest(found->second, packet);
  }
  if (header.finishes || header.resets) {
    m_send({.header = {.source = ends.route,
                       .destination = ends.caller,
                       .sequence = found->second.next_sequence,
                       .acknowledges = true,
                       .finishes = true}});
    m_flows.erase(found);
    // A queued request whose caller has left is dropped.
    std::erase_if(m_queue, [&ends](const Job& job) {
      return job.packet.header.FromCaller() == ends;
    });
  }
}

void UpstreamModel::OnRequest(Flow& flow, const LabPacket& packet) {
  if (flow.last_request == packet.request) {
    if (flow.answered) {  // a retransmission: the answer was lost
      flow.next_sequence -= kAnswerBytes;
      Answer(flow, packet, flow.refused);
    }
    return;
  }
  flow.last_request = packet.request;
  flow.answered = false;
  bool grey = m_random.Chance(m_refused_percent / double{kPercent});
  if (grey || (m_busy >= m_pattern.slots &&
               m_queue.size() >= m_pattern.upstream_queue)) {
    Answer(flow, packet, true);
  } else if (m_busy >= m_pattern.slots) {
    m_queue.push_back({packet});
  } else {
    StartJob({packet});
  }
}

void UpstreamModel::StartJob(const Job& job) {
  ++m_busy;
  base::Millis time(std::max<int64_t>(
      int64_t{job.packet.work_ms} * WorkPercent() / kPercent, 1));
  m_engine.After(time,
                 [this, job, time, run = m_run] { FinishJob(job, time, run); });
}

void UpstreamModel::FinishJob(const Job& job, base::Millis time, uint64_t run) {
  if (run != m_run) {
    return;  // lost in a crash
  }
  --m_busy;
  m_work_done_ms += job.packet.work_ms;
  m_busy_time = m_busy_time + time;
  auto flow = m_flows.find(job.packet.header.FromCaller());
  if (flow != m_flows.end()) {
    Answer(flow->second, job.packet, false);
  }
  if (!m_queue.empty()) {
    Job next = m_queue.front();
    m_queue.pop_front();
    StartJob(next);
  }
}

void UpstreamModel::Answer(Flow& flow, const LabPacket& packet, bool refused) {
  flow::FlowEnds ends = packet.header.FromCaller();
  flow.answered = true;
  flow.refused = refused;
  LabPacket answer{.header = {.source = ends.route,
                              .destination = ends.caller,
                              .sequence = flow.next_sequence,
                              .data_bytes = kAnswerBytes,
                              .acknowledges = true},
                   .request = packet.request,
                   .refused = refused};
  flow.next_sequence += kAnswerBytes;
  m_send(answer);
}

}  // namespace filberthollow::lab
