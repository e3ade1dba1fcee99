// HTTP/1.1 message types shared by client and server.
#ifndef FILBERTHOLLOW_NET_HTTP_H_
#define FILBERTHOLLOW_NET_HTTP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"

namespace filberthollow::net {

// kDeadlineHeader carries the time until the caller's deadline in milliseconds.
inline constexpr std::string_view kDeadlineHeader = "x-deadline-ms:";
// kRequestIdHeader carries the request identifier, for the upstream's log.
inline constexpr std::string_view kRequestIdHeader = "x-request-id:";

inline constexpr uint16_t kHttpOk = 200;
inline constexpr uint16_t kHttpBadRequest = 400;
inline constexpr uint16_t kHttpNotFound = 404;
inline constexpr uint16_t kHttpConflict = 409;
inline constexpr uint16_t kHttpGone = 410;
inline constexpr uint16_t kHttpUnavailable = 503;

// HttpHeader is one header; the name is lower case and ends with a colon.
struct HttpHeader {
  std::string name;
  std::string value;
  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

// HttpRequest is an outgoing request.
struct HttpRequest {
  base::Address server;
  std::string method = "GET";
  std::string path = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  base::Millis timeout{5000};
  size_t max_response_bytes = 1 << 20;
  // Name of a response header to return in HttpResult; empty for none.
  std::string response_header;
  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

// HttpResult is the outcome of an exchange.
struct HttpResult {
  enum Kind : uint8_t {
    kAnswered,         // a complete response was received, with any status
    kNotSent,          // the connection failed before the request was sent
    kFailedAfterSend,  // the connection failed or timed out after that
    kTooLarge,         // the response exceeded max_response_bytes
  };
  Kind kind = kNotSent;
  uint16_t status = 0;
  std::string body;
  // Value of the header that the request asked for; empty if there is none.
  std::string header_value;
  friend bool operator==(const HttpResult&, const HttpResult&) = default;
};

// HttpResponse is a response that HttpServer sends.
struct HttpResponse {
  uint16_t status = kHttpOk;
  std::string content_type = "application/json";
  // Besides status, content type and content length; 900 bytes at most.
  std::vector<HttpHeader> headers;
  std::string body;
  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_HTTP_H_
