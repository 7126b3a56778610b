#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "eelgrassledge/broker/sub_request.hpp"
#include "eelgrassledge/entry/latency_tracker.hpp"

namespace eelgrassledge {

/// Zone and broker of an upstream, from the configuration document and the assignments of the zones.
struct upstream_route {
    upstream_id upstream;
    zone_id zone;
    instance_id broker;           ///< Empty while no broker is assigned.
    bool zone_in_service = true;  ///< False while the zone is taken out of service.
};

/// A snapshot, one version of the index of a service, and the number of shards in its shard map.
struct snapshot_choice {
    snapshot_id snapshot;
    std::uint32_t shard_count = 0;

    friend auto operator==(const snapshot_choice&, const snapshot_choice&) -> bool = default;
};

/// Location, snapshots held and load of the upstreams of one service, as known to one entry. The loads that
/// brokers report lag behind, so the sub-requests sent since the last report are added to them.
class service_view {
  public:
    service_view() = default;
    service_view(const service_view&) = delete;
    auto operator=(const service_view&) -> service_view& = delete;

    /// Replaces the routes. Loads of upstreams that stay are kept.
    auto set_routes(const std::vector<upstream_route>& routes) -> void;

    /// Records the load that a broker reported. A report without holdings keeps the known ones.
    auto record_load(const upstream_load& load, time_point now) -> void;

    /// Records a sub-request sent to an upstream.
    auto record_sent(const upstream_id& upstream) -> void;

    /// Ranks an upstream behind the other replicas of its shards until the given time.
    auto avoid(const upstream_id& upstream, time_point until) -> void;

    /// Avoids all upstreams of a broker until the given time. The avoidance of an upstream ends early when it
    /// gets another broker or answers a sub-request.
    auto avoid_broker(const instance_id& broker, time_point until) -> void;

    /// Avoids an upstream whose broker did not answer in time; `broker_is_avoided` holds for this upstream
    /// until then.
    auto avoid_unresponsive(const upstream_id& upstream, time_point until) -> void;

    /// Records a successful answer of an upstream; ends its avoidance.
    auto record_success(const upstream_id& upstream) -> void;

    /// The snapshot with the largest share of shards held by a usable upstream, which is one with a broker in
    /// a zone that is in service; of equal ones the newest. Empty when no usable upstream holds any. Linear
    /// in upstreams times snapshots held.
    [[nodiscard]] auto choose_snapshot() const -> std::optional<snapshot_choice>;

    /// Like `choose_snapshot`, but only among snapshots newer than `current`.
    [[nodiscard]] auto newer_snapshot(snapshot_id current) const -> std::optional<snapshot_choice>;

    /// Usable upstreams that hold a shard of a snapshot, earliest expected finish first.
    [[nodiscard]] auto replicas(snapshot_id snapshot, shard_index shard, lane priority, time_point now) const
        -> std::vector<upstream_id>;

    /// Expected time until an upstream would finish one more sub-request of a lane. Much longer for an
    /// upstream that is unknown, avoided or not admitting.
    [[nodiscard]] auto expected_finish(const upstream_id& upstream, lane priority, time_point now) const
        -> duration;

    /// The shortest expected wait for a slot among the replicas of a shard that are warm, admitting and not
    /// avoided; empty when there is none.
    [[nodiscard]] auto least_wait(snapshot_id snapshot, shard_index shard, lane priority,
                                  time_point now) const -> std::optional<duration>;

    /// Whether the broker of an upstream is avoided, because its connection was lost or it was unresponsive.
    /// True for an unknown upstream.
    [[nodiscard]] auto broker_is_avoided(const upstream_id& upstream, time_point now) const -> bool;

    /// The broker of an upstream; empty if it has none or is unknown.
    [[nodiscard]] auto broker_of(const upstream_id& upstream) const -> instance_id;

    /// Running times reported in answers.
    [[nodiscard]] auto service_times() -> latency_tracker& { return service_times_; }
    [[nodiscard]] auto service_times() const -> const latency_tracker& { return service_times_; }

    /// Number of upstreams in the routes.
    [[nodiscard]] auto upstream_count() const -> std::size_t { return upstreams_.size(); }

    /// Brokers to request loads from: those of upstreams whose holdings are unknown or whose last
    /// load report is too old.
    [[nodiscard]] auto brokers_to_ask(time_point now) const -> std::set<instance_id>;

  private:
    struct upstream_entry {
        upstream_route route;
        upstream_load load;
        time_point load_at{};  ///< When `load` was received.
        std::uint32_t sent_since_load = 0;
        time_point avoid_until{};
        time_point avoid_broker_until{};
    };

    /// Reported running time of an upstream, else the mean over the service, else a default.
    [[nodiscard]] auto service_time_of(const upstream_entry& entry) const -> duration;
    /// Whether the upstream has a broker and its zone is in service.
    [[nodiscard]] auto usable(const upstream_entry& entry) const -> bool;
    [[nodiscard]] auto expected_finish(const upstream_entry& entry, lane priority, time_point now) const
        -> duration;
    [[nodiscard]] auto choose_snapshot(std::optional<snapshot_id> newer_than) const
        -> std::optional<snapshot_choice>;
    /// Rebuilds `by_shard_` from the holdings of all upstreams.
    auto index_holdings() -> void;

    std::map<upstream_id, upstream_entry> upstreams_;
    /// Replicas of each shard of each snapshot; points into `upstreams_`.
    std::map<snapshot_id, std::vector<std::vector<upstream_entry*>>> by_shard_;
    latency_tracker service_times_;
};

}  // namespace eelgrassledge
