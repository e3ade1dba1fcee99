// HTTP/1.1 messages as values, shared by client and server.
#ifndef FILBERTHOLLOW_NET_HTTP_H_
#define FILBERTHOLLOW_NET_HTTP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"

namespace filberthollow::net {

// kDeadlineHeader carries the milliseconds until the caller's deadline.
inline constexpr std::string_view kDeadlineHeader = "x-deadline-ms:";
// kRequestIdHeader names the request, for the upstream's own log.
inline constexpr std::string_view kRequestIdHeader = "x-request-id:";

inline constexpr uint16_t kHttpOk = 200;
inline constexpr uint16_t kHttpBadRequest = 400;
inline constexpr uint16_t kHttpNotFound = 404;
inline constexpr uint16_t kHttpConflict = 409;
inline constexpr uint16_t kHttpUnavailable = 503;

// HttpHeader is one header; the name is lower case and ends with a colon.
struct HttpHeader {
  std::string name;
  std::string value;
  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

// HttpRequest is a request to be made.
struct HttpRequest {
  base::Address server;
  std::string method = "GET";
  std::string path = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  base::Millis timeout{5000};
  size_t max_response_bytes = 1 << 20;
  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

// HttpResult is how an exchange ended.
struct HttpResult {
  enum Kind : uint8_t {
    kAnswered,
    kNotSent,          // the connection failed before the request was sent
    kFailedAfterSend,  // the connection failed or timed out later
    kTooLarge,         // the answer exceeded its limit
  };
  Kind kind = kNotSent;
  uint16_t status = 0;
  std::string body;
  friend bool operator==(const HttpResult&, const HttpResult&) = default;
};

// HttpResponse is what a server returns.
struct HttpResponse {
  uint16_t status = kHttpOk;
  std::string content_type = "application/json";
  std::string body;
  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace filberthollow::net

#endif  // FILBERTHOLLOW_NET_HTTP_H_
