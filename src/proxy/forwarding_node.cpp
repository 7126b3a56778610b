#include "eelgrassledge/proxy/forwarding_node.hpp"

#include <fmt/format.h>

#include "eelgrassledge/proxy/peer_protocol.hpp"

namespace eelgrassledge {

namespace {

/// Interval of the periodic work: idle connections, slow callers, zone probes, progress of the shutdown.
constexpr std::chrono::milliseconds TICK_INTERVAL{500};

/// Header bytes that instances may add to a caller's request.
constexpr std::size_t PEER_HEADER_BYTES = 1024;

}  // namespace

forwarding_node::forwarding_node(network_context& network, forwarding_node_settings settings, event_log log)
    : network_(network),
      settings_(std::move(settings)),
      log_(std::move(log)),
      forwarder_(network, settings_.forwarding, log_, counters_),
      callers_(network,
               [this](const shared_session& s, inbound_request r) { forwarder_.handle(s, std::move(r)); }),
      readiness_(network,
                 [this](const shared_session& s, const inbound_request&) {
                     check_cut_off(monotonic_now());
                     s->respond({is_ready() ? 200 : 503, {}, ""});
                 }),
      metrics_(network,
               [this](const shared_session& s, const inbound_request&) {
                   counters_.set("eelgrassledge_answers_in_progress_bytes", {},
                                 static_cast<double>(network_.answers.held()));
                   update_session_metrics();
                   s->respond({200, {{"Content-Type", "text/plain"}}, counters_.text()});
               }),
      peers_(network,
             [this](const shared_session& s, inbound_request r) {
                 // Queries are recognised first: the path of a caller's request may be that of another
                 // message.
                 if (is_peer_query(r)) {  // NOLINT(bugprone-branch-clone)
                     forwarder_.handle_for_peer(s, std::move(r));
                 } else if (feed_server::is_feed_request(r)) {
                     feed_server_.handle(s, r);
                 } else if (strike_exchange::is_report(r) && strikes_) {
                     strikes_->handle(s, r);
                 } else if (quota_exchange::is_quota_request(r) && quotas_) {
                     quotas_->handle(s, r);
                 } else if (is_probe(r)) {
                     s->respond({204, {}, ""});
                 } else {
                     forwarder_.handle_for_peer(s, std::move(r));
                 }
             }),
      feed_server_(network, replica_),
      ticks_(network.loop),
      stop_timer_(network.loop) {
    network_.answers.on_given_up([this](std::size_t answer_bytes, std::size_t total_bytes) {
        log_(log_level::warning, "answer_given_up",
             {{"bytes", std::to_string(answer_bytes)},
              {"all_bytes", std::to_string(total_bytes)},
              {"limit_bytes", std::to_string(network_.answers.limit())}});
        counters_.count("eelgrassledge_answers_given_up_total", {});
    });
    forwarder_.suspects().on_event([this](std::string_view event, fingerprint request_fingerprint,
                                          const upstream_id& at, std::string_view reason) {
        log_(log_level::info, event,
             {{"fingerprint", fmt::format("{:016x}", request_fingerprint.value())},
              {"upstream", at.value()},
              {"reason", std::string{reason}}});
    });
}

auto forwarding_node::listen() -> result<bool> {
    limit_listeners();
    std::pair<http_server*, const std::string*> listeners[] = {{&callers_, &settings_.caller_address},
                                                               {&readiness_, &settings_.readiness_address},
                                                               {&metrics_, &settings_.metrics_address},
                                                               {&peers_, &settings_.peer_address}};
    for (auto& [server, address] : listeners) {
        auto endpoint = parse_endpoint(*address);
        if (!endpoint) {
            return tl::unexpected<error>{endpoint.error()};
        }
        auto opened = server->listen(*endpoint);
        if (!opened) {
            return opened;
        }
    }
    tick();
    return true;
}

auto forwarding_node::follow(const watched_store& store, follower_hooks updates) -> void {
    source_ = std::make_unique<feed_source>(network_, store, feed_server_, forwarder_.instances(), eras_,
                                            settings_.seeds, log_);
    source_->on_confirmed([this](time_point at) { replica_.confirm(at); });
    strikes_ = std::make_unique<strike_exchange>(
        network_, store, settings_.strike_prefix, forwarder_.suspects(), forwarder_.instances(),
        [this] { return forwarder_.state().random(); }, log_);
    forwarder_.suspects().on_strike([this](const strike& found) { strikes_->found_here(found); });
    source_->on_strikes([this](const std::vector<strike>& strikes) { strikes_->received(strikes); });
    feed_server_.on_answer([this](feed_answer& answer) {
        answer.recent_outage = source_->had_recent_outage(monotonic_now());
        answer.strikes = strikes_->unstored();
    });
    quotas_ = std::make_unique<quota_exchange>(
        network_, store, settings_.quota, forwarder_.instances(),
        [this]() -> const shared_route_table& { return forwarder_.table(); }, log_, counters_);
    forwarder_.limit_quotas(
        [this](const team& sender, std::function<void(quota_decision)> on_decision) {
            quotas_->ask(sender, std::move(on_decision));
        },
        [this](const team& sender, time_point granted) { quotas_->returned(sender, granted); });
    followed_store_ = std::make_unique<watched_store>(source_->hooks());
    follower_ = std::make_unique<store_follower>(
        network_.loop, *followed_store_, "", settings_.max_update_delay, replica_, std::move(updates),
        [this] { feed_server_.replica_changed(); }, log_);
    eras_.on_rise([this](store_era from, store_era to) { store_restored(from, to); });
    follower_->start();
}

auto forwarding_node::store_restored(store_era from, store_era to) -> void {
    log_(log_level::warning, "store_restored",
         {{"from", std::to_string(from.value())}, {"to", std::to_string(to.value())}});
    quotas_->store_restored();
    source_->store_restored();
    strikes_->store_restored();
    if (restored_) {
        restored_();
    }
    follower_->store_restored();
}

auto forwarding_node::is_ready() const -> bool {
    return !stop_ && upstreams_known_ && forwarder_.table() != nullptr && !cut_off_;
}

auto forwarding_node::reconfigure(const forwarder_settings& settings) -> void {
    forwarder_.state().reconfigure(settings.policy, settings.directory);
}

auto forwarding_node::apply_configuration(route_table_content content) -> void {
    auto table = std::make_shared<const route_table>(std::move(content));
    auto version = std::to_string(table->version().value());
    auto in_force = forwarder_.table() ? std::to_string(forwarder_.table()->version().value()) : "none";
    if (forwarder_.apply_route_table(table)) {
        callers_.configure(table->limits());
        auto peer_limits = table->limits();
        peer_limits.max_header_bytes += PEER_HEADER_BYTES;
        peers_.configure(peer_limits);
        log_(log_level::info, "configuration_taken",
             {{"version", version},
              {"previous", in_force},
              {"routes", std::to_string(table->routes().size())}});
    } else if (version != in_force) {
        log_(log_level::warning, "configuration_ignored", {{"version", version}, {"in_force", in_force}});
    }
}

auto forwarding_node::upstream_announced(const upstream_record& record) -> void {
    auto now = monotonic_now();
    auto known = forwarder_.state().upstreams().find(record.id);
    auto was_leaving = known && known->is_leaving();
    auto was_cold = known && known->is_cold(now);
    auto current = forwarder_.state().upstreams().announce(record, now);
    if (known && current != known) {
        forwarder_.suspects().crashed(record.id, now);
    } else if (!known) {
        forwarder_.suspects().started(record.id, record.born_unix_ms, now);
    }
    auto fields =
        std::vector<log_field>{{"upstream", record.id.value()},
                               {"service", record.service.value()},
                               {"zone", record.zone.value()},
                               {"born_unix_ms", std::to_string(record.born_unix_ms)},
                               {"draining", record.draining ? "yes" : "no"},
                               {"warm_up_left_ms", std::to_string(record.warm_up_left / milliseconds{1})}};
    if (current != known) {
        log_(log_level::info, "upstream_seen", fields);
    } else if (record.draining && !was_leaving) {
        log_(log_level::info, "upstream_draining", fields);
    } else if (current->is_cold(now) && !was_cold) {
        log_(log_level::info, "upstream_cold", fields);
    }
}

auto forwarding_node::upstream_vanished(const upstream_id& id) -> void {
    auto may_return = store_was_unavailable(monotonic_now());
    log_(log_level::info, "upstream_vanished",
         {{"upstream", id.value()}, {"may_return", may_return ? "yes" : "no"}});
    auto& upstreams = forwarder_.state().upstreams();
    auto known = upstreams.find(id);
    if (known && !known->is_leaving() && !may_return) {
        forwarder_.suspects().crashed(id, monotonic_now());
    }
    upstreams.vanished(id, may_return, monotonic_now());
}

auto forwarding_node::mark_listing_complete() -> void {
    upstreams_known_ = true;
    quotas_->listed();
}

auto forwarding_node::allocator_stored(const zone_id& zone, const std::string& value) -> void {
    auto modified = replica_.revision_of(settings_.quota.key_prefix + zone.value());
    quotas_->key_changed(zone, value, {eras_.newest(), modified});
}

auto forwarding_node::allocator_removed(const zone_id& zone) -> void {
    quotas_->key_removed(zone);
}

auto forwarding_node::lease_renewed(lease_id lease, time_point asked) -> void {
    quotas_->lease_renewed(lease, asked);
}

auto forwarding_node::lease_lost() -> void {
    quotas_->lease_lost();
}

auto forwarding_node::store_was_unavailable(time_point now) const -> bool {
    return source_ && source_->had_recent_outage(now);
}

auto forwarding_node::zone_taken_out(const zone_id& zone) -> void {
    log_(log_level::info, "zone_taken_out", {{"zone", zone.value()}});
    forwarder_.state().upstreams().evacuate(zone);
}

auto forwarding_node::zone_brought_back(const zone_id& zone) -> void {
    log_(log_level::info, "zone_brought_back", {{"zone", zone.value()}});
    forwarder_.state().upstreams().restore(zone);
}

auto forwarding_node::instance_seen(const instance_record& instance) -> void {
    if (forwarder_.instances().update(instance)) {
        log_(log_level::info, "instance_seen",
             {{"peer", instance.id.value()}, {"zone", instance.zone.value()}});
    }
    update_instance_count();
}

auto forwarding_node::instance_gone(const instance_id& instance) -> void {
    log_(log_level::info, "instance_gone", {{"peer", instance.value()}});
    forwarder_.instances().remove(instance);
    update_instance_count();
}

auto forwarding_node::strike_stored(const std::string& value) -> result<bool> {
    return strikes_->stored(value);
}

auto forwarding_node::strike_removed(const std::string& key) -> void {
    strikes_->removed(key);
}

auto forwarding_node::update_instance_count() -> void {
    forwarder_.state().instances_changed(forwarder_.instances().count(), monotonic_now());
}

auto forwarding_node::begin_stop(std::function<void()> on_stopped) -> void {
    if (stop_) {
        return;
    }
    stop_started_ = monotonic_now();
    stop_.emplace(stop_started_, settings_.stop_grace);
    on_stopped_ = std::move(on_stopped);
    log_(log_level::info, "stopping", {{"running", std::to_string(forwarder_.running())}});
    callers_.close_after_answers(true);
    peers_.close_after_answers(true);
    forwarder_.begin_stop(*stop_);
    if (quotas_) {
        quotas_->stop();
    }
    // A timer of its own: the ticks are too far apart to be sure of the grace period.
    stop_timer_.expires_after(stop_->last_exit() - stop_started_);
    stop_timer_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            end_stop();
        }
    });
}

