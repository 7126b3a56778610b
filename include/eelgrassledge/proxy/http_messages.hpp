#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

/// Request received from a caller, or to be sent to a server. A chunked body is decoded.
struct inbound_request {
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /// Whether the connection may stay open after the answer.
    bool keep_alive = true;
};

/// Answer to a caller. `headers` must not contain framing headers; `to_bytes` adds them.
struct outbound_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/// Compares two header names, or tokens in header values, ignoring ASCII case.
[[nodiscard]] auto equal_ignoring_case(std::string_view a, std::string_view b) -> bool;

/// Value of the first header with this name, without surrounding blanks; empty if there is no such header.
[[nodiscard]] auto header_value(const std::vector<http_header>& headers, std::string_view name)
    -> std::string_view;

[[nodiscard]] auto has_header(const std::vector<http_header>& headers, std::string_view name) -> bool;

/// Copy of `headers` without those that apply to a single connection: `Connection`, the headers it lists, and
/// the framing headers.
[[nodiscard]] auto without_connection_headers(const std::vector<http_header>& headers)
    -> std::vector<http_header>;

/// Serialises a request and adds `Content-Length`, except for GET and HEAD without a body.
[[nodiscard]] auto to_bytes(const inbound_request& request) -> std::string;

/// Serialises an answer and adds `Content-Length`, except for 204 and 304. `close` adds `Connection: close`;
/// `without_body` omits the body, for answers to HEAD.
[[nodiscard]] auto to_bytes(const outbound_response& response, bool close, bool without_body) -> std::string;

/// Parses a non-negative decimal integer; returns `fallback` for any other text.
[[nodiscard]] auto to_whole_number(std::string_view text, std::int64_t fallback) -> std::int64_t;

/// Parses a non-negative decimal number of seconds with an optional fraction, as in `Retry-After`; nothing
/// for any other text, a date among them. Values above a day are returned as a day.
[[nodiscard]] auto parse_seconds(std::string_view text) -> std::optional<duration>;

}  // namespace eelgrassledge
