#include "filberthollow/caller/download.h"

#include <algorithm>
#include <utility>

namespace filberthollow::caller {
namespace {

// Each measured round trip, times kTimeoutRoundTrips, enters the moving average
// of the timeout with weight 1 / kSmoothingWeight.
constexpr int64_t kTimeoutRoundTrips = 4;
constexpr int64_t kSmoothingWeight = 8;

}  // namespace

Download::Download(const flow::Part& part)
    : m_size(part.size),
      m_checksum(part.checksum),
      m_status(part.status),
      m_bytes(part.size, '\0'),
      m_has_part(flow::PartCount(part.size), false) {}

void Download::OnPart(const flow::Part& part, base::Millis now) {
  size_t offset = size_t{part.part} * flow::kPartBytes;
  bool fits = part.size == m_size && part.checksum == m_checksum &&
              part.part < m_has_part.size() &&
              part.bytes.size() ==
                  std::min<uint64_t>(flow::kPartBytes, m_size - offset);
  if (!fits || m_has_part[part.part]) {
    return;
  }
  part.bytes.copy(m_bytes.data() + offset, part.bytes.size());
  m_has_part[part.part] = true;
  ++m_received_parts;
  auto requested = m_requested_at.find(part.part);
  if (requested == m_requested_at.end()) {
    return;
  }
  base::Millis sample((now - requested->second).count() * kTimeoutRoundTrips);
  int64_t smoothed =
      (m_timeout.count() * (kSmoothingWeight - 1) + sample.count()) /
      kSmoothingWeight;
  m_timeout = std::clamp(base::Millis(smoothed), kMinTimeout, kMaxTimeout);
  m_requested_at.erase(requested);
  ++m_parts_since_growth;
  if (m_window < m_slow_start_threshold || m_parts_since_growth >= m_window) {
    m_window = std::min(m_window + 1, kMaxWindow);
    m_parts_since_growth = 0;
  }
}

void Download::RequeueOverdue(base::Millis now) {
  bool lost = false;
  for (auto requested = m_requested_at.begin();
       requested != m_requested_at.end();) {
    if (now - requested->second < m_timeout) {
      ++requested;
      continue;
    }
    m_lost.push_back(requested->first);
    ++m_refetches;
    requested = m_requested_at.erase(requested);
    lost = true;
  }
  // All losses within one timeout count as a single congestion event.
  if (lost && now - m_last_window_cut >= m_timeout) {
    m_last_window_cut = now;
    m_slow_start_threshold = std::max(m_window / 2, kMinWindow);
    m_window = m_slow_start_threshold;
  }
}

std::optional<uint32_t> Download::NextMissing() {
  while (!m_lost.empty()) {
    uint32_t part = m_lost.back();
    m_lost.pop_back();
    if (!m_has_part[part]) {
      return part;
    }
  }
  while (m_next_unrequested < m_has_part.size()) {
    uint32_t part = m_next_unrequested++;
    if (!m_has_part[part]) {
      return part;
    }
  }
  return std::nullopt;
}

std::vector<PartRange> Download::NextFetches(base::Millis now) {
  RequeueOverdue(now);
  std::vector<PartRange> ranges;
  while (m_requested_at.size() < m_window) {
    std::optional<uint32_t> part = NextMissing();
    if (!part) {
      break;
    }
    m_requested_at[*part] = now;
    bool extends = !ranges.empty() &&
                   ranges.back().first + ranges.back().count == *part &&
                   ranges.back().count < flow::kMaxFetchParts;
    if (extends) {
      ++ranges.back().count;
    } else {
      ranges.push_back({*part, 1});
    }
  }
  return ranges;
}

base::Millis Download::next_timer() const {
  base::Millis next = base::kNever;
  for (const auto& [part, requested] : m_requested_at) {
    next = std::min(next, requested + m_timeout);
  }
  return next;
}

std::optional<std::string> Download::Take() {
  if (flow::AnswerChecksum(m_bytes) != m_checksum) {
    return std::nullopt;
  }
  return std::move(m_bytes);
}

}  // namespace filberthollow::caller
