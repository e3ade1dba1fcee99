// A stand-in (test double) for the platform's object API, kept in memory.
//
// It serves the calls that platform/http_object_store.h makes and counts them.
// Faults can be injected over HTTP: a delay before each object call, an outage,
// or writes that take effect while their answers are lost:
//
//   POST /faults {"down": true, "delay_ms": 50, "lose_answers": 2}
//   POST /faults {"extra_objects": [{"meta": 7}]}
//   POST /faults {"silent_kind": "config"}
//   GET  /calls  -> {"reads": n, "writes": n, "watches": n, "silenced": n}
//
// Answers to lists and watches of the silent kind are lost, and counted as
// silenced: their connections stay open and return nothing further.
//
// Extra objects precede those of each list, and the changes in each answer to a
// watch, of every kind.
//
// Each POST to /faults replaces all faults; a field left out means no such
// fault.
//
// The store can be restored from an older copy of itself:
//
//   POST /copy     copies the objects and the revision counter
//   POST /restore  returns to that copy, so that later revisions are given out
//                  again, and aborts the watches that wait; 409 without a copy
//
//   POST /compact  forgets all changes so far: watches from earlier revisions
//                  get 410, also those that wait
//
// Every answer of the object API has the header "Store-Era", which starts at 1
// and rises by one with each restore. A watch from a revision that the store
// does not have yet gets 410. GET /calls counts calls of the object API only.
//
// The five paths above are served during an outage too.
#ifndef FILBERTHOLLOW_STANDINS_PLATFORM_TASK_H_
#define FILBERTHOLLOW_STANDINS_PLATFORM_TASK_H_

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filberthollow/net/http_server.h"
#include "filberthollow/net/loop_task.h"

namespace filberthollow::standins {

// NoMessage is the message type of tasks that receive no messages from other
// tasks because they only serve HTTP.
struct NoMessage {
  friend bool operator==(NoMessage, NoMessage) = default;
};

// PlatformTask serves the object API on one address. It owns its sockets and
// objects, and handles all calls in its own loop.
class PlatformTask final : public net::LoopTask<NoMessage> {
 public:
  PlatformTask(const base::Clock& clock,
               kernel::Registry& registry,
               base::Address address);
  // Opens the port and returns its address; port 0 lets the operating system
  // choose one. Call it before the kernel starts.
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
    friend bool operator==(const Object&, const Object&) = default;
  };
  struct Contents {
    std::map<ObjectKey, Object> objects;
    uint64_t revision = 0;  // of the last write
    friend bool operator==(const Contents&, const Contents&) = default;
  };
  // A watch call that waits for a change after `after_revision`.
  struct PendingWatch {
    std::string kind;
    uint64_t after_revision = 0;
    ResponderPtr responder;
  };
  struct Faults {
    bool down = false;          // abort every object call
    base::Millis delay;         // before each object call is handled
    uint32_t lose_answers = 0;  // number of writes still to leave unanswered
    // Kind whose answers to lists and watches are lost.
    std::string silent_kind;
    // JSON texts of objects that are reported with the others.
    std::vector<std::string> extra_objects;
  };
  struct Calls {
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t watches = 0;
    uint64_t silenced = 0;
  };

  void OnRequest(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  // Handles a call of the object API.
  void HandleObjectCall(const net::HttpServerRequest& request,
                        const ResponderPtr& responder);
  void OnFaults(const net::HttpServerRequest& request,
                const ResponderPtr& responder);
  void OnCalls(const net::HttpServerRequest& request,
               const ResponderPtr& responder);
  void OnCopy(const net::HttpServerRequest& request,
              const ResponderPtr& responder);
  void OnRestore(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  void OnCompact(const net::HttpServerRequest& request,
                 const ResponderPtr& responder);
  // Answers a call of the object API, with the era of the store.
  void Answer(const ResponderPtr& responder, net::HttpResponse response) const;
  // Answers a list or a watch of `kind`, or loses the answer.
  void AnswerOrLose(const std::string& kind,
                    const ResponderPtr& responder,
                    net::HttpResponse response);
  void OnRead(const ObjectKey& key, const ResponderPtr& responder);
  void OnList(const std::string& kind, const ResponderPtr& responder);
  void OnWrite(ObjectKey key,
               const net::HttpServerRequest& request,
               const ResponderPtr& responder);
  void OnWatch(const std::string& kind,
               const net::HttpServerRequest& request,
               const ResponderPtr& responder);
  // Returns the object in the JSON form of the platform.
  static std::string ObjectJson(const ObjectKey& key, const Object& object);
  // Returns the objects of `kind` that were changed or deleted after
  // `after_revision`, as the answer of a watch.
  std::string ChangesJson(const std::string& kind,
                          uint64_t after_revision) const;
  bool HasChanges(const std::string& kind, uint64_t after_revision) const;
  // Answers and removes the watches that have changes to report.
  void AnswerPendingWatches();
  void AbortPendingWatches();

  const base::Address m_address;
  net::HttpServer m_server;
  Contents m_contents;
  std::optional<Contents> m_copy;
  uint64_t m_era = 1;
  uint64_t m_oldest_revision = 0;  // from which changes are known
  std::list<PendingWatch> m_pending_watches;
  // Keeps the connections open whose answers were lost.
  std::vector<ResponderPtr> m_silent;
  Faults m_faults;
  Calls m_calls;
};

}  // namespace filberthollow::standins

#endif  // FILBERTHOLLOW_STANDINS_PLATFORM_TASK_H_
