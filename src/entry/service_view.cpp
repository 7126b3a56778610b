#include "eelgrassledge/entry/service_view.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Running time assumed until the first answer or load report.
constexpr duration DEFAULT_SERVICE_TIME = milliseconds{8};
/// Time over which the weight of a reported load falls linearly from one to zero.
constexpr duration LOAD_DECAY_TIME = milliseconds{500};
/// Age of a load report after which the broker is asked for a new one.
constexpr duration LOAD_STALE_AFTER = seconds{30};
/// Added to the expected finish of an upstream that is not admitting or is avoided.
constexpr duration AVOIDED_PENALTY = seconds{10};
/// Largest shard count of a snapshot; holdings with a larger one are ignored as invalid.
constexpr std::uint32_t MAX_SHARDS = 100'000;

}  // namespace

auto service_view::usable(const upstream_entry& entry) const -> bool {
    return entry.route.zone_in_service && !entry.route.broker.value().empty();
}

auto service_view::set_routes(const std::vector<upstream_route>& routes) -> void {
    std::map<upstream_id, upstream_entry> next;
    for (const auto& route : routes) {
        upstream_entry entry;
        auto known = upstreams_.find(route.upstream);
        if (known != upstreams_.end()) {
            entry = known->second;
        }
        if (entry.route.broker != route.broker) {
            entry.avoid_until = time_point{};
            entry.avoid_broker_until = time_point{};
            entry.load.admitting = true;
        }
        entry.route = route;
        entry.load.upstream = route.upstream;
        next.emplace(route.upstream, std::move(entry));
    }
    upstreams_ = std::move(next);
    index_holdings();
}

auto service_view::index_holdings() -> void {
    by_shard_.clear();
    for (auto& [name, entry] : upstreams_) {
        for (const auto& held : entry.load.holdings) {
            if (held.shard_count == 0 || held.shard_count > MAX_SHARDS ||
                held.shard.value() >= held.shard_count) {
                continue;
            }
            auto& shards = by_shard_[held.snapshot];
            if (shards.size() < held.shard_count) {
                shards.resize(held.shard_count);
            }
            shards[held.shard.value()].push_back(&entry);
        }
    }
}

auto service_view::record_load(const upstream_load& load, time_point now) -> void {
    auto found = upstreams_.find(load.upstream);
    if (found == upstreams_.end()) {
        return;
    }
    auto& entry = found->second;
    auto holdings_changed = !load.holdings.empty() && entry.load.holdings != load.holdings;
    auto holdings = load.holdings.empty() ? entry.load.holdings : load.holdings;
    entry.load = load;
    entry.load.holdings = std::move(holdings);
    entry.load_at = now;
    entry.sent_since_load = 0;
    if (holdings_changed) {
        index_holdings();
    }
}

auto service_view::record_sent(const upstream_id& upstream) -> void {
    auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        ++found->second.sent_since_load;
    }
}

auto service_view::avoid(const upstream_id& upstream, time_point until) -> void {
    auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        found->second.avoid_until = std::max(found->second.avoid_until, until);
    }
}

auto service_view::avoid_broker(const instance_id& broker, time_point until) -> void {
    for (auto& [name, entry] : upstreams_) {
        if (entry.route.broker == broker) {
            entry.avoid_until = std::max(entry.avoid_until, until);
            entry.avoid_broker_until = std::max(entry.avoid_broker_until, until);
        }
    }
}

auto service_view::avoid_unresponsive(const upstream_id& upstream, time_point until) -> void {
    auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        found->second.avoid_until = std::max(found->second.avoid_until, until);
        found->second.avoid_broker_until = std::max(found->second.avoid_broker_until, until);
    }
}

auto service_view::record_success(const upstream_id& upstream) -> void {
    auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        found->second.avoid_until = time_point{};
        found->second.avoid_broker_until = time_point{};
    }
}

auto service_view::choose_snapshot() const -> std::optional<snapshot_choice> {
    return choose_snapshot(std::nullopt);
}

auto service_view::newer_snapshot(snapshot_id current) const -> std::optional<snapshot_choice> {
    return choose_snapshot(std::optional{current});
}

auto service_view::choose_snapshot(std::optional<snapshot_id> newer_than) const
    -> std::optional<snapshot_choice> {
    std::optional<snapshot_choice> best;
    double best_share = -1;
    for (const auto& [snapshot, shards] : by_shard_) {
        if (newer_than && snapshot <= *newer_than) {
            continue;
        }
        auto held = std::ranges::count_if(shards, [this](const auto& replicas) {
            return std::ranges::any_of(replicas, [this](const auto* entry) { return usable(*entry); });
        });
        auto share = static_cast<double>(held) / static_cast<double>(shards.size());
        if (held > 0 && share >= best_share) {
            best_share = share;
            best = snapshot_choice{snapshot, static_cast<std::uint32_t>(shards.size())};
        }
    }
    return best;
}

