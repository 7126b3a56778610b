#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"

namespace eelgrassledge {

/// A search of a caller whose fields have been validated: key, lane, deadline and service are valid.
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
    std::uint32_t limit = 10;   ///< Largest number of records in the answer.
    fingerprint print;          ///< From `fingerprint_of`.
    std::uint32_t strikes = 0;  ///< Upstreams known to have vanished while they ran this fingerprint.
};

/// The answer to a search.
///
/// `shards_total` is the number of shards in the shard map of `snapshot`. Every shard is either counted once
/// in `shards_answered` or listed in `missing`.
struct search_answer {
    request_id request;
    result_code code = result_code::ok;
    run_state state = run_state::ran;
    std::optional<snapshot_id> snapshot;
    std::uint32_t shards_total = 0;
    std::uint32_t shards_answered = 0;
    std::vector<shard_index> missing;
    std::vector<hit> hits;
    std::optional<duration> retry_after;  ///< Time after which a refused caller may try again.
    lane served_in = lane::ordinary;

    /// Whether the query succeeded and every shard answered.
    [[nodiscard]] auto complete() const -> bool {
        return code == result_code::ok && shards_total > 0 && shards_answered == shards_total;
    }
};

/// Hash of the service, text and limit of a request. Equal requests have equal fingerprints, which is how a
/// request that crashes upstreams is recognised when it is repeated.
[[nodiscard]] auto fingerprint_of(const service_id& service, const std::string& text, std::uint32_t limit)
    -> fingerprint;

}  // namespace eelgrassledge
