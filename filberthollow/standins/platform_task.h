// A stand-in for the platform's object API, kept in memory.
//
// It answers the calls of platform/http_object_store.h, counts them, and can
// be made slow, be taken down, or lose answers after a write took effect:
//
//   POST /faults {"down": true, "delay_ms": 50, "lose_answers": 2}
//   GET  /calls  -> {"reads": n, "writes": n, "watches": n}
#ifndef FILBERTHOLLOW_STANDINS_PLATFORM_TASK_H_
#define FILBERTHOLLOW_STANDINS_PLATFORM_TASK_H_

#include <list>
#include <map>
#include <memory>
#include <string>

#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"

namespace filberthollow::standins {

// NoMessage is the message of tasks that only serve HTTP.
struct NoMessage {
  friend bool operator==(NoMessage, NoMessage) = default;
};

class PlatformTask final : public net::LoopTask<NoMessage> {
 public:
  PlatformTask(const base::Clock& clock,
               kernel::Registry& registry,
               base::Address address);
  // Listen opens the port; call it before the kernel starts.
  base::Result<base::Address> Listen() { return m_server.Listen(m_address); }

 protected:
  void OnStart() override {}
  void OnMessage(const NoMessage& /*message*/) override {}

 private:
  using ResponderPtr = std::shared_ptr<net::Responder>;

  struct ObjectKey {
    std::string kind;
    std::string name;
    friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
  };
  struct Object {
    uint64_t revision = 0;
    std::string spec;  // JSON text
    bool deleted = false;
  };
  struct PendingWatch {
    std::string kind;
    uint64_t after_revision = 0;
    ResponderPtr responder;
  };
  struct Faults {
    bool down = false;
    base::Millis delay;
    uint32_t lose_answers = 0;
  };
  struct Calls {
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t watches = 0;
  };

  void OnRequest(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  void HandleObjectCall(const net::HttpServerRequest& request,
                        const ResponderPtr& responder);
  void OnFaults(const net::HttpServerRequest& request,
                const ResponderPtr& responder);
  void OnRead(const ObjectKey& key, const ResponderPtr& responder);
  void OnList(const std::string& kind, const ResponderPtr& responder);
  void OnWrite(ObjectKey key,
               const net::HttpServerRequest& request,
               const ResponderPtr& responder);
  void OnWatch(const std::string& kind,
               const net::HttpServerRequest& request,
               const ResponderPtr& responder);
  static std::string ObjectJson(const ObjectKey& key, const Object& object);
  std::string ChangesJson(const std::string& kind,
                          uint64_t after_revision) const;
  bool HasChanges(const std::string& kind, uint64_t after_revision) const;
  void AnswerPendingWatches();

  const base::Address m_address;
  net::HttpServer m_server;
  std::map<ObjectKey, Object> m_objects;
  uint64_t m_revision = 0;
  std::list<PendingWatch> m_pending_watches;
  Faults m_faults;
  Calls m_calls;
};

}  // namespace filberthollow::standins

#endif  // FILBERTHOLLOW_STANDINS_PLATFORM_TASK_H_
