#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"

namespace eelgrassledge {

/// A caller's search after admission checks of form: key, lane, deadline and service are valid.
struct search_request {
    request_id request;
    caller_id caller;
    service_id service;
    lane priority = lane::ordinary;
    bool idempotent = true;
    preference prefer = preference::time;
    time_point received;
    time_point deadline;
    std::string text;
    std::uint32_t limit = 10;
    fingerprint print;
    std::uint32_t strikes = 0;  ///< Upstreams known to have vanished while they ran this fingerprint.
};

/// The answer to a search.
///
/// `shards_total` counts the shards of the map of `snapshot`; every shard is either answered, once, or
/// listed in `missing`.
struct search_answer {
    request_id request;
    result_code code = result_code::ok;
    run_state state = run_state::ran;
    std::optional<snapshot_id> snapshot;
    std::uint32_t shards_total = 0;
    std::uint32_t shards_answered = 0;
    std::vector<shard_index> missing;
    std::vector<hit> hits;
    std::optional<duration> retry_after;
    lane served_in = lane::ordinary;

    [[nodiscard]] auto complete() const -> bool {
        return code == result_code::ok && shards_total > 0 && shards_answered == shards_total;
    }
};

/// Hash of what a request asks of a service. The same text asked again gives the same fingerprint.
[[nodiscard]] auto fingerprint_of(const service_id& service, const std::string& text, std::uint32_t limit)
    -> fingerprint;

}  // namespace eelgrassledge
