#pragma once

#include <string>

#include "eelgrassledge/proxy/http_messages.hpp"

namespace eelgrassledge {

/// Names of the headers by which callers and upstreams speak to this system.
struct forwarding_headers {
    std::string request_id;
    /// How many milliseconds the sender will wait.
    std::string time_left;
    /// Mark by which a caller recognizes an upstream's own answer.
    std::string signature;
    /// Upstream that the request is meant for; any other one must reject it.
    std::string expected_upstream;
    /// Set by an upstream that did not run the request.
    std::string not_run;
    std::string part_signatures;
    std::string missing_parts;
};

/// Status of an answer of our own. 503 promises that the request has not run and never will; 502 and 504
/// promise nothing.
[[nodiscard]] auto status_of(result_code code) -> int;

/// Answer for a request that ended with `code` without an upstream's answer. The numbered code goes along; a
/// refusal proposes `retry_after`.
[[nodiscard]] auto error_response(result_code code, duration retry_after) -> outbound_response;

/// Answer for a caller's query.
[[nodiscard]] auto to_caller_response(const query_answer& answer, const request_id& id,
                                      const forwarding_headers& names) -> outbound_response;

}  // namespace eelgrassledge
