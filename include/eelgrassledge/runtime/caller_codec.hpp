#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/entry/search.hpp"

namespace eelgrassledge {

/// A caller's search as decoded from the body of its request, before the checks that need the document.
struct caller_search {
    request_id request;
    service_id service;
    std::string text;
    std::uint32_t limit = 10;                  ///< Most hits to return.
    std::optional<std::uint32_t> deadline_ms;  ///< None selects the default of the service.
    std::optional<preference> prefer;          ///< None selects the default of the service.
    bool idempotent = true;
    lane requested_lane = lane::ordinary;
};

/// Limits of a search: lengths of the request id and the query text in bytes, and the number of hits.
inline constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;
inline constexpr std::size_t MAX_QUERY_BYTES = 8192;
inline constexpr std::uint32_t MAX_LIMIT = 1000;

/// Decodes the body of a search (JSON). Errors: `malformed_request` with a message that names the field.
///
/// Example: `decode_search(R"({"request_id":"r1","service":"label-desk","query":"rye"})")`.
[[nodiscard]] auto decode_search(std::string_view body) -> result<caller_search>;

/// Encodes the body of the answer to a search (JSON).
[[nodiscard]] auto encode_answer(const search_answer& answer) -> std::string;

/// Encodes the body of a refusal of a request that did not become a running query (JSON). An empty request id
/// is omitted.
[[nodiscard]] auto encode_refusal(result_code code, std::string_view message, const request_id& request)
    -> std::string;

/// HTTP status for a result code.
[[nodiscard]] auto http_status_of(result_code code) -> int;

/// SHA-256 of a text as lower-case hexadecimal digits.
[[nodiscard]] auto sha256_hex(std::string_view text) -> std::string;

/// Compares two digests in constant time, so that the time does not reveal where they differ.
[[nodiscard]] auto digests_equal(std::string_view a, std::string_view b) -> bool;

}  // namespace eelgrassledge
