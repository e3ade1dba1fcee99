#include "filberthollow/net/http_server.h"

#include <libwebsockets.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "filberthollow/net/lws_protocols.h"
#include "filberthollow/net/tcp_listener.h"

namespace filberthollow::net {
namespace {

using internal::CustomHeader;

constexpr size_t kWriteChunkBytes = 16384;
constexpr size_t kHeaderBufferBytes = 1024;
constexpr size_t kMaxParameterBytes = 512;
constexpr int kIdleTimeoutSeconds = 75;

struct MethodToken {
  lws_token_indexes token;
  std::string_view method;
};

constexpr std::array<MethodToken, 4> kMethods{{
    {WSI_TOKEN_GET_URI, "GET"},
    {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},
    {WSI_TOKEN_DELETE_URI, "DELETE"},
}};

std::string HeaderByToken(lws* wsi, lws_token_indexes token) {
  int length = lws_hdr_total_length(wsi, token);
  if (length <= 0) {
    return "";
  }
  std::string value(static_cast<size_t>(length) + 1, '\0');
  lws_hdr_copy(wsi, value.data(), length + 1, token);
  value.resize(static_cast<size_t>(length));
  return value;
}

// libwebsockets stores each query parameter as a separate fragment.
std::string QueryOf(lws* wsi) {
  std::string query;
  std::array<char, kMaxParameterBytes> buffer{};
  int fragment = 0;
  while (lws_hdr_copy_fragment(wsi, buffer.data(), buffer.size(),
                               WSI_TOKEN_HTTP_URI_ARGS, fragment++) > 0) {
    query += query.empty() ? "" : "&";
    query += buffer.data();
  }
  return query;
}

const unsigned char* AsBytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.c_str());
}

HttpServerRequest ReadHead(lws* wsi) {
  HttpServerRequest request;
  for (const MethodToken& row : kMethods) {
    if (lws_hdr_total_length(wsi, row.token) > 0) {
      request.method = row.method;
      request.path = HeaderByToken(wsi, row.token);
    }
  }
  request.query = QueryOf(wsi);
  request.request_id = CustomHeader(wsi, kRequestIdHeader);
  request.deadline = CustomHeader(wsi, kDeadlineHeader);
  return request;
}

}  // namespace

std::string HttpServerRequest::Parameter(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    size_t end = std::min(rest.find('&'), rest.size());
    std::string_view pair = rest.substr(0, end);
    size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return "";
}

void Responder::Respond(HttpResponse response) {
  if (m_responded || m_wsi == nullptr) {
    return;
  }
  m_responded = true;
  m_response = std::move(response);
  lws_rx_flow_control(m_wsi, 1);
  lws_callback_on_writable(m_wsi);
}

void Responder::SetOnClosed(std::function<void()> on_closed) {
  m_on_closed = std::move(on_closed);
}

