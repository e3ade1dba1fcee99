#include "filberthollow/standins/platform_task.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/platform/http_object_store.h"

namespace filberthollow::standins {
namespace {

using nlohmann::json;
using platform::kObjectsPath;

constexpr uint16_t kHttpCreated = 201;

uint64_t NumberOf(const std::string& text) {
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
  if (request.path == "/faults") {
    OnFaults(request, responder);
  } else if (request.path == "/calls") {
    json calls{{"reads", m_calls.reads},
               {"writes", m_calls.writes},
               {"watches", m_calls.watches}};
    responder->Respond({.body = calls.dump()});
  } else if (m_faults.down) {
    responder->Abort();
  } else if (m_faults.delay > base::Millis(0)) {
    loop().After(m_faults.delay,
                 [this, request, responder] { Handle(request, responder); });
  } else {
    Handle(request, responder);
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
  if (m_faults.down) {
    for (const Waiting& waiting : m_waiting) {
      waiting.responder->Abort();
    }
    m_waiting.clear();
  }
  responder->Respond({.body = "{}"});
}

void PlatformTask::Handle(const net::HttpServerRequest& request,
                          const ResponderPtr& responder) {
  if (!request.path.starts_with(kObjectsPath)) {
    responder->Respond({.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  std::string rest = request.path.substr(kObjectsPath.size());
  size_t slash = rest.find('/');
  ObjectName name{rest.substr(0, slash),
                  slash == rest.npos ? "" : rest.substr(slash + 1)};
  if (request.method != "GET") {
    ++m_calls.writes;
    OnWrite(std::move(name), request, responder);
  } else if (!name.name.empty()) {
    ++m_calls.reads;
    OnRead(name, responder);
  } else if (request.Parameter("watch").empty()) {
    ++m_calls.reads;
    OnList(name.kind, responder);
  } else {
    ++m_calls.watches;
    OnWatch(name.kind, request, responder);
  }
}

std::string PlatformTask::ObjectJson(const ObjectName& name,
                                     const Object& object) {
  return fmt::format(
      R"({{"meta":{{"name":{},"revision":{}}},"spec":{},"status":null}})",
      json(name.name).dump(), object.version, object.spec);
}

void PlatformTask::OnRead(const ObjectName& name,
                          const ResponderPtr& responder) {
  auto object = m_objects.find(name);
  if (object == m_objects.end() || object->second.deleted) {
    responder->Respond({.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  responder->Respond({.body = ObjectJson(name, object->second)});
}

void PlatformTask::OnList(const std::string& kind,
                          const ResponderPtr& responder) {
  std::string items;
  for (const auto& [name, object] : m_objects) {
    if (name.kind == kind && !object.deleted) {
      items += (items.empty() ? "" : ",") + ObjectJson(name, object);
    }
  }
  responder->Respond(
      {.body = fmt::format(R"({{"items":[{}],"hasMore":false,"at":{}}})", items,
                           m_revision)});
}

void PlatformTask::OnWrite(ObjectName name,
                           const net::HttpServerRequest& request,
                           const ResponderPtr& responder) {
  json body = json::parse(request.body, nullptr, false);
  bool create = request.method == "POST";
  uint64_t expected = NumberOf(request.Parameter("revision"));
  if (body.is_object() && body.contains("meta")) {
    expected = body["meta"].value("revision", expected);
    name.name = create ? body["meta"].value("name", "") : name.name;
  }
  auto found = m_objects.find(name);
  bool exists = found != m_objects.end() && !found->second.deleted;
  if (!create && !exists) {
    responder->Respond({.status = net::kHttpNotFound, .body = "{}"});
    return;
  }
  if (exists && (create || found->second.version != expected)) {
    responder->Respond({.status = net::kHttpConflict,
                        .body = ObjectJson(name, found->second)});
    return;
  }
  Object& object = m_objects[name];
  object.version = ++m_revision;
  object.deleted = request.method == "DELETE";
  if (!object.deleted) {
    object.spec = body.is_object() ? body["spec"].dump() : "null";
  }
  AnswerWaiting();
  if (m_faults.lose_answers > 0) {
    --m_faults.lose_answers;
    responder->Abort();
    return;
  }
  responder->Respond({.status = create ? kHttpCreated : net::kHttpOk,
                      .body = ObjectJson(name, object)});
}

void PlatformTask::OnWatch(const std::string& kind,
                           const net::HttpServerRequest& request,
                           const ResponderPtr& responder) {
  uint64_t after = NumberOf(request.Parameter("watch"));
  uint64_t wait = NumberOf(request.Parameter("waitMs"));
  if (wait == 0 || HasChanges(kind, after)) {
    responder->Respond({.body = ChangesJson(kind, after)});
    return;
  }
  m_waiting.push_back({kind, after, responder});
  auto forget = [this, raw = responder.get()] {
    m_waiting.remove_if(
        [raw](const Waiting& w) { return w.responder.get() == raw; });
  };
  responder->SetOnClosed(forget);
  loop().After(base::Millis(static_cast<int64_t>(wait)),
               [this, forget, responder, kind, after] {
                 responder->Respond({.body = ChangesJson(kind, after)});
                 forget();
               });
}

bool PlatformTask::HasChanges(const std::string& kind, uint64_t after) const {
  for (const auto& [name, object] : m_objects) {
    if (object.version > after && name.kind == kind) {
      return true;
    }
  }
  return false;
}

std::string PlatformTask::ChangesJson(const std::string& kind,
                                      uint64_t after) const {
  std::string events;
  for (const auto& [name, object] : m_objects) {
    if (object.version > after && name.kind == kind) {
      events += fmt::format(R"({}{{"removed":{},"object":{}}})",
                            events.empty() ? "" : ",", object.deleted,
                            ObjectJson(name, object));
    }
  }
  return fmt::format(R"({{"events":[{}],"at":{}}})", events, m_revision);
}

void PlatformTask::AnswerWaiting() {
  for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
    if (HasChanges(waiting->kind, waiting->after)) {
      waiting->responder->Respond(
          {.body = ChangesJson(waiting->kind, waiting->after)});
      waiting = m_waiting.erase(waiting);
    } else {
      ++waiting;
    }
  }
}

}  // namespace filberthollow::standins
