#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassledge {

/// Result of a request, a sub-request or a command. Numbers are stable and never reused for another
/// meaning. docs/ERRORS.md lists them all; a test compares it with the table in result_code.cpp.
///
/// Families: 1xx requests refused at the entry, 2xx sub-requests refused or failed at a broker or
/// an upstream, 3xx configuration, 4xx platform and membership, 5xx command line and settings.
enum class result_code : std::uint16_t {
    ok = 0,

    malformed_request = 101,
    body_too_large = 102,
    unknown_service = 103,
    bad_deadline = 104,
    unknown_caller = 105,
    overloaded = 106,
    no_snapshot = 108,
    stopping = 109,
    quarantined = 110,
    already_claimed = 111,
    claim_unavailable = 112,
    deadline_passed = 113,
    no_configuration = 114,
    outcome_unknown = 115,
    not_found = 117,
    crashed_upstreams = 118,
    no_route = 119,
    quota_exceeded = 120,
    quota_unavailable = 121,

    queue_expired = 201,
    not_owner = 202,
    no_authority = 203,
    upstream_leaving = 204,
    upstream_shedding = 205,
    upstream_failed = 206,
    upstream_timeout = 207,
    wrong_snapshot = 208,
    wrong_shard = 209,
    bad_answer = 210,
    queue_full = 211,
    cancelled = 212,
    broker_lost = 213,
    suspect_request = 214,
    upstream_cold = 215,
    upstream_unreachable = 216,

    invalid_document = 301,
    revision_conflict = 302,
    forbidden = 303,
    document_too_large = 304,

    store_unavailable = 401,
    store_conflict = 402,
    store_unclear = 403,
    store_bad_answer = 404,
    store_history_lost = 405,
    store_not_found = 406,

    bad_option = 501,
    bad_settings = 502,
    cannot_listen = 503,
    daemon_unreachable = 504,
    bad_reply = 505,
};

/// Whether a request that ended with a code has run, as far as the caller may conclude.
enum class run_state : std::uint8_t {
    ran,              ///< The request ran and this is its answer.
    not_run,          ///< No upstream has run or will run any part of the request.
    partial,          ///< Parts of the request ran; the answer lists the shards that are missing.
    outcome_unknown,  ///< The request may or may not have run at an upstream.
};

/// One row of the table of result codes.
struct result_code_info {
    result_code code;
    std::string_view name;
    run_state state;
    std::string_view cause;
};

/// All result codes in ascending order of their numbers.
[[nodiscard]] auto result_codes() -> std::span<const result_code_info>;

/// Returns the row of a code, or the row of `bad_answer` for codes that are not in the table, such as an
/// unknown number received from a peer. Complexity: linear in the number of codes.
[[nodiscard]] auto describe(result_code code) -> const result_code_info&;

/// Whether an upstream may have started a request that ended with this code.
[[nodiscard]] inline auto may_have_run(result_code code) -> bool {
    return describe(code).state != run_state::not_run;
}

/// Converts a number received from a peer; numbers that are not in the table become `bad_answer`.
[[nodiscard]] auto to_result_code(std::uint16_t number) -> result_code;

/// Name of a state as written in docs/ERRORS.md.
[[nodiscard]] auto to_string(run_state state) -> std::string_view;

/// An error code with a human-readable message.
struct error {
    result_code code = result_code::ok;
    std::string message;
};

/// A value of type `T` or an error.
template <class T>
using result = tl::expected<T, error>;

/// Creates the error value of a `result`.
///
/// Example: `return fail(result_code::bad_settings, "peer_address: expected IP:PORT");`
[[nodiscard]] inline auto fail(result_code code, std::string message) -> tl::unexpected<error> {
    return tl::unexpected<error>{error{code, std::move(message)}};
}

}  // namespace eelgrassledge
