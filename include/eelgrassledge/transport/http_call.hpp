#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// A response as received; `retry_after` is the value of the `Retry-After` header, empty if absent.
struct http_response {
    int status = 0;
    std::string body;
    std::string retry_after;
};

/// How a call failed. The distinction determines whether the request may have taken effect.
enum class http_failure : std::uint8_t {
    none,
    not_sent,      ///< No connection could be opened.
    unclear,       ///< The request may have been sent.
    bad_response,  ///< A response arrived but is invalid or too large.
};

/// Result of a call. `reason` describes the failure; `response` is set only if there was none.
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
    duration timeout = milliseconds{2000};  ///< Zero disables the timeout.
    std::size_t max_response_bytes = std::size_t{16} << 20U;
};

/// Initializes libcurl on the first call. Call it before any thread makes a request.
auto start_http_library() -> void;

/// Makes one HTTP call and blocks until it ends. Each thread has its own pool of connections.
[[nodiscard]] auto call_http(const http_request& request) -> http_result;

/// Makes a call whose response is a stream of lines. Calls `on_line` for each; it returns false to end the
/// stream. Returns when the stream ends or no data arrives for `idle_timeout`, which is rounded down to whole
/// seconds, with a minimum of 1 s.
auto stream_http(const http_request& request, duration idle_timeout,
                 const std::function<bool(std::string_view)>& on_line) -> http_result;

}  // namespace eelgrassledge
