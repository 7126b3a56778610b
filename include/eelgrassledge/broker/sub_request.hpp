#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrassledge/config/document.hpp"
#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// Number of the link on which an entry's sub-requests reach a broker, unique in the broker's process.
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

/// Names one sub-request at a broker: ids are unique only together with the link they came by.
struct sub_key {
    link_id link;
    sub_request_id id;

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const sub_key&, const sub_key&) = default;
};

/// The part of a query that goes to one upstream.
struct sub_request {
    sub_key key;
    query_id query;
    upstream_id upstream;
    service_id service;
    lane priority = lane::ordinary;
    bool idempotent = true;
    time_point start;     ///< When the entry accepted the query; orders queues everywhere.
    time_point deadline;  ///< No part of the sub-request may run after this time.
    fingerprint print;
    snapshot_id snapshot;
    shard_index shard;
    duration slow_after{0};     ///< Running time after which the entry is told; zero means never.
    bool canary = false;        ///< Runs before the rest of its query to find requests that crash upstreams.
    std::uint32_t strikes = 0;  ///< Upstreams that vanished while they ran a request with this fingerprint.
    bool patient = false;       ///< Waits for a cold upstream however long, for want of another replica.
    request_id request;
    std::string text;
    std::uint32_t limit = 10;
};

/// One snapshot that an upstream holds, and which shard of how many it holds of it.
struct holding {
    snapshot_id snapshot;
    shard_index shard;
    std::uint32_t shard_count = 0;

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const holding&, const holding&) = default;
};

/// One record found.
struct hit {
    std::string record;
    double score = 0;
    std::string body;
};

/// What a broker tells entries about one upstream with each answer.
struct upstream_load {
    upstream_id upstream;
    std::uint32_t queued = 0;           ///< Sub-requests waiting, both lanes.
    std::uint32_t queued_priority = 0;  ///< Sub-requests waiting in the priority lane.
    std::uint32_t running = 0;
    std::uint32_t slots = 0;   ///< Sub-requests that may run at once now.
    duration service_time{0};  ///< Smoothed running time of one sub-request.
    bool admitting = true;     ///< Whether new sub-requests are taken.
    bool warm = true;
    double rate_per_s = 0;  ///< Sub-requests per second that a cold upstream is given.
    std::vector<holding> holdings;
};

/// The answer to one sub-request.
struct sub_answer {
    sub_key key;
    result_code code = result_code::ok;
    snapshot_id snapshot;
    shard_index shard;
    std::vector<hit> hits;
    duration service_time{0};
    std::uint32_t strikes = 0;
    upstream_load load;
};

}  // namespace eelgrassledge
