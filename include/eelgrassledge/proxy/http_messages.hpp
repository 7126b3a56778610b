#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/routing/routed_query.hpp"

namespace eelgrassledge {

/// Request as a caller sent it, with its body decoded from chunks if need be.
struct inbound_request {
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    bool keep_alive = true;
};

/// Answer to a caller. `headers` must not contain framing headers.
struct outbound_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/// Compares two header names without regard to case.
[[nodiscard]] auto equal_ignoring_case(std::string_view a, std::string_view b) -> bool;

/// Value of the first header of a name; empty when there is none.
[[nodiscard]] auto header_value(const std::vector<http_header>& headers, std::string_view name)
    -> std::string_view;

[[nodiscard]] auto has_header(const std::vector<http_header>& headers, std::string_view name) -> bool;

/// Removes the headers that concern one connection only: `Connection`, those it names, and the framing.
[[nodiscard]] auto without_connection_headers(const std::vector<http_header>& headers)
    -> std::vector<http_header>;

/// Bytes of a request with the length of its body stated.
[[nodiscard]] auto to_bytes(const inbound_request& request) -> std::string;

/// Bytes of an answer with the length of its body stated. `close` announces that the connection ends.
[[nodiscard]] auto to_bytes(const outbound_response& response, bool close, bool without_body) -> std::string;

/// Parses a whole number that is not negative; anything else gives `otherwise`.
[[nodiscard]] auto to_whole_number(std::string_view text, std::int64_t otherwise) -> std::int64_t;

}  // namespace eelgrassledge
