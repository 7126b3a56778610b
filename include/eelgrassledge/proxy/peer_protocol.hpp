#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassledge/proxy/http_messages.hpp"

namespace eelgrassledge {

/// What an instance asks of another one beside the caller's own request.
struct peer_query {
    config_version version;
    std::vector<std::size_t> shards;
    duration answer_in{};
};

/// Headers that carry a peer query.
[[nodiscard]] auto to_headers(const peer_query& query) -> std::vector<http_header>;

/// Reads a peer query and removes its headers; empty when one is missing or malformed.
[[nodiscard]] auto extract_peer_query(std::vector<http_header>& headers) -> std::optional<peer_query>;

/// Answer for some shards: which ones are in, the signature of each, and their merged records as the body.
[[nodiscard]] auto to_peer_response(const query_answer& answer) -> outbound_response;

/// Bytes of a request by which an instance learns whether the way to another one is open.
[[nodiscard]] auto probe_request() -> std::string;
[[nodiscard]] auto is_probe(const inbound_request& request) -> bool;

/// Answer that nothing was done with a request.
[[nodiscard]] auto peer_not_taken() -> outbound_response;
[[nodiscard]] auto is_not_taken(const std::vector<http_header>& headers) -> bool;

/// Reads an answer for the shards that were asked for. Another form, or shards that were not asked for, count
/// as failed.
[[nodiscard]] auto read_peer_response(int status, const std::vector<http_header>& headers, std::string body,
                                      const std::vector<std::size_t>& asked) -> group_outcome;

/// Positions as a row of hexadecimal digits, four positions a digit.
[[nodiscard]] auto to_bitmap(const std::vector<std::size_t>& positions) -> std::string;
[[nodiscard]] auto from_bitmap(std::string_view text) -> std::optional<std::vector<std::size_t>>;

}  // namespace eelgrassledge
