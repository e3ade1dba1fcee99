#include "filberthollow/balancer/peers_task.h"

#include <capnp/ez-rpc.h>
#include <fcntl.h>
#include <kj/async-io.h>
#include <unistd.h>

#include <array>

#include "filberthollow/balancer/members_task.h"
#include "filberthollow/base/log.h"
#include "filberthollow/config/config_messages.h"
#include "filberthollow/flow/secret_box.h"
#include "filberthollow/net/loop_task.h"
#include "filberthollow/wire/generated/peer.capnp.h"

namespace filberthollow::balancer {
namespace {

using wire::Snapshot;
using wire::SnapshotRequest;

// Time limit of one snapshot call.
constexpr kj::Duration kCallTimeout = 5 * kj::SECONDS;
constexpr size_t kWakeBufferSize = 64;

capnp::Data::Reader DataOf(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string_view BytesOf(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

}  // namespace

// Rpc is used on the task's thread only.
struct PeersTask::Rpc final : kj::TaskSet::ErrorHandler {
  explicit Rpc(PeersTask& task)
      : server(kj::heap<Server>(task), task.m_listener, 0), tasks(*this) {}

  // Server implements the RPC interface that other balancers call.
  class Server final : public wire::generated::Peer::Server {
   public:
    using Context = SnapshotContext;

    explicit Server(PeersTask& task) : m_task(task) {}
    kj::Promise<void> snapshot(SnapshotContext context) override {
      return m_task.m_rpc->Serve(m_task, context);
    }

   private:
    PeersTask& m_task;
  };

  // A snapshot call that waits for the RecordsReply of the members service.
  struct PendingQuery {
    kj::Own<
        kj::PromiseFulfiller<std::vector<decision::membership::MemberRecord>>>
        fulfiller;
  };

  // Answers a snapshot call. The request must be sealed with a fleet key or the
  // join key.
  kj::Promise<void> Serve(PeersTask& task, Server::Context context);
  void taskFailed(kj::Exception&& error) override {
    base::Log(base::Level::kDebug, "peer_call_failed",
              {{"error", error.getDescription().cStr()}});
  }

  capnp::EzRpcServer server;
  // By the number of the query.
  std::map<uint64_t, PendingQuery> pending;
  kj::TaskSet tasks;
};

kj::Promise<void> PeersTask::Rpc::Serve(PeersTask& task,
                                        Server::Context context) {
  flow::KeyRing ring = task.m_keys;
  auto request = wire::DecodeSnapshotRequest(
      BytesOf(context.getParams().getRequest()), ring);
  if (!request && task.m_join_key) {
    request =
        wire::DecodeSnapshotRequest(BytesOf(context.getParams().getRequest()),
                                    flow::KeyRing({*task.m_join_key}));
  }
  if (!request) {
    task.m_metrics.Count(request.reason());
    return KJ_EXCEPTION(FAILED, "unsealed request");
  }
  auto paf = kj::newPromiseAndFulfiller<
      std::vector<decision::membership::MemberRecord>>();
  uint64_t query = ++task.m_last_query;
  pending[query] = PendingQuery{kj::mv(paf.fulfiller)};
  auto members = task.m_registry.Find<MembersMessage>(kMembersService);
  if (members == nullptr || !members->Post(RecordsQuery{query})) {
    pending.erase(query);
    return KJ_EXCEPTION(OVERLOADED, "members service is busy");
  }
  task.m_metrics.Add("snapshots_served");
  return paf.promise.then(
      [&task, context, wanted = *request](auto records) mutable {
        std::string answer = task.EncodeAnswer(wanted, std::move(records));
        context.getResults().setAnswer(DataOf(answer));
      });
}

PeersTask::PeersTask(kernel::Registry& registry,
                     int listener,
                     std::optional<flow::Key> join_key)
    : m_registry(registry),
      m_listener(listener),
      m_join_key(join_key),
      m_inbox(
          std::make_shared<kernel::Inbox<PeersMessage>>(net::kInboxCapacity,
                                                        [this] { Wake(); })),
      m_random(std::random_device{}()) {
  std::array<int, 2> fds{};
  if (pipe2(fds.data(), O_NONBLOCK | O_CLOEXEC) == 0) {
    m_wake_read = fds[0];
    m_wake_write = fds[1];
  }
  registry.Register(kPeersService, m_inbox);
}

PeersTask::~PeersTask() {
  close(m_wake_write);
}

void PeersTask::Wake() {
  // If the pipe is full, the write fails, but the bytes in it already wake the
  // reader.
  [[maybe_unused]] ssize_t written = write(m_wake_write, "w", 1);
}

void PeersTask::Stop() {
  m_stop = true;
  Wake();
}

void PeersTask::Run() {
  m_rpc = std::make_unique<Rpc>(*this);
  auto wake = m_rpc->server.getLowLevelIoProvider().wrapInputFd(
      m_wake_read, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                       kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                       kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  std::array<char, kWakeBufferSize> bytes{};
  while (!m_stop) {
    wake->tryRead(bytes.data(), 1, bytes.size())
        .wait(m_rpc->server.getWaitScope());
    HandleInbox();
  }
  wake = nullptr;
  m_rpc.reset();
}

void PeersTask::HandleInbox() {
  for (const PeersMessage& message : m_inbox->Drain()) {
    std::visit([this](const auto& m) { Handle(m); }, message);
  }
}

void PeersTask::Handle(const config::KeysChanged& m) {
  m_keys = m.keys;
}

void PeersTask::Handle(const ObjectsChanged& m) {
  m_objects = m.objects;
}

void PeersTask::Handle(const RecordsReply& m) {
  auto pending = m_rpc->pending.find(m.query);
  if (pending != m_rpc->pending.end()) {
    pending->second.fulfiller->fulfill(
        std::vector<decision::membership::MemberRecord>(m.records));
    m_rpc->pending.erase(pending);
  }
}

void PeersTask::Handle(const admin::ReportQuery& m) {
  m.reply_to->Post({m.query_id, kPeersService, m_metrics.Report(), "{}"});
}

flow::KeyRing PeersTask::SnapshotKeys() const {
  return m_keys.empty() && m_join_key ? flow::KeyRing({*m_join_key}) : m_keys;
}

void PeersTask::Handle(const FetchSnapshot& m) {
  flow::KeyRing ring = SnapshotKeys();
  if (ring.empty()) {
    return;
  }
  m_metrics.Add("snapshots_asked");
  SnapshotRequest request{m_random(), m_keys.empty()};
  auto client = kj::heap<capnp::EzRpcClient>(m.peer.Text());
  auto call = client->getMain<wire::generated::Peer>().snapshotRequest();
  call.setRequest(DataOf(wire::EncodeSnapshotRequest(request, ring)));
  auto answered =
      call.send().then([this, nonce = request.nonce](auto response) {
        OnSnapshot(BytesOf(response.getAnswer()), nonce);
      });
  kj::Timer& timer = m_rpc->server.getIoProvider().getTimer();
  m_rpc->tasks.add(timer.timeoutAfter(kCallTimeout, kj::mv(answered))
                       .attach(kj::mv(client)));
}

void PeersTask::OnSnapshot(std::string_view bytes, uint64_t nonce) {
  auto snapshot = wire::DecodeSnapshot(bytes, SnapshotKeys());
  if (!snapshot || snapshot->nonce != nonce) {
    m_metrics.Count(snapshot ? flow::Reason::kMalformed : snapshot.reason());
    return;
  }
  m_metrics.Add("snapshots_taken");
  std::vector<platform::StoredObject> objects = snapshot->objects;
  if (m_join_key && !snapshot->encrypted_keys.empty()) {
    auto keys =
        flow::DecryptSecret(m_join_key->secret, snapshot->encrypted_keys);
    if (keys) {
      // Version 1, so that any version at the platform is newer.
      objects.push_back({platform::kKeysObject, 1, *keys});
    }
  }
  if (auto config =
          m_registry.Find<config::ConfigMessage>(config::kConfigService)) {
    config->Post(config::PeerObjects{std::move(objects)});
  }
  if (auto members = m_registry.Find<MembersMessage>(kMembersService)) {
    members->Post(RecordsFound{snapshot->records});
  }
}

std::string PeersTask::EncodeAnswer(
    const SnapshotRequest& request,
    std::vector<decision::membership::MemberRecord> records) const {
  Snapshot snapshot{.nonce = request.nonce, .records = std::move(records)};
  std::string keys;
  for (const platform::StoredObject& object : m_objects) {
    if (object.name == platform::kKeysObject) {
      keys = object.value.value_or("");
    } else {
      snapshot.objects.push_back(object);
    }
  }
  if (request.want_keys && m_join_key) {
    snapshot.encrypted_keys = flow::EncryptSecret(m_join_key->secret, keys);
    return wire::EncodeSnapshot(snapshot, flow::KeyRing({*m_join_key}));
  }
  return wire::EncodeSnapshot(snapshot, m_keys);
}

}  // namespace filberthollow::balancer
