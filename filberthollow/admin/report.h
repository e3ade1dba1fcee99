// The messages by which the admin service queries other services for reports.
#ifndef FILBERTHOLLOW_ADMIN_REPORT_H_
#define FILBERTHOLLOW_ADMIN_REPORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "filberthollow/base/ids.h"
#include "filberthollow/kernel/inbox.h"
#include "filberthollow/metrics/metrics.h"

namespace filberthollow::admin {

// Report is one service's answer to a ReportQuery.
struct Report {
  uint64_t query_id = 0;  // of the query
  std::string service;
  metrics::MetricsReport metrics;
  std::string status_json;  // a JSON object: the status, or the explanation
  bool ready = true;        // ready for work
  friend bool operator==(const Report&, const Report&) = default;
};

using ReportInbox = kernel::Inbox<Report>;

// ReportQuery asks a service to post a Report to `reply_to`.
struct ReportQuery {
  uint64_t query_id = 0;
  base::FlowId explain{};  // the flow to explain; zero requests the status
  std::shared_ptr<ReportInbox> reply_to;
  friend bool operator==(const ReportQuery&, const ReportQuery&) = default;
};

}  // namespace filberthollow::admin

#endif  // FILBERTHOLLOW_ADMIN_REPORT_H_