void Responder::Abort() {
  if (m_wsi != nullptr) {
    lws_set_timeout(m_wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

// State of a connection, which carries one request at a time. libwebsockets
// allocates and zeroes the SessionSlot; each request creates a new Connection.
struct HttpServer::Connection {
  HttpServerRequest request;
  std::shared_ptr<Responder> responder;
  bool head_written = false;
};

struct HttpServer::Callbacks {
  struct SessionSlot {
    Connection* connection;
  };

  static int OnHttp(lws* wsi,
                    lws_callback_reasons reason,
                    void* user,
                    void* in,
                    size_t len) {
    auto* slot = static_cast<SessionSlot*>(user);
    switch (reason) {
      case LWS_CALLBACK_HTTP:
        return Begin(wsi, slot);
      case LWS_CALLBACK_HTTP_BODY:
        return AddBody(slot->connection, {static_cast<const char*>(in), len});
      case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return Handle(wsi, slot->connection);
      case LWS_CALLBACK_HTTP_WRITEABLE:
        return slot == nullptr || slot->connection == nullptr
                   ? 0
                   : Write(wsi, *slot);
      case LWS_CALLBACK_CLOSED_HTTP:
      case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        End(slot);
        return 0;
      default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
  }

  static int Begin(lws* wsi, SessionSlot* slot) {
    End(slot);
    slot->connection = new Connection;
    slot->connection->request = ReadHead(wsi);
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, kIdleTimeoutSeconds);
    std::string length = HeaderByToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (!length.empty() && length != "0") {
      return 0;
    }
    return Handle(wsi, slot->connection);
  }

  static int AddBody(Connection* connection, std::string_view bytes) {
    if (connection == nullptr ||
        connection->request.body.size() + bytes.size() > kMaxBodyBytes) {
      return -1;
    }
    connection->request.body += bytes;
    return 0;
  }

  static int Handle(lws* wsi, Connection* connection) {
    if (connection == nullptr || connection->responder) {
      return 0;
    }
    auto* server = static_cast<HttpServer*>(lws_get_opaque_user_data(wsi));
    auto responder = std::make_shared<Responder>();
    responder->m_wsi = wsi;
    connection->responder = responder;
    server->m_handler(connection->request, responder);
    if (!responder->m_responded) {
      // libwebsockets does not read while a response is pending, so its poll
      // would spin once the client closes the connection. Reading is disabled
      // and closure is detected by WatchForClose() instead.
      lws_rx_flow_control(wsi, 0);
      server->WatchForClose(responder);
    }
    return 0;
  }

  static int Write(lws* wsi, SessionSlot& slot) {
    Connection& connection = *slot.connection;
    if (!connection.responder || !connection.responder->m_responded) {
      return 0;
    }
    if (!connection.head_written) {
      connection.head_written = true;
      return WriteHead(wsi, connection.responder->m_response);
    }
    return WriteBody(wsi, slot, *connection.responder);
  }

  // Returns whether the client has closed its end of the connection.
  static bool ClosedByClient(lws* wsi) {
    char byte = 0;
    return recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  static bool AddHeaders(lws* wsi,
                         const std::vector<HttpHeader>& headers,
                         unsigned char** position,
                         unsigned char* end) {
    return std::all_of(headers.begin(), headers.end(), [&](const auto& header) {
      return lws_add_http_header_by_name(
                 wsi, AsBytes(header.name), AsBytes(header.value),
                 static_cast<int>(header.value.size()), position, end) == 0;
    });
  }

  static int WriteHead(lws* wsi, const HttpResponse& response) {
    std::array<unsigned char, LWS_PRE + kHeaderBufferBytes> buffer{};
    unsigned char* start = buffer.data() + LWS_PRE;
    unsigned char* position = start;
    unsigned char* end = buffer.data() + buffer.size() - 1;
    if (lws_add_http_common_headers(
            wsi, response.status, response.content_type.c_str(),
            response.body.size(), &position, end) != 0 ||
        !AddHeaders(wsi, response.headers, &position, end) ||
        lws_finalize_write_http_header(wsi, start, &position, end) != 0) {
      return -1;
    }
    lws_callback_on_writable(wsi);
    return 0;
  }

  static int WriteBody(lws* wsi, SessionSlot& slot, Responder& responder) {
    std::string_view rest = responder.m_response.body;
    rest.remove_prefix(responder.m_written);
    std::string_view chunk = rest.substr(0, kWriteChunkBytes);
    bool last = chunk.size() == rest.size();
    std::string buffer(LWS_PRE, '\0');
    buffer += chunk;
    int written = lws_write(
        wsi, reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
        chunk.size(), last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < static_cast<int>(chunk.size())) {
      return -1;
    }
    responder.m_written += chunk.size();
    if (!last) {
      lws_callback_on_writable(wsi);
      return 0;
    }
    End(&slot);
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
  }

  static void End(SessionSlot* slot) {
    if (slot == nullptr || slot->connection == nullptr) {
      return;
    }
    std::unique_ptr<Connection> connection(slot->connection);
    slot->connection = nullptr;
    std::shared_ptr<Responder> responder = connection->responder;
    if (!responder) {
      return;
    }
    responder->m_wsi = nullptr;
    if (!responder->m_responded && responder->m_on_closed) {
      responder->m_on_closed();
    }
  }
};

void HttpServer::WatchForClose(const std::shared_ptr<Responder>& responder) {
  m_pending.push_back(responder);
  if (m_pending.size() == 1) {
    m_loop.After(kCloseCheckInterval, [this] { CheckForClose(); });
  }
}

void HttpServer::CheckForClose() {
  std::erase_if(m_pending, [](const std::weak_ptr<Responder>& weak) {
    std::shared_ptr<Responder> responder = weak.lock();
    if (!responder || responder->m_responded || responder->m_wsi == nullptr) {
      return true;
    }
    bool closed = Callbacks::ClosedByClient(responder->m_wsi);
    if (closed) {
      responder->Abort();
    }
    return closed;
  });
  if (!m_pending.empty()) {
    m_loop.After(kCloseCheckInterval, [this] { CheckForClose(); });
  }
}

HttpServer::HttpServer(Loop& loop, Handler handler)
    : m_loop(loop), m_handler(std::move(handler)) {}

base::Result<base::Address> HttpServer::Listen(base::Address address) {
  static const std::array<lws_protocols, 2> protocols{{
      {"http", &Callbacks::OnHttp, sizeof(Callbacks::SessionSlot), 0, 0,
       nullptr, 0},
      {nullptr, nullptr, 0, 0, 0, nullptr, 0},
  }};
  base::Result<Listener> listener = ListenTcp(address);
  if (!listener) {
    return listener.error();
  }
  // libwebsockets serves the connections, but the listening socket is opened
  // here: a listening libwebsockets vhost fails to start in environments that
  // support only plain sockets.
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
  info.protocols = protocols.data();
  info.vhost_name = "http";
  info.keepalive_timeout = kIdleTimeoutSeconds;
  m_vhost = lws_create_vhost(m_loop.context(), &info);
  int fd = listener->fd;
  if (m_vhost == nullptr ||
      !m_loop.WatchReadable(fd, [this, fd] { AcceptPending(fd); })) {
    return base::MakeError(std::errc::not_enough_memory, "serve HTTP",
                           address.Text());
  }
  return listener->address;
}

void HttpServer::AcceptPending(int listener) {
  int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  while (fd >= 0) {
    // libwebsockets closes a connection that it fails to adopt. It does not
    // distinguish several servers on one loop, so each connection stores a
    // pointer to its server.
    if (lws* wsi = lws_adopt_socket_vhost(m_vhost, fd)) {
      lws_set_opaque_user_data(wsi, this);
    }
    fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  }
}

}  // namespace filberthollow::net
