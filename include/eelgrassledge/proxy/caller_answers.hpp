#pragma once

#include <string>

#include "eelgrassledge/proxy/http_messages.hpp"

namespace eelgrassledge {

/// Names of the headers in requests of callers and in answers of upstreams.
struct forwarding_headers {
    std::string request_id;
    /// Milliseconds for which the sender waits for the answer.
    std::string time_left;
    /// Signature of an answer, by which a caller verifies that it comes from an upstream.
    std::string signature;
    /// Id of the upstream that the request is addressed to; any other upstream must reject it.
    std::string expected_upstream;
    /// Set by an upstream that did not run the request.
    std::string not_run;
    /// Has the value "1" in every answer of an upstream that is leaving.
    std::string leaving;
    /// Signatures of the parts of a merged answer, separated by commas.
    std::string part_signatures;
    /// Number of shards that are missing from a merged answer.
    std::string missing_parts;
    /// Name of the caller's team; set by this program only.
    std::string team;
};

/// Whether the upstream that sent these headers says that it is leaving.
[[nodiscard]] auto is_leaving(const std::vector<http_header>& headers, const forwarding_headers& names)
    -> bool;

/// HTTP status of an answer that this instance creates itself. 429 and 503 guarantee that the request has not
/// run and will not run; 502 and 504 guarantee nothing.
[[nodiscard]] auto status_of(result_code code) -> int;

/// Whether a request that ends with `code` without an upstream's answer is guaranteed not to have run.
[[nodiscard]] auto is_not_run(result_code code) -> bool;

/// Answer for a request that ended with `code` without an upstream's answer. A header holds the number of the
/// code. With status 429 or 503, `Retry-After` holds `retry_after` in seconds.
[[nodiscard]] auto error_response(result_code code, duration retry_after) -> outbound_response;

/// Answer for a caller's query: the upstream's reply if there is one, otherwise an error response or the
/// merged records.
[[nodiscard]] auto to_caller_response(const query_answer& answer, const request_id& id,
                                      const forwarding_headers& names) -> outbound_response;

}  // namespace eelgrassledge
