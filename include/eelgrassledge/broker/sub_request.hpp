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

/// Number of a link: the connection, or local path, on which a broker receives an entry's sub-requests.
/// Unique in the broker's process.
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

/// Key of a sub-request at a broker. Sub-request ids are unique only within the link on which they are
/// received.
struct sub_key {
    link_id link;
    sub_request_id id;

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const sub_key&, const sub_key&) = default;
};

/// Part of a query that is sent to one upstream.
struct sub_request {
    sub_key key;
    query_id query;
    upstream_id upstream;
    service_id service;
    lane priority = lane::ordinary;
    bool idempotent = true;
    time_point start;     ///< When the entry accepted the query; brokers order their queues by it.
    time_point deadline;  ///< No part of the sub-request may run after this time.
    fingerprint print;    ///< Hash that equal requests share, to recognize those that crash upstreams.
    snapshot_id snapshot;
    shard_index shard;
    duration slow_after{0};  ///< Running time after which the entry is notified; zero means never.
    bool canary = false;     ///< Sent before the rest of its query to detect requests that crash upstreams.
    std::uint32_t strikes = 0;  ///< Upstreams known to have vanished while running equal requests.
    bool patient = false;  ///< No other replica is available: waits for a cold upstream until its deadline.
    request_id request;
    std::string text;
    std::uint32_t limit = 10;  ///< Maximum number of hits.
    /// Whether its broker has sent it before, and that send may have run. Not transmitted to the broker.
    bool earlier_send_may_have_run = false;
};

/// One shard of a snapshot that an upstream holds, out of `shard_count` shards.
struct holding {
    snapshot_id snapshot;
    shard_index shard;
    std::uint32_t shard_count = 0;

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const holding&, const holding&) = default;
};

/// One record that matches a query.
struct hit {
    std::string record;
    double score = 0;
    std::string body;
};

/// Load and state of one upstream, sent to entries with each answer of its broker.
struct upstream_load {
    upstream_id upstream;
    std::uint32_t queued = 0;           ///< Queued sub-requests, both lanes.
    std::uint32_t queued_priority = 0;  ///< Queued sub-requests of the priority lane.
    std::uint32_t running = 0;
    std::uint32_t slots = 0;   ///< Sub-requests that may run at once at present.
    duration service_time{0};  ///< Smoothed running time of one sub-request.
    bool admitting = true;     ///< Whether new sub-requests are accepted.
    bool warm = true;
    double rate_per_s = 0;  ///< Permitted sub-requests per second; 0 when the upstream is warm.
    std::vector<holding> holdings;
};

/// Answer to one sub-request.
struct sub_answer {
    sub_key key;
    result_code code = result_code::ok;
    snapshot_id snapshot;
    shard_index shard;
    std::vector<hit> hits;
    duration service_time{0};   ///< Running time of this sub-request; 0 if it was refused or timed out.
    std::uint32_t strikes = 0;  ///< Strikes of the fingerprint known to the broker.
    /// Whether the broker had sent it before, and that send may have run although this code says "not run".
    bool earlier_send_may_have_run = false;
    upstream_load load;
};

}  // namespace eelgrassledge
