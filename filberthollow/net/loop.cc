#include "filberthollow/net/loop.h"

#include <libwebsockets.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "filberthollow/net/lws_protocols.h"

namespace filberthollow::net {
namespace {

constexpr unsigned kReceiveBufferBytes = 16384;
constexpr int kMaxOpenSockets = 4096;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kNanosPerMilli = 1'000'000;
constexpr unsigned kLwsTimeoutSeconds = 3600;
// TCP keep-alive detects an unresponsive server after 3 s. A longer time would
// let a configuration watch miss changes for longer than a change may take.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

using ReadableCallback = std::function<void()>;

}  // namespace

struct Loop::Callbacks {
  // Handles wake-ups and the descriptors adopted by WatchReadable().
  static int OnRaw(lws* wsi,
                   lws_callback_reasons reason,
                   void* /*user*/,
                   void* /*in*/,
                   size_t /*len*/) {
    switch (reason) {
      case LWS_CALLBACK_RAW_RX_FILE:
        (*static_cast<ReadableCallback*>(lws_get_opaque_user_data(wsi)))();
        break;
      case LWS_CALLBACK_RAW_CLOSE_FILE:
        delete static_cast<ReadableCallback*>(lws_get_opaque_user_data(wsi));
        lws_set_opaque_user_data(wsi, nullptr);
        break;
      case LWS_CALLBACK_EVENT_WAIT_CANCELLED: {
        auto* loop = static_cast<Loop*>(lws_context_user(lws_get_context(wsi)));
        // libwebsockets notifies every protocol of every vhost; only the loop's
        // own vhost calls the wake handler.
        bool first = lws_get_vhost(wsi) == loop->m_vhost;
        if (first && loop->m_on_wake) {
          loop->m_on_wake();
        }
        break;
      }
      default:
        break;
    }
    return 0;
  }
};

Loop::Loop(const base::Clock& clock) : m_clock(clock) {
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.user = this;
  info.pt_serv_buf_size = kReceiveBufferBytes;
  info.fd_limit_per_thread = kMaxOpenSockets;
  // Each exchange has its own timeout, and an idle watch is not an error, so
  // the default timeout of libwebsockets is raised.
  info.timeout_secs = kLwsTimeoutSeconds;
  m_context = lws_create_context(&info);

  static const std::array<lws_protocols, 3> protocols{{
      {"raw", &Callbacks::OnRaw, 0, 0, 0, nullptr, 0},
      {internal::kHttpClientProtocol, &internal::OnHttpClient, 0, 0, 0, nullptr,
       0},
      {nullptr, nullptr, 0, 0, 0, nullptr, 0},
  }};
  lws_context_creation_info vhost{};
  vhost.port = CONTEXT_PORT_NO_LISTEN;
  vhost.protocols = protocols.data();
  vhost.vhost_name = "loop";
  vhost.ka_time = kKeepAliveSeconds;
  vhost.ka_interval = kKeepAliveSeconds;
  vhost.ka_probes = kKeepAliveProbes;
  m_vhost = lws_create_vhost(m_context, &vhost);
  m_timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  WatchReadable(m_timer_fd, [this] { FireTimers(); });
}

Loop::~Loop() {
  Shutdown();
}

void Loop::Shutdown() {
  if (m_closing) {
    return;
  }
  {
    std::lock_guard lock(m_wake_mutex);
    m_closing = true;
  }
  m_timers.clear();
  lws_context_destroy(m_context);
}

void Loop::Run() {
  RunUntil([this] { return m_quit.load(); });
}

void Loop::RunUntil(const std::function<bool()>& done) {
  while (!done()) {
    lws_service(m_context, 0);
    ++m_wakeups;
  }
}

void Loop::Quit() {
  m_quit = true;
  Wake();
}

void Loop::Wake() {
  std::lock_guard lock(m_wake_mutex);
  if (m_closing) {
    return;
  }
  lws_cancel_service(m_context);
}

void Loop::SetOnWake(std::function<void()> on_wake) {
  m_on_wake = std::move(on_wake);
}

Loop::TimerId Loop::After(base::Millis delay, std::function<void()> callback) {
  TimerId id{m_clock.Now() + delay, ++m_next_timer};
  bool first = m_timers.empty() || id < m_timers.begin()->first;
  m_timers.emplace(id, std::move(callback));
  if (first && !m_closing) {
    ArmNextTimer();
  }
  return id;
}

void Loop::Cancel(TimerId timer) {
  m_timers.erase(timer);
}

void Loop::ArmNextTimer() {
  itimerspec when{};  // all zero disarms
  if (!m_timers.empty()) {
    base::Millis wait = m_timers.begin()->first.first - m_clock.Now();
    int64_t ms = std::max<int64_t>(wait.count(), 0);
    when.it_value.tv_sec = ms / kMillisPerSecond;
    when.it_value.tv_nsec =
        std::max<int64_t>(ms % kMillisPerSecond * kNanosPerMilli, 1);
  }
  timerfd_settime(m_timer_fd, 0, &when, nullptr);
}

void Loop::FireTimers() {
  uint64_t expirations = 0;
  [[maybe_unused]] ssize_t got =
      read(m_timer_fd, &expirations, sizeof(expirations));
  base::Millis now = m_clock.Now();
  while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
    auto timer = m_timers.extract(m_timers.begin());
    timer.mapped()();
  }
  ArmNextTimer();
}

bool Loop::WatchReadable(int fd, std::function<void()> callback) {
  lws_sock_file_fd_type descriptor;
  descriptor.filefd = fd;
  lws* wsi = lws_adopt_descriptor_vhost(m_vhost, LWS_ADOPT_RAW_FILE_DESC,
                                        descriptor, "raw", nullptr);
  if (wsi == nullptr) {
    return false;
  }
  lws_set_opaque_user_data(wsi, new ReadableCallback(std::move(callback)));
  return true;
}

}  // namespace filberthollow::net
