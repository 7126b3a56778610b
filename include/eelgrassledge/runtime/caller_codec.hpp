#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/entry/search.hpp"

namespace eelgrassledge {

/// A caller's search as it stands in the body of its request, before the checks that need the document.
struct caller_search {
    request_id request;
    service_id service;
    std::string text;
    std::uint32_t limit = 10;
    std::optional<std::uint32_t> deadline_ms;
    std::optional<preference> prefer;
    bool idempotent = true;
    lane wanted_lane = lane::ordinary;
};

/// Longest request id and query text, in bytes.
inline constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;
inline constexpr std::size_t MAX_QUERY_BYTES = 8192;
inline constexpr std::uint32_t MAX_LIMIT = 1000;

/// Reads the body of a search (JSON). Errors: `malformed_request` with a sentence that names the field.
///
/// Example: `decode_search(R"({"request_id":"r1","service":"label-desk","query":"rye"})")`.
[[nodiscard]] auto decode_search(std::string_view body) -> result<caller_search>;

/// Body of the answer to a search (JSON).
[[nodiscard]] auto encode_answer(const search_answer& answer) -> std::string;

/// Body of a refusal that concerns no running query (JSON).
[[nodiscard]] auto encode_refusal(result_code code, std::string_view message, const request_id& request)
    -> std::string;

/// HTTP status for a result code.
[[nodiscard]] auto http_status_of(result_code code) -> int;

/// SHA-256 of a text as lower-case hexadecimal digits.
[[nodiscard]] auto sha256_hex(std::string_view text) -> std::string;

/// Compares two digests in time that does not depend on where they differ.
[[nodiscard]] auto same_digest(std::string_view a, std::string_view b) -> bool;

}  // namespace eelgrassledge
