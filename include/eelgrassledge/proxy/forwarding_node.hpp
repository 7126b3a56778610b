#pragma once

#include <map>
#include <set>
#include <string>

#include "eelgrassledge/proxy/feed_source.hpp"
#include "eelgrassledge/proxy/forwarder.hpp"
#include "eelgrassledge/proxy/store_follower.hpp"
#include "eelgrassledge/proxy/strike_exchange.hpp"

namespace eelgrassledge {

struct forwarding_node_settings {
    instance_id instance;
    zone_id zone;
    std::string caller_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string peer_address;
    /// Time between the request to stop and the moment when the process must have ended.
    duration stop_grace = seconds{6};
    forwarder_settings forwarding;
    /// Addresses between instances, of some that are asked besides those that the store told of.
    std::vector<std::string> seeds;
    /// Time in which a change of the store must be known here.
    duration max_update_delay = seconds{3};
    /// Beginning of the keys in the store under which requests that crash upstreams are kept.
    std::string strike_prefix;
};

/// One instance that forwards requests: its listeners, its forwarder, what it is told of upstreams and
/// configuration, and its orderly stop. Where the news comes from is the caller's business.
class forwarding_node {
  public:
    forwarding_node(network_context& network, forwarding_node_settings settings, event_log log);

    /// Opens the listeners.
    auto listen() -> result<bool>;

    /// Starts to follow the store, from the store itself or by way of another instance. `news` gets the keys.
    auto follow(const watched_store& store, follower_hooks news) -> void;

    /// Takes changed settings for requests that begin from now on. Addresses stay as they are.
    auto reconfigure(const forwarder_settings& settings) -> void;

    /// Puts a configuration in force unless a newer one is.
    auto apply_configuration(route_table_content content) -> void;

    auto upstream_announced(const upstream_record& record) -> void;
    auto upstream_vanished(const upstream_id& id) -> void;
    /// Records that everything there is has been announced once.
    auto mark_listing_complete() -> void;
    auto zone_taken_out(const zone_id& zone) -> void;
    auto zone_brought_back(const zone_id& zone) -> void;
    auto instance_seen(const instance_record& instance) -> void;
    auto instance_gone(const instance_id& instance) -> void;
    /// Takes the value of a key that holds a strike; `bad_answer` for bytes of another form.
    auto strike_stored(const std::string& value) -> result<bool>;
    auto strike_removed(const std::string& key) -> void;

    /// Stops in an orderly way: not ready at once, every request answered, then `on_stopped`.
    auto begin_stop(std::function<void()> on_stopped) -> void;

    [[nodiscard]] auto is_ready() const -> bool;

  private:
    auto tick() -> void;
    auto check_stop(time_point now) -> void;
    auto check_cut_off(time_point now) -> void;
    auto count_instances() -> void;
    [[nodiscard]] auto store_was_in_trouble(time_point now) const -> bool;

    network_context& network_;
    forwarding_node_settings settings_;
    event_log log_;
    metrics counters_;
    forwarder forwarder_;
    http_server callers_;
    http_server readiness_;
    http_server metrics_;
    http_server peers_;
    store_replica replica_;
    feed_server feed_server_;
    std::unique_ptr<feed_source> source_;
    std::unique_ptr<strike_exchange> strikes_;
    std::unique_ptr<watched_store> followed_store_;
    std::unique_ptr<store_follower> follower_;
    asio::steady_timer ticks_;
    bool upstreams_known_ = false;
    bool cut_off_ = false;
    bool stopping_ = false;
    time_point stop_began_;
    std::function<void()> on_stopped_;
};

}  // namespace eelgrassledge
