// EvacuationTask is the evacuations service of a balancer. It watches the
// operator's entries in the platform's object store and passes the list of
// evacuated data centres to its listener. EvacuationEntries decides what the
// list is.
//
// While the platform is unreachable, the last list stays in use. Failed and
// overdue calls are repeated; see StoreWatch.
#ifndef FILBERTHOLLOW_CONFIG_EVACUATION_TASK_H_
#define FILBERTHOLLOW_CONFIG_EVACUATION_TASK_H_

#include <functional>
#include <memory>
#include <string>

#include "filberthollow/config/config_messages.h"
#include "filberthollow/config/evacuation_entries.h"
#include "filberthollow/config/fleet_config_task.h"
#include "filberthollow/config/store_watch.h"
#include "filberthollow/metrics/metrics.h"
#include "filberthollow/net/http_client.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/platform/object_store.h"

namespace filberthollow::config {

// Called with the first list and with the list after each change of an entry,
// also if the names are the same; see EvacuationChange::has_news. Runs on the
// thread of the task, so it must not block.
using EvacuationListener =
    std::function<void(const decision::membership::EvacuationList&)>;

struct EvacuationOptions {
  StoreFactory store;
  // Time within which an entry must be in force everywhere.
  base::Millis deadline{5000};
  // The rate of reads that the store grants to this task in all balancers
  // together.
  uint32_t store_reads_per_second = 2000;
  uint64_t seed = 0;  // of the jitter of retries
  std::function<base::Millis()> wall_clock = &base::WallMillis;
};

class EvacuationTask final : public net::LoopTask<EvacuationMessage> {
 public:
  EvacuationTask(const base::Clock& clock,
                 kernel::Registry& registry,
                 const EvacuationOptions& options,
                 EvacuationListener listener);

 protected:
  void OnStart() override { m_watch.Start(); }
  void OnMessage(const EvacuationMessage& message) override;

 private:
  void Handle(const FleetSizeChanged& m) {
    m_watch.SetFleet(m.balancers, m.turn);
  }
  void Handle(const admin::ReportQuery& m);

  // Returns whether a list is in force.
  bool HasList() const { return m_entries.revision() > 0; }
  AnswerEffect OnAnswer(const platform::WatchAnswer& answer);
  // Logs the effect of an answer and passes the list to the listener.
  void Publish(const EvacuationChange& change);
  // Records whether the platform answers, and logs changes. `why` is the error
  // if it does not.
  void SetReachable(bool reachable, const std::string& why);

  net::HttpClient m_client;
  const std::unique_ptr<platform::ObjectStore> m_store;
  const EvacuationListener m_listener;
  EvacuationEntries m_entries;
  // Whether to request all entries, since the last answer omitted a change.
  bool m_relist = false;
  bool m_reachable = true;  // whether the last watch was answered in time
  metrics::Metrics m_metrics;
  StoreWatch m_watch;
};

}  // namespace filberthollow::config

#endif  // FILBERTHOLLOW_CONFIG_EVACUATION_TASK_H_