auto service_view::replicas(snapshot_id snapshot, shard_index shard, lane priority, time_point now) const
    -> std::vector<upstream_id> {
    auto shards = by_shard_.find(snapshot);
    if (shards == by_shard_.end() || shard.value() >= shards->second.size()) {
        return {};
    }
    std::vector<std::pair<duration, const upstream_entry*>> ranked;
    for (const auto* entry : shards->second[shard.value()]) {
        if (usable(*entry)) {
            ranked.emplace_back(expected_finish(*entry, priority, now), entry);
        }
    }
    std::ranges::stable_sort(ranked, {}, &std::pair<duration, const upstream_entry*>::first);
    std::vector<upstream_id> upstreams;
    upstreams.reserve(ranked.size());
    for (const auto& [finish, entry] : ranked) {
        upstreams.push_back(entry->route.upstream);
    }
    return upstreams;
}

auto service_view::expected_finish(const upstream_id& upstream, lane priority, time_point now) const
    -> duration {
    auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? AVOIDED_PENALTY : expected_finish(found->second, priority, now);
}

auto service_view::service_time_of(const upstream_entry& entry) const -> duration {
    if (entry.load.service_time > duration{0}) {
        return entry.load.service_time;
    }
    return service_times_.samples() > 0 ? service_times_.mean() : DEFAULT_SERVICE_TIME;
}

auto service_view::expected_finish(const upstream_entry& entry, lane priority, time_point now) const
    -> duration {
    auto service_time = service_time_of(entry);
    auto slots = std::max(1U, entry.load.slots);
    auto age = std::clamp(now - entry.load_at, duration{0}, LOAD_DECAY_TIME);
    auto freshness = 1.0 - static_cast<double>(age.count()) / static_cast<double>(LOAD_DECAY_TIME.count());
    auto waiting = priority == lane::priority ? entry.load.queued_priority : entry.load.queued;
    auto running = priority == lane::priority ? std::min(entry.load.running, 1U) : entry.load.running;
    auto ahead = freshness * (waiting + running) + entry.sent_since_load;
    auto rounds = 1.0 + std::max(0.0, ahead - (slots - 1.0)) / slots;
    auto finish = duration{static_cast<duration::rep>(rounds * static_cast<double>(service_time.count()))};
    if (!entry.load.warm && entry.load.rate_per_s > 0) {
        finish +=
            duration{static_cast<duration::rep>(freshness * entry.load.queued * 1e6 / entry.load.rate_per_s)};
    }
    if (!entry.load.admitting || entry.avoid_until > now) {
        finish += AVOIDED_PENALTY;
    }
    return finish;
}

auto service_view::broker_is_avoided(const upstream_id& upstream, time_point now) const -> bool {
    auto found = upstreams_.find(upstream);
    return found == upstreams_.end() || found->second.avoid_broker_until > now;
}

auto service_view::least_wait(snapshot_id snapshot, shard_index shard, lane priority, time_point now) const
    -> std::optional<duration> {
    auto shards = by_shard_.find(snapshot);
    if (shards == by_shard_.end() || shard.value() >= shards->second.size()) {
        return std::nullopt;
    }
    std::optional<duration> best;
    for (const auto* entry : shards->second[shard.value()]) {
        if (usable(*entry) && entry->load.warm && entry->load.admitting && entry->avoid_until <= now) {
            auto wait = expected_finish(*entry, priority, now) - service_time_of(*entry);
            best = best ? std::min(*best, wait) : wait;
        }
    }
    return best;
}

auto service_view::broker_of(const upstream_id& upstream) const -> instance_id {
    auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? instance_id{} : found->second.route.broker;
}

auto service_view::brokers_to_ask(time_point now) const -> std::set<instance_id> {
    std::set<instance_id> brokers;
    for (const auto& [name, entry] : upstreams_) {
        auto holdings_unknown = entry.load.holdings.empty();
        auto load_stale = now - entry.load_at > LOAD_STALE_AFTER;
        if ((holdings_unknown || load_stale) && !entry.route.broker.value().empty()) {
            brokers.insert(entry.route.broker);
        }
    }
    return brokers;
}

}  // namespace eelgrassledge
