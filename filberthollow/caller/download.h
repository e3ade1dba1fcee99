// Downloads a large answer in parts over a lossy, reordering network.
//
// A congestion window limits the number of parts that are requested but not yet
// received. It grows as parts arrive and halves on loss (slow start and
// additive increase, multiplicative decrease, as in RFC 5681), so that a large
// answer does not starve small ones. The complete answer is verified against
// the checksum that every part carries.
//
//   Download download(first_part);
//   download.OnPart(first_part, now);
//   for (PartRange range : download.NextFetches(now)) { send a flow::Fetch }
//   download.OnPart(part, now);  // for each part received
//   if (download.complete()) {
//     std::optional<std::string> answer = download.Take();
//   }
#ifndef FILBERTHOLLOW_CALLER_DOWNLOAD_H_
#define FILBERTHOLLOW_CALLER_DOWNLOAD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/messages.h"

namespace filberthollow::caller {

// PartRange is a run of `count` consecutive parts, starting with part `first`.
struct PartRange {
  uint32_t first = 0;
  uint32_t count = 0;
  friend auto operator<=>(const PartRange&, const PartRange&) = default;
};

// Download reassembles one answer. It has no socket or clock: its owner passes
// in the current time and sends the fetches. Not thread-safe.
class Download {
 public:
  // Initial, minimum and maximum congestion window, in parts.
  static constexpr uint32_t kFirstWindow = 8;
  static constexpr uint32_t kMinWindow = 2;
  static constexpr uint32_t kMaxWindow = 128;
  // Initial, minimum and maximum retransmission timeout.
  static constexpr base::Millis kFirstTimeout{100};
  static constexpr base::Millis kMinTimeout{30};
  static constexpr base::Millis kMaxTimeout{1000};

  // Takes size, checksum and status of the answer from `part`, which may be any
  // part of it. Its data is not stored: pass the part to OnPart() as well.
  explicit Download(const flow::Part& part);

  // OnPart stores a received part. Ignores duplicates and parts whose size or
  // checksum differs from that of the part given to the constructor.
  void OnPart(const flow::Part& part, base::Millis now);
  // NextFetches returns the parts to request now, as far as the window allows,
  // and records them as requested at `now`. Parts whose timeout has passed are
  // requested again.
  std::vector<PartRange> NextFetches(base::Millis now);
  // Returns when the next requested part times out; call NextFetches() then.
  // Returns kNever if no part is outstanding.
  base::Millis next_timer() const;

  // Returns whether every part has arrived.
  bool complete() const { return m_received_parts == m_has_part.size(); }
  // Returns the HTTP status of the answer.
  uint16_t status() const { return m_status; }
  // Take moves the answer out, or returns nullopt if its checksum does not
  // match. Requires complete().
  std::optional<std::string> Take();
  // Returns how often a requested part timed out.
  uint64_t refetches() const { return m_refetches; }

 private:
  // Moves parts that timed out to m_lost and halves the window on loss.
  void RequeueOverdue(base::Millis now);
  // Returns the next part to request, lost ones first; nullopt if none is left.
  std::optional<uint32_t> NextMissing();

  const uint64_t m_size;
  const uint64_t m_checksum;
  const uint16_t m_status;
  std::string m_bytes;
  std::vector<bool> m_has_part;
  uint32_t m_received_parts = 0;
  // All parts from here on have never been requested.
  uint32_t m_next_unrequested = 0;
  std::vector<uint32_t> m_lost;
  // Outstanding parts and when each was last requested.
  std::map<uint32_t, base::Millis> m_requested_at;
  uint32_t m_window = kFirstWindow;
  uint32_t m_slow_start_threshold = kMaxWindow;
  uint32_t m_parts_since_growth = 0;
  base::Millis m_timeout = kFirstTimeout;
  base::Millis m_last_window_cut{0};
  uint64_t m_refetches = 0;
};

}  // namespace filberthollow::caller

#endif  // FILBERTHOLLOW_CALLER_DOWNLOAD_H_
