#include "filberthollow/config/evacuation_task.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "filberthollow/base/log.h"

namespace filberthollow::config {
namespace {

using base::Level;

std::string Joined(const std::vector<std::string>& names) {
  return fmt::format("{}", fmt::join(names, ","));
}

}  // namespace

EvacuationTask::EvacuationTask(const base::Clock& clock,
                               kernel::Registry& registry,
                               const EvacuationOptions& options,
                               EvacuationListener listener)
    : LoopTask(clock, registry, kEvacuationService),
      m_client(loop()),
      m_store(options.store(m_client)),
      m_listener(std::move(listener)),
      m_watch(loop(),
              *m_store,
              m_metrics,
              {.prefix = platform::kEvacuationPrefix,
               .counters = {.calls = "evacuation_watches",
                            .failed = "evacuation_watches_failed",
                            .overdue = "evacuation_watches_overdue"},
               .deadline = options.deadline,
               .store_reads_per_second = options.store_reads_per_second,
               .seed = options.seed,
               .wall_clock = options.wall_clock},
              {.known_revision =
                   [this] { return m_relist ? 0 : m_entries.revision(); },
               .has_state = [this] { return HasList(); },
               .on_answer =
                   [this](const platform::WatchAnswer& answer) {
                     return OnAnswer(answer);
                   },
               .on_reachable =
                   [this](bool reachable, const std::string& why) {
                     SetReachable(reachable, why);
                   }}) {}

void EvacuationTask::OnMessage(const EvacuationMessage& message) {
  std::visit([this](const auto& m) { Handle(m); }, message);
}

void EvacuationTask::Handle(const admin::ReportQuery& m) {
  m_metrics.Set("evacuations_revision", m_entries.revision());
  m_metrics.Set("evacuations_in_force", m_entries.entries().size());
  nlohmann::json data_centres = nlohmann::json::array();
  for (const auto& [name, entry] : m_entries.entries()) {
    data_centres.push_back({{"name", name},
                            {"revision", entry.revision},
                            {"in_force_ms", (Now() - entry.since).count()}});
  }
  nlohmann::json status{{"revision", m_entries.revision()},
                        {"platform_reachable", m_reachable},
                        {"data_centres", std::move(data_centres)}};
  m.reply_to->Post({m.query_id, name(), m_metrics.Report(), status.dump()});
}

AnswerEffect EvacuationTask::OnAnswer(const platform::WatchAnswer& answer) {
  std::optional<EvacuationChange> change = m_entries.Apply(answer, Now());
  if (!change) {
    return AnswerEffect::kOutdated;
  }
  Publish(*change);
  // The change that could not be read may be a removal, which only a complete
  // list shows.
  m_relist = !answer.complete && answer.unreadable > 0;
  return m_relist ? AnswerEffect::kIncomplete : AnswerEffect::kApplied;
}

void EvacuationTask::Publish(const EvacuationChange& change) {
  m_metrics.Add("evacuations_malformed", change.malformed);
  m_metrics.Add("evacuations_lost", change.lost.size());
  if (!change.has_news) {
    return;
  }
  decision::membership::EvacuationList list = m_entries.List();
  base::Log(Level::kInfo, "evacuations_in_force",
            {{"revision", list.revision},
             {"data_centres", Joined(list.data_centres)},
             {"added", Joined(change.added)},
             {"removed", Joined(change.removed)},
             {"malformed", change.malformed}});
  if (!change.lost.empty()) {
    base::Log(
        Level::kError, "evacuation_lost",
        {{"revision", list.revision}, {"data_centres", Joined(change.lost)}});
  }
  if (auto omitted = m_entries.OmittedNames(); !omitted.empty()) {
    base::Log(Level::kError, "evacuations_over_limit",
              {{"limit", decision::membership::kMaxEvacuations},
               {"data_centres", Joined(omitted)}});
  }
  m_listener(list);
}

void EvacuationTask::SetReachable(bool reachable, const std::string& why) {
  if (reachable == m_reachable) {
    return;
  }
  m_reachable = reachable;
  if (reachable) {
    base::Log(Level::kInfo, "evacuations_reachable");
  } else {
    base::Log(Level::kWarning, "evacuations_unreachable", {{"error", why}});
  }
}

}  // namespace filberthollow::config
