#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/proxy/http_messages.hpp"

namespace eelgrassledge {

/// What an instance adds to a caller's request when it asks another instance to run the query for some
/// shards.
struct peer_query {
    config_version version;
    /// Positions in the route's list of shards, ascending.
    std::vector<std::size_t> shards;
    /// Time until the answer should be sent; whole milliseconds on the wire.
    duration answer_in{};
};

/// Whether a header name is one of those that instances use between them. A caller's headers of such names
/// are not passed on.
[[nodiscard]] auto is_instance_header(std::string_view name) -> bool;

/// Headers that carry a peer query.
[[nodiscard]] auto to_headers(const peer_query& query) -> std::vector<http_header>;

/// Whether a request has the headers of a peer query. Its target is chosen by the caller, so that it may be
/// the target of another message between instances.
[[nodiscard]] auto is_peer_query(const inbound_request& request) -> bool;

/// Reads a peer query and removes its headers from `headers`; empty if a header is missing or malformed.
[[nodiscard]] auto extract_peer_query(std::vector<http_header>& headers) -> std::optional<peer_query>;

/// Answer to a peer query: headers with the shards that answered, the signature of each, and the shards that
/// may run once more; the merged records as the body. Status 502 if the query failed.
[[nodiscard]] auto to_peer_response(const query_answer& answer) -> outbound_response;

/// Bytes of a request that only tests whether another instance can be reached.
[[nodiscard]] auto probe_request() -> std::string;
[[nodiscard]] auto is_probe(const inbound_request& request) -> bool;

/// Answer that declines a request: nothing of it was run.
[[nodiscard]] auto peer_not_taken() -> outbound_response;
[[nodiscard]] auto is_not_taken(const std::vector<http_header>& headers) -> bool;

/// Answer that declines a query because its upstreams are overloaded. Instances that do not know the reason
/// run the shards themselves, as after any other answer that declines.
[[nodiscard]] auto peer_refused(duration retry_after) -> outbound_response;
/// Wait that such an answer states; nothing if the headers are not those of one.
[[nodiscard]] auto refused_wait(const std::vector<http_header>& headers) -> std::optional<duration>;

/// Reads the answer to a peer query for the shards `asked`. An answer with a status other than 200, with
/// malformed headers or with shards that were not asked for counts as failed.
[[nodiscard]] auto read_peer_response(int status, const std::vector<http_header>& headers, std::string body,
                                      const std::vector<std::size_t>& asked) -> group_outcome;

/// Encodes positions as a bitmap in hexadecimal digits, four positions per digit, lowest position first.
[[nodiscard]] auto to_bitmap(const std::vector<std::size_t>& positions) -> std::string;
/// Decodes a bitmap; empty if `text` holds anything but lower-case hexadecimal digits.
[[nodiscard]] auto from_bitmap(std::string_view text) -> std::optional<std::vector<std::size_t>>;

}  // namespace eelgrassledge
