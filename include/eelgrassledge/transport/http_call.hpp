#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

struct http_response {
    int status = 0;
    std::string body;
    std::string retry_after;
};

/// How a call failed, told apart because it decides whether the request may have taken effect.
enum class http_failure : std::uint8_t {
    none,
    not_sent,      ///< No connection could be opened.
    unclear,       ///< The request may have been sent.
    bad_response,  ///< Something answered, but not with a usable response.
};

struct http_result {
    http_failure failure = http_failure::none;
    http_response response;
    std::string reason;
};

struct http_request {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<std::string> headers;
    duration timeout = milliseconds{2000};  ///< Zero for none.
    std::size_t max_response_bytes = std::size_t{16} << 20U;
};

/// Starts the HTTP library once; call before any thread makes a call.
auto start_http_library() -> void;

/// Makes one HTTP call and waits for its end. Connections are kept per thread.
[[nodiscard]] auto call_http(const http_request& request) -> http_result;

/// Makes a call whose response is a stream of lines; each is given to `on_line`, which returns false to
/// end the stream. Returns when the stream ends or stays silent for `silence`.
auto stream_http(const http_request& request, duration silence,
                 const std::function<bool(std::string_view)>& on_line) -> http_result;

}  // namespace eelgrassledge
