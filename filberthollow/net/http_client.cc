#include "filberthollow/net/http_client.h"

#include <fmt/format.h>
#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <utility>

#include "filberthollow/net/lws_protocols.h"

namespace filberthollow::net {
namespace internal {

constexpr size_t kReadBufferBytes = 8192;

// ClientExchange is one request and the connection that carries it. The
// connection refers to it until the connection is closed.
struct ClientExchange {
  HttpClient* client = nullptr;
  HttpClient::ExchangeId id = 0;
  HttpRequest request;
  HttpClient::Handler done;
  HttpResult result;
  lws* wsi = nullptr;
  Loop::TimerId timer;
  bool sent = false;
  bool complete = false;

  int AddHeaders(unsigned char** position, unsigned char* end) const;
  int WriteBody();
  int Receive(std::string_view bytes);
  void Close();
  static void End(ClientExchange* exchange) {
    // Finish() destroys the exchange, so the result is moved out first.
    HttpResult result = std::move(exchange->result);
    exchange->client->Finish(exchange->id, result);
  }
};

int ClientExchange::AddHeaders(unsigned char** position,
                               unsigned char* end) const {
  for (const HttpHeader& header : request.headers) {
    if (lws_add_http_header_by_name(
            wsi, reinterpret_cast<const unsigned char*>(header.name.c_str()),
            reinterpret_cast<const unsigned char*>(header.value.data()),
            static_cast<int>(header.value.size()), position, end) != 0) {
      return -1;
    }
  }
  if (request.body.empty()) {
    return 0;
  }
  std::string length = std::to_string(request.body.size());
  if (lws_add_http_header_by_token(
          wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
          reinterpret_cast<const unsigned char*>(length.data()),
          static_cast<int>(length.size()), position, end) != 0) {
    return -1;
  }
  lws_client_http_body_pending(wsi, 1);
  lws_callback_on_writable(wsi);
  return 0;
}

int ClientExchange::WriteBody() {
  if (request.body.empty()) {
    return 0;
  }
  lws_client_http_body_pending(wsi, 0);
  std::string buffer(LWS_PRE, '\0');
  buffer += request.body;
  request.body.clear();
  auto* start = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  size_t length = buffer.size() - LWS_PRE;
  int written = lws_write(wsi, start, length, LWS_WRITE_HTTP_FINAL);
  return written == static_cast<int>(length) ? 0 : -1;
}

int ClientExchange::Receive(std::string_view bytes) {
  if (result.body.size() + bytes.size() > request.max_response_bytes) {
    result.kind = HttpResult::kTooLarge;
    result.body.clear();
    return -1;
  }
  result.body += bytes;
  return 0;
}

void ClientExchange::Close() {
  if (wsi != nullptr) {
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

namespace {

// Makes libwebsockets read more of the response body, which it delivers with
// LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ.
int ReadMore(lws* wsi) {
  std::array<char, LWS_PRE + kReadBufferBytes> buffer{};
  char* start = buffer.data() + LWS_PRE;
  int length = kReadBufferBytes;
  return lws_http_client_read(wsi, &start, &length) < 0 ? -1 : 0;
}

}  // namespace

std::string CustomHeader(lws* wsi, std::string_view name) {
  int length =
      lws_hdr_custom_length(wsi, name.data(), static_cast<int>(name.size()));
  if (length <= 0) {
    return "";
  }
  std::string value(static_cast<size_t>(length) + 1, '\0');
  lws_hdr_custom_copy(wsi, value.data(), length + 1, name.data(),
                      static_cast<int>(name.size()));
  value.resize(static_cast<size_t>(length));
  return value;
}

int OnHttpClient(lws* wsi,
                 lws_callback_reasons reason,
                 void* /*user*/,
                 void* in,
                 size_t len) {
  auto* exchange = static_cast<ClientExchange*>(lws_get_opaque_user_data(wsi));
  if (exchange == nullptr) {
    return 0;
  }
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
      exchange->wsi = wsi;
      exchange->sent = true;
      exchange->result.kind = HttpResult::kFailedAfterSend;
      auto** position = static_cast<unsigned char**>(in);
      return exchange->AddHeaders(position, *position + len);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return exchange->WriteBody();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      exchange->result.status =
          static_cast<uint16_t>(lws_http_client_http_response(wsi));
      exchange->result.header_value =
          CustomHeader(wsi, exchange->request.response_header);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return ReadMore(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return exchange->Receive({static_cast<const char*>(in), len});
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      exchange->result.kind = HttpResult::kAnswered;
      exchange->complete = true;
      return -1;  // close the connection
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      lws_set_opaque_user_data(wsi, nullptr);
      exchange->wsi = nullptr;
      ClientExchange::End(exchange);
      return 0;
    default:
      return 0;
  }
}

}  // namespace internal

using internal::ClientExchange;

HttpClient::HttpClient(Loop& loop) : m_loop(loop) {}

HttpClient::~HttpClient() = default;

HttpClient::ExchangeId HttpClient::Start(HttpRequest request, Handler done) {
  ExchangeId id = ++m_last_id;
  auto exchange = std::make_unique<ClientExchange>();
  exchange->client = this;
  exchange->id = id;
  exchange->request = std::move(request);
  exchange->done = std::move(done);
  exchange->timer =
      m_loop.After(exchange->request.timeout, [this, id] { Cancel(id); });
  m_exchanges.emplace(id, std::move(exchange));
  // Connecting may fail at once, and the handler must not run inside Start().
  m_loop.After(base::Millis(0), [this, id] { Connect(id); });
  return id;
}

void HttpClient::Connect(ExchangeId id) {
  auto found = m_exchanges.find(id);
  if (found == m_exchanges.end()) {
    return;
  }
  ClientExchange& exchange = *found->second;
  std::string host = exchange.request.server.IpText();
  std::string authority = exchange.request.server.Text();
  lws_client_connect_info info{};
  info.context = m_loop.context();
  info.vhost = m_loop.client_vhost();
  info.address = host.c_str();
  info.port = exchange.request.server.port;
  info.path = exchange.request.path.c_str();
  info.host = authority.c_str();
  info.origin = authority.c_str();
  info.method = exchange.request.method.c_str();
  info.protocol = internal::kHttpClientProtocol;
  info.local_protocol_name = internal::kHttpClientProtocol;
  info.opaque_user_data = &exchange;
  lws* wsi = lws_client_connect_via_info(&info);
  auto still_there = m_exchanges.find(id);
  if (still_there == m_exchanges.end()) {
    return;  // failed synchronously; the handler has been called
  }
  if (wsi == nullptr) {
    Finish(id, HttpResult{});
    return;
  }
  still_there->second->wsi = wsi;
}

void HttpClient::Cancel(ExchangeId id) {
  auto found = m_exchanges.find(id);
  if (found == m_exchanges.end()) {
    return;
  }
  if (found->second->wsi == nullptr) {
    Finish(id, HttpResult{});
    return;
  }
  found->second->Close();
}

void HttpClient::Finish(ExchangeId id, const HttpResult& result) {
  auto found = m_exchanges.find(id);
  if (found == m_exchanges.end()) {
    return;
  }
  std::unique_ptr<ClientExchange> exchange = std::move(found->second);
  m_exchanges.erase(found);
  m_loop.Cancel(exchange->timer);
  if (!m_loop.closing()) {
    exchange->done(result);
  }
}

}  // namespace filberthollow::net