auto forwarding_node::check_stop(time_point now) -> void {
    if (now - stop_started_ < settings_.forwarding.policy.balancer_delay) {
        return;
    }
    callers_.close_idle();
    // Other instances then ask one that is not stopping.
    peers_.stop_listening();
    peers_.close_idle();
    if (callers_.sessions() + peers_.sessions() == 0) {
        end_stop();
    }
}

auto forwarding_node::end_stop() -> void {
    if (auto hook = std::exchange(on_stopped_, nullptr)) {
        log_(log_level::info, "stopped", {{"unanswered", std::to_string(forwarder_.running())}});
        hook();
    }
}

// The load balancer sends callers to another zone once no instance of this zone is ready. Callers with open
// connections are asked to open new ones, but only once the balancer has had time to react: before that, the
// new connections would be routed here again.
auto forwarding_node::check_cut_off(time_point now) -> void {
    const auto& zones = forwarder_.state().zones();
    auto cut_off_time = zones.cut_off_for(now);
    // Not cut off while all routes can be served by upstreams that are reachable from here, e.g. in this
    // zone.
    auto was_cut_off = std::exchange(cut_off_, zones.is_cut_off(now) && !forwarder_.serves_all_routes(now));
    if (was_cut_off != cut_off_) {
        log_(log_level::warning, cut_off_ ? "zone_cut_off" : "zone_rejoined",
             {{"zone", settings_.zone.value()},
              {"silent_zones", std::to_string(zones.unresponsive_zones(now).size())}});
    }
    auto is_rerouted = cut_off_ && cut_off_time >= settings_.forwarding.policy.balancer_delay;
    callers_.close_after_answers(is_rerouted || stop_.has_value());
    if (is_rerouted) {
        callers_.close_idle();
    }
}

auto forwarding_node::tick() -> void {
    auto now = monotonic_now();
    forwarder_.probe_unresponsive_zones(now);
    check_cut_off(now);
    callers_.enforce_timeouts(now);
    readiness_.enforce_timeouts(now);
    metrics_.enforce_timeouts(now);
    peers_.enforce_timeouts(now);
    forwarder_.sweep(now);
    if (source_) {
        source_->sweep(now);
        strikes_->sweep(now);
        quotas_->tick(eras_.newest(), now);
    }
    update_instance_count();
    if (stop_) {
        check_stop(now);
    }
    ticks_.expires_after(TICK_INTERVAL);
    ticks_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            tick();
        }
    });
}

}  // namespace eelgrassledge
