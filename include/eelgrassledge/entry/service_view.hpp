#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"
#include "eelgrassledge/entry/latency_tracker.hpp"

namespace eelgrassledge {

/// Where an upstream is and who brokers it, from the document and the assignments.
struct upstream_route {
    upstream_id upstream;
    zone_id zone;
    instance_id broker;  ///< Empty while no broker is assigned.
    bool zone_in = true;
};

/// A snapshot and the number of shards in its map.
struct snapshot_choice {
    snapshot_id snapshot;
    std::uint32_t shard_count = 0;

    friend auto operator==(const snapshot_choice&, const snapshot_choice&) -> bool = default;
};

/// What one entry knows about the upstreams of one service: where they are, what they hold and how
/// loaded they are. What brokers report is older than it looks; sub-requests sent since are added.
class service_view {
  public:
    service_view() = default;
    service_view(const service_view&) = delete;
    auto operator=(const service_view&) -> service_view& = delete;

    /// Replaces the routes. Loads of upstreams that stay are kept.
    auto set_routes(const std::vector<upstream_route>& routes) -> void;

    /// Records what a broker reported.
    auto record_load(const upstream_load& load, time_point now) -> void;

    /// Records a sub-request sent to an upstream.
    auto sent(const upstream_id& upstream) -> void;

    /// Avoids an upstream for a time, unless there is no other replica.
    auto avoid(const upstream_id& upstream, time_point until) -> void;

    /// Avoids all upstreams of a broker for a time, or until it has another one or one of them answers.
    auto avoid_broker(const instance_id& broker, time_point until) -> void;

    /// Avoids an upstream whose broker did not answer in time.
    auto avoid_silent(const upstream_id& upstream, time_point until) -> void;

    /// Ends the avoidance of an upstream.
    auto answered_well(const upstream_id& upstream) -> void;

    /// The newest snapshot among those with the most shards held by an upstream that takes work;
    /// empty when no holding is known. Linear in upstreams times snapshots held.
    [[nodiscard]] auto choose_snapshot() const -> std::optional<snapshot_choice>;

    /// Newest snapshot any upstream holds that is newer than the given one, chosen as above.
    [[nodiscard]] auto newer_snapshot(snapshot_id than) const -> std::optional<snapshot_choice>;

    /// Upstreams that hold a shard of a snapshot and may be sent work, nearest finish first.
    [[nodiscard]] auto replicas(snapshot_id snapshot, shard_index shard, lane priority, time_point now) const
        -> std::vector<upstream_id>;

    /// Time until an upstream would finish one more sub-request of a lane.
    [[nodiscard]] auto expected_finish(const upstream_id& upstream, lane priority, time_point now) const
        -> duration;

    /// The least time that a sub-request would wait for a slot among the warm replicas of a shard that take
    /// work; empty when there is none.
    [[nodiscard]] auto least_wait(snapshot_id snapshot, shard_index shard, lane priority,
                                  time_point now) const -> std::optional<duration>;

    /// Whether the broker of an upstream was lost or silent lately.
    [[nodiscard]] auto broker_is_avoided(const upstream_id& upstream, time_point now) const -> bool;

    [[nodiscard]] auto broker_of(const upstream_id& upstream) const -> instance_id;

    /// Running times seen in answers.
    [[nodiscard]] auto service_times() -> latency_tracker& { return service_times_; }
    [[nodiscard]] auto service_times() const -> const latency_tracker& { return service_times_; }

    [[nodiscard]] auto upstream_count() const -> std::size_t { return upstreams_.size(); }

    /// Brokers of upstreams whose holdings are not known, or of which nothing was heard for long.
    [[nodiscard]] auto brokers_to_ask(time_point now) const -> std::set<instance_id>;

  private:
    struct upstream_entry {
        upstream_route route;
        upstream_load load;
        time_point load_at{};
        std::uint32_t sent_since_load = 0;
        time_point avoid_until{};
        time_point avoid_broker_until{};
    };

    [[nodiscard]] auto service_time_of(const upstream_entry& entry) const -> duration;
    [[nodiscard]] auto usable(const upstream_entry& entry) const -> bool;
    [[nodiscard]] auto expected_finish(const upstream_entry& entry, lane priority, time_point now) const
        -> duration;
    [[nodiscard]] auto choose_snapshot(std::optional<snapshot_id> newer_than) const
        -> std::optional<snapshot_choice>;
    auto index_holdings() -> void;

    std::map<upstream_id, upstream_entry> upstreams_;
    std::map<snapshot_id, std::vector<std::vector<upstream_entry*>>> by_shard_;
    latency_tracker service_times_;
};

}  // namespace eelgrassledge
