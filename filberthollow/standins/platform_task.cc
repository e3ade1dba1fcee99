#include "filberthollow/standins/platform_task.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "filberthollow/platform/http_object_store.h"

namespace filberthollow::standins {
namespace {

using nlohmann::json;
using platform::kObjectsPath;

constexpr uint16_t kHttpCreated = 201;
constexpr const char* kEraHeader = "store-era:";

uint64_t ParseNumber(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

PlatformTask::PlatformTask(const base::Clock& clock,
                           kernel::Registry& registry,
                           base::Address address)
    : LoopTask(clock, registry, "platform"),
      m_address(address),
      m_server(loop(), [this](const auto& request, auto responder) {
        OnRequest(request, std::move(responder));
      }) {}

void PlatformTask::OnRequest(const net::HttpServerRequest& request,
                             const ResponderPtr& responder) {
  struct ControlCall {
    std::string_view path;
    void (PlatformTask::*handle)(const net::HttpServerRequest&,
                                 const ResponderPtr&);
  };
  static constexpr std::array<ControlCall, 5> kControlCalls{{
      {"/faults", &PlatformTask::OnFaults},
      {"/calls", &PlatformTask::OnCalls},
      {"/copy", &PlatformTask::OnCopy},
      {"/restore", &PlatformTask::OnRestore},
      {"/compact", &PlatformTask::OnCompact},
  }};
  for (const ControlCall& call : kControlCalls) {
    if (request.path == call.path) {
      (this->*call.handle)(request, responder);
      return;
    }
  }
  if (m_faults.down) {
    responder->Abort();
  } else if (m_faults.delay > base::Millis(0)) {
    loop().After(m_faults.delay, [this, request, responder] {
      HandleObjectCall(request, responder);
    });
  } else {
    HandleObjectCall(request, responder);
  }
}

void PlatformTask::OnFaults(const net::HttpServerRequest& request,
                            const ResponderPtr& responder) {
  json faults = json::parse(request.body, nullptr, false);
  if (!faults.is_object()) {
    responder->Respond({.status = net::kHttpBadRequest});
    return;
  }
  m_faults.down = faults.value("down", false);
  m_faults.delay = base::Millis(faults.value("delay_ms", int64_t{0}));
  m_faults.lose_answers = faults.value("lose_answers", 0U);
  m_faults.silent_kind = faults.value("silent_kind", "");
  m_faults.extra_objects.clear();
  for (const json& object : faults.value("extra_objects", json::array())) {
    m_faults.extra_objects.push_back(object.dump());
  }
  if (m_faults.down) {
    AbortPendingWatches();
  }
  responder->Respond({.body = "{}"});
}

void PlatformTask::OnCalls(const net::HttpServerRequest& /*request*/,
                           const ResponderPtr& responder) {
  json calls{{"reads", m_calls.reads},
             {"writes", m_calls.writes},
             {"watches", m_calls.watches},
             {"silenced", m_calls.silenced}};
  responder->Respond({.body = calls.dump()});
}

void PlatformTask::OnCopy(const net::HttpServerRequest& /*request*/,
                          const ResponderPtr& responder) {
  m_copy = m_contents;
  responder->Respond({.body = "{}"});
}

void PlatformTask::OnRestore(const net::HttpServerRequest& /*request*/,
                             const ResponderPtr& responder) {
  if (!m_copy) {
    responder->Respond({.status = net::kHttpConflict, .body = "{}"});
    return;
  }
  m_contents = *m_copy;
  m_oldest_revision = std::min(m_oldest_revision, m_contents.revision);
  ++m_era;
  AbortPendingWatches();
  responder->Respond({.body = "{}"});
}

void PlatformTask::OnCompact(const net::HttpServerRequest& /*request*/,
                             const ResponderPtr& responder) {
  m_oldest_revision = m_contents.revision;
  std::erase_if(m_contents.objects,
                [](const auto& entry) { return entry.second.deleted; });
  m_pending_watches.remove_if([this](const PendingWatch& pending) {
    bool gone = pending.after_revision < m_oldest_revision;
    if (gone) {
      AnswerOrLose(pending.kind, pending.responder,
                   {.status = net::kHttpGone, .body = "{}"});
    }
    return gone;
  });
  responder->Respond({.body = "{}"});
}

void PlatformTask::Answer(const ResponderPtr& responder,
                          net::HttpResponse response) const {
  response.headers.push_back({kEraHeader, std::to_string(m_era)});
  responder->Respond(std::move(response));
}

void PlatformTask::AnswerOrLose(const std::string& kind,
                                const ResponderPtr& responder,
                                net::HttpResponse response) {
  if (kind == m_faults.silent_kind) {
    ++m_calls.silenced;
    m_silent.push_back(responder);
    return;
  }
  Answer(responder, std::move(response));
}

void PlatformTask::HandleObjectCall(const net::HttpServerRequest& request,
                                    const ResponderPtr& responder) {
  if (!request.path.starts_with(kObjectsPath)) {
    Answer(responder, {.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  std::string object_path = request.path.substr(kObjectsPath.size());
  size_t slash = object_path.find('/');
  ObjectKey key{object_path.substr(0, slash),
                slash == object_path.npos ? "" : object_path.substr(slash + 1)};
  if (request.method != "GET") {
    ++m_calls.writes;
    OnWrite(std::move(key), request, responder);
  } else if (!key.name.empty()) {
    ++m_calls.reads;
    OnRead(key, responder);
  } else if (request.Parameter("watch").empty()) {
    ++m_calls.reads;
    OnList(key.kind, responder);
  } else {
    ++m_calls.watches;
    OnWatch(key.kind, request, responder);
  }
}

std::string PlatformTask::ObjectJson(const ObjectKey& key,
                                     const Object& object) {
  return fmt::format(
      R"({{"meta":{{"name":{},"revision":{}}},"spec":{},"status":null}})",
      json(key.name).dump(), object.revision, object.spec);
}

void PlatformTask::OnRead(const ObjectKey& key, const ResponderPtr& responder) {
  auto object = m_contents.objects.find(key);
  if (object == m_contents.objects.end() || object->second.deleted) {
    Answer(responder, {.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  Answer(responder, {.body = ObjectJson(key, object->second)});
}

void PlatformTask::OnList(const std::string& kind,
                          const ResponderPtr& responder) {
  std::string items = fmt::format("{}", fmt::join(m_faults.extra_objects, ","));
  for (const auto& [key, object] : m_contents.objects) {
    if (key.kind == kind && !object.deleted) {
      items += (items.empty() ? "" : ",") + ObjectJson(key, object);
    }
  }
  AnswerOrLose(
      kind, responder,
      {.body = fmt::format(R"({{"items":[{}],"hasMore":false,"at":{}}})", items,
                           m_contents.revision)});
}

void PlatformTask::OnWrite(ObjectKey key,
                           const net::HttpServerRequest& request,
                           const ResponderPtr& responder) {
  json body = json::parse(request.body, nullptr, false);
  bool create = request.method == "POST";
  uint64_t expected = ParseNumber(request.Parameter("revision"));
  if (body.is_object() && body.contains("meta")) {
    expected = body["meta"].value("revision", expected);
    key.name = create ? body["meta"].value("name", "") : key.name;
  }
  auto found = m_contents.objects.find(key);
  bool exists = found != m_contents.objects.end() && !found->second.deleted;
  if (!create && !exists) {
    Answer(responder, {.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  if (exists && (create || found->second.revision != expected)) {
    Answer(responder, {.status = net::kHttpConflict,
                       .body = ObjectJson(key, found->second)});
    return;
  }
  Object& object = m_contents.objects[key];
  object.revision = ++m_contents.revision;
  object.deleted = request.method == "DELETE";
  if (!object.deleted) {
    object.spec = body.is_object() ? body["spec"].dump() : "null";
  }
  AnswerPendingWatches();
  if (m_faults.lose_answers > 0) {
    --m_faults.lose_answers;
    responder->Abort();
    return;
  }
  Answer(responder, {.status = create ? kHttpCreated : net::kHttpOk,
                     .body = ObjectJson(key, object)});
}

void PlatformTask::OnWatch(const std::string& kind,
                           const net::HttpServerRequest& request,
                           const ResponderPtr& responder) {
  uint64_t after_revision = ParseNumber(request.Parameter("watch"));
  uint64_t wait = ParseNumber(request.Parameter("waitMs"));
  if (after_revision > m_contents.revision ||
      after_revision < m_oldest_revision) {
    AnswerOrLose(kind, responder, {.status = net::kHttpGone, .body = "{}"});
    return;
  }
  if (wait == 0 || HasChanges(kind, after_revision)) {
    AnswerOrLose(kind, responder, {.body = ChangesJson(kind, after_revision)});
    return;
  }
  m_pending_watches.push_back({kind, after_revision, responder});
  // Returns whether the watch was still waiting.
  auto remove_watch = [this, raw = responder.get()] {
    return m_pending_watches.remove_if([raw](const PendingWatch& w) {
      return w.responder.get() == raw;
    }) > 0;
  };
  responder->SetOnClosed(remove_watch);
  loop().After(base::Millis(static_cast<int64_t>(wait)),
               [this, remove_watch, responder, kind, after_revision] {
                 if (remove_watch()) {
                   AnswerOrLose(kind, responder,
                                {.body = ChangesJson(kind, after_revision)});
                 }
               });
}

bool PlatformTask::HasChanges(const std::string& kind,
                              uint64_t after_revision) const {
  for (const auto& [key, object] : m_contents.objects) {
    if (object.revision > after_revision && key.kind == kind) {
      return true;
    }
  }
  return false;
}

std::string PlatformTask::ChangesJson(const std::string& kind,
                                      uint64_t after_revision) const {
  std::string events;
  for (const auto& [key, object] : m_contents.objects) {
    if (object.revision > after_revision && key.kind == kind) {
      events += fmt::format(R"({}{{"removed":{},"object":{}}})",
                            events.empty() ? "" : ",", object.deleted,
                            ObjectJson(key, object));
    }
  }
  if (!events.empty()) {
    for (const std::string& object : m_faults.extra_objects) {
      events =
          fmt::format(R"({{"removed":false,"object":{}}},{})", object, events);
    }
  }
  return fmt::format(R"({{"events":[{}],"at":{}}})", events,
                     m_contents.revision);
}

void PlatformTask::AnswerPendingWatches() {
  for (auto pending = m_pending_watches.begin();
       pending != m_pending_watches.end();) {
    if (HasChanges(pending->kind, pending->after_revision)) {
      AnswerOrLose(
          pending->kind, pending->responder,
          {.body = ChangesJson(pending->kind, pending->after_revision)});
      pending = m_pending_watches.erase(pending);
    } else {
      ++pending;
    }
  }
}

void PlatformTask::AbortPendingWatches() {
  for (const PendingWatch& pending : m_pending_watches) {
    pending.responder->Abort();
  }
  m_pending_watches.clear();
}

}  // namespace filberthollow::standins
