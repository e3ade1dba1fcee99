// Fetching a large answer in parts, over links that lose and reorder.
//
// The caller asks for parts within a window that grows while parts arrive and
// halves on a loss (additive increase, multiplicative decrease; slow start as
// in RFC 5681), so that a large answer does not crowd out small ones. The
// whole is checked against the checksum that every part carries.
//
//   Download download(first_part);
//   for (PartRange range : download.NextFetches(now)) send Fetch
//   download.OnPart(part, now);
//   if (download.complete()) std::optional<std::string> answer = Take();
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

// PartRange asks for `count` parts from `first` on.
struct PartRange {
  uint32_t first = 0;
  uint32_t count = 0;
  friend auto operator<=>(const PartRange&, const PartRange&) = default;
};

class Download {
 public:
  static constexpr uint32_t kFirstWindow = 8;  // parts
  static constexpr uint32_t kMinWindow = 2;
  static constexpr uint32_t kMaxWindow = 128;
  static constexpr base::Millis kFirstTimeout{100};
  static constexpr base::Millis kMinTimeout{30};
  static constexpr base::Millis kMaxTimeout{1000};

  // Begins with any part of the answer; it still has to be given to OnPart().
  explicit Download(const flow::Part& part);

  // OnPart takes a part; one that contradicts the first is ignored.
  void OnPart(const flow::Part& part, base::Millis now);
  // NextFetches returns what to ask for now, and notes it as asked for.
  std::vector<PartRange> NextFetches(base::Millis now);
  // Returns when to call NextFetches() again if nothing arrives before.
  base::Millis next_timer() const;

  bool complete() const { return m_received_parts == m_has_part.size(); }
  uint16_t status() const { return m_status; }
  // Take returns the answer, or nothing if its checksum does not match.
  std::optional<std::string> Take();
  // Returns how many parts were asked for again.
  uint64_t refetches() const { return m_refetches; }

 private:
  void RequeueOverdue(base::Millis now);
  std::optional<uint32_t> NextMissing();

  const uint64_t m_size;
  const uint64_t m_checksum;
  const uint16_t m_status;
  std::string m_bytes;
  std::vector<bool> m_has_part;
  uint32_t m_received_parts = 0;
  uint32_t m_next_unrequested = 0;  // first part never asked for
  std::vector<uint32_t> m_lost;
  std::map<uint32_t, base::Millis> m_requested_at;  // when each was asked for
  uint32_t m_window = kFirstWindow;
  uint32_t m_slow_start_threshold = kMaxWindow;
  uint32_t m_parts_since_growth = 0;
  base::Millis m_timeout = kFirstTimeout;
  base::Millis m_last_window_cut{0};
  uint64_t m_refetches = 0;
};

}  // namespace filberthollow::caller

#endif  // FILBERTHOLLOW_CALLER_DOWNLOAD_H_
