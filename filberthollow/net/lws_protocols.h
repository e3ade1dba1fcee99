// Names and callbacks of the libwebsockets protocols that Loop registers.
#ifndef FILBERTHOLLOW_NET_LWS_PROTOCOLS_H_
#define FILBERTHOLLOW_NET_LWS_PROTOCOLS_H_

#include <libwebsockets.h>

#include <string>
#include <string_view>

namespace filberthollow::net::internal {

inline constexpr const char* kHttpClientProtocol = "http-client";

// Handles the events of HttpClient's exchanges.
int OnHttpClient(lws* wsi,
                 lws_callback_reasons reason,
                 void* user,
                 void* in,
                 size_t len);

// Returns the value of a header that libwebsockets has no token for, or "" if
// the message has none. `name` is lower case and ends with a colon.
std::string CustomHeader(lws* wsi, std::string_view name);

}  // namespace filberthollow::net::internal

#endif  // FILBERTHOLLOW_NET_LWS_PROTOCOLS_H_
