#pragma once

#include <map>
#include <set>
#include <string>

#include "eelgrassledge/proxy/feed_source.hpp"
#include "eelgrassledge/proxy/forwarder.hpp"
#include "eelgrassledge/proxy/quota_exchange.hpp"
#include "eelgrassledge/proxy/store_follower.hpp"
#include "eelgrassledge/proxy/strike_exchange.hpp"

namespace eelgrassledge {

/// Settings of a `forwarding_node`. Addresses are of the form that `parse_endpoint` reads.
struct forwarding_node_settings {
    instance_id instance;
    zone_id zone;
    std::string caller_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string peer_address;
    /// Time from the request to stop until the process must have ended.
    duration stop_grace = seconds{6};
    forwarder_settings forwarding;
    /// Peer addresses of some instances that are asked in addition to those listed in the store.
    std::vector<std::string> seeds;
    /// Maximum time until a change in the store must have been received here.
    duration max_update_delay = seconds{3};
    /// Prefix of the store keys that hold strikes, that is, records of requests that crash upstreams.
    std::string strike_prefix;
    quota_settings quota;
    /// File descriptors that this process may have open, those kept for files included.
    std::size_t max_descriptors = 4100;
};

/// One instance that forwards requests: its listeners, its forwarder, its view of upstreams, instances and
/// configuration, and its graceful shutdown. `follow` receives the contents of the store; the owner of the
/// node decodes them and passes them on through the functions below.
class forwarding_node {
  public:
    forwarding_node(network_context& network, forwarding_node_settings settings, event_log log);

    /// Opens the listeners and starts the periodic work. Fails if an address is malformed or cannot be bound.
    auto listen() -> result<bool>;

    /// Starts to follow the store, directly or through another instance. `updates` is called with the
    /// changes.
    auto follow(const watched_store& store, follower_hooks updates) -> void;

    /// Applies changed policy and directory limits to requests that begin from now on. Addresses stay
    /// unchanged.
    auto reconfigure(const forwarder_settings& settings) -> void;

    /// Makes a configuration the one in force unless its version is not newer than the current one.
    auto apply_configuration(route_table_content content) -> void;

    /// Adds or updates an upstream.
    auto upstream_announced(const upstream_record& record) -> void;
    /// Removes an upstream whose record is gone from the store. A recent store outage is taken into account:
    /// the upstream may then be alive, so that it does not count as crashed.
    auto upstream_vanished(const upstream_id& id) -> void;
    /// Records that the first full listing has been processed; the instance is not ready before.
    auto mark_listing_complete() -> void;
    auto zone_taken_out(const zone_id& zone) -> void;
    auto zone_brought_back(const zone_id& zone) -> void;
    auto instance_seen(const instance_record& instance) -> void;
    auto instance_gone(const instance_id& instance) -> void;
    /// Adds the strike that the store holds as `value`; fails with `bad_answer` if it cannot be decoded.
    auto strike_stored(const std::string& value) -> result<bool>;
    /// Removes the strike that the store held under `key`.
    auto strike_removed(const std::string& key) -> void;

    /// Records the allocator of a zone's quota shares that the store holds under the key of the zone.
    auto allocator_stored(const zone_id& zone, const std::string& value) -> void;
    auto allocator_removed(const zone_id& zone) -> void;
    /// The lease of this instance's registration was granted or renewed by a call that began at `asked`.
    auto lease_renewed(lease_id lease, time_point asked) -> void;
    auto lease_lost() -> void;

    /// The newest era of the store. Its user reports the era of every answer of the store to it before using
    /// the answer.
    [[nodiscard]] auto eras() -> store_eras& { return eras_; }
    /// Sets the hook that is called when the store was restored from a copy, so that the owner of the node
    /// writes its keys again.
    auto on_store_restored(std::function<void()> hook) -> void { restored_ = std::move(hook); }

    /// Starts a graceful shutdown: reports not ready at once, answers the running requests within the stop
    /// grace, then calls `on_stopped`. Later calls have no effect.
    auto begin_stop(std::function<void()> on_stopped) -> void;

    [[nodiscard]] auto is_ready() const -> bool;

  private:
    /// Sets the limits of the listeners, and reports the sessions that they end because of a limit.
    auto limit_listeners() -> void;
    auto report_loss(const char* listener, const session_loss& loss) -> void;
    auto update_session_metrics() -> void;

    /// Periodic work; schedules its next run.
    auto tick() -> void;
    /// Once the balancer delay has passed: closes idle connections and ends the shutdown when no session is
    /// left.
    auto check_stop(time_point now) -> void;
    /// Ends the shutdown; later calls have no effect.
    auto end_stop() -> void;
    /// Updates whether this zone is cut off: no other zone with recent traffic responds, and some route
    /// cannot be served from here.
    auto check_cut_off(time_point now) -> void;
    auto update_instance_count() -> void;
    /// Starts what a restored store requires, before any answer of the new era is used.
    auto store_restored(store_era from, store_era to) -> void;
    [[nodiscard]] auto store_was_unavailable(time_point now) const -> bool;

    network_context& network_;
    forwarding_node_settings settings_;
    event_log log_;
    metrics counters_;
    forwarder forwarder_;
    http_server callers_;
    http_server readiness_;
    http_server metrics_;
    http_server peers_;
    store_eras eras_;
    std::function<void()> restored_;
    store_replica replica_;
    feed_server feed_server_;
    std::unique_ptr<feed_source> source_;
    std::unique_ptr<strike_exchange> strikes_;
    std::unique_ptr<quota_exchange> quotas_;
    std::unique_ptr<watched_store> followed_store_;
    std::unique_ptr<store_follower> follower_;
    asio::steady_timer ticks_;
    /// When a lost session was last logged, and how many were lost since.
    time_point loss_logged_{};
    std::size_t losses_unlogged_ = 0;
    bool upstreams_known_ = false;
    bool cut_off_ = false;
    /// Set once the shutdown has begun.
    std::optional<stop_schedule> stop_;
    time_point stop_started_;
    asio::steady_timer stop_timer_;
    std::function<void()> on_stopped_;
};

}  // namespace eelgrassledge
