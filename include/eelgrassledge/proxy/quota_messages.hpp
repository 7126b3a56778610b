#pragma once

#include <optional>
#include <string>
#include <vector>

#include "eelgrassledge/proxy/http_messages.hpp"
#include "eelgrassledge/routing/quota_decision.hpp"
#include "eelgrassledge/routing/quota_election.hpp"

namespace eelgrassledge {

/// Request for a grant, from one instance to the allocator of a zone.
[[nodiscard]] auto make_quota_request(const std::string& host, const team_id& owner) -> inbound_request;
/// The team of such a request; empty for any other request.
[[nodiscard]] auto read_quota_request(const inbound_request& request) -> std::optional<team_id>;

[[nodiscard]] auto make_quota_answer(const quota_decision& decision) -> outbound_response;
/// Reads an answer; `unavailable` if it is malformed.
[[nodiscard]] auto read_quota_answer(const std::vector<http_header>& headers) -> quota_decision;

/// Value of the store key that names a zone's allocator.
[[nodiscard]] auto encode_allocator(const allocator_key& key) -> std::string;
/// Reads such a value, with or without an era; `bad_answer` if it is malformed.
[[nodiscard]] auto decode_allocator(const std::string& value) -> result<allocator_key>;

}  // namespace eelgrassledge
