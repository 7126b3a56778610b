#include "eelgrassledge/routing/routing_state.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace eelgrassledge {

namespace {

/// Longest time reserved for assembling an answer.
constexpr duration MAX_ASSEMBLY_TIME = milliseconds{8};

/// Number of samples from which the measured quantile replaces the default hedge delay.
constexpr std::size_t ENOUGH_SAMPLES = 30;

/// Largest random addition to the expected latency, in milliseconds; spreads the sub-requests of several
/// instances over equal replicas.
constexpr double JITTER_MS = 2;

/// Expectation for a shard without a usable replica.
constexpr double MAX_EXPECTED_MS = 60'000;

}  // namespace

auto assembly_time(duration work, double processor_cores) -> duration {
    if (processor_cores <= 0) {
        return {};
    }
    auto time = std::chrono::duration<double, std::micro>(work) / processor_cores;
    return std::min(MAX_ASSEMBLY_TIME, std::chrono::duration_cast<duration>(time));
}

auto routing_state::budget_limits() const -> retry_budget_limits {
    auto limits = policy_.budget;
    limits.allowance /= static_cast<double>(population_.count());
    return limits;
}

auto routing_state::sweep(time_point now) -> std::vector<shared_upstream> {
    auto gone = upstreams_.sweep(now);
    for (const auto& u : gone) {
        cold_shares_.erase(u->id());
    }
    return gone;
}

auto routing_state::hedge_delay(const route& r) -> duration {
    auto latest = std::chrono::duration_cast<duration>(r.latency_objective * policy_.max_hedge_share);
    const auto& seen = latencies(r.name);
    if (seen.samples() < ENOUGH_SAMPLES) {
        return latest;
    }
    return std::min(latest, seen.quantile(policy_.hedge_quantile));
}

auto routing_state::choose(const service_id& service, const route& r,
                           const std::vector<shared_upstream>& tried, const service_rule* rule,
                           time_point now, double avoided_limit_ms) -> shared_upstream {
    auto cost_ms = costs_.cost_ms(r.name);
    shared_upstream best;
    auto best_preference = preference::never;
    double best_score = 0;
    for (const auto& u : upstreams_.replicas(service)) {
        auto rank = preference_of(*u, now);
        auto passed_over = std::find(tried.begin(), tried.end(), u) != tried.end();
        if (passed_over || rank == preference::never) {
            continue;
        }
        auto score = u->expected_ms(now, cost_ms) + random_() * JITTER_MS;
        if (rank != preference::normal && score > avoided_limit_ms) {
            continue;
        }
        if (u->record().zone != policy_.own_zone) {
            score += policy_.zone_surcharge_ms + policy_.zone_surcharge_share * score;
        }
        auto better = !best || rank < best_preference || (rank == best_preference && score < best_score);
        if (better && admit_cold(*u, rule, now)) {
            best = u;
            best_preference = rank;
            best_score = score;
        }
    }
    return best;
}

auto routing_state::load_of(const route& r, const std::vector<std::size_t>& shards, duration left,
                            time_point now) -> query_load {
    const auto& all = r.gather->shards;
    auto cost_ms = costs_.cost_ms(r.name);
    std::vector<double> expected_ms;
    double slots = 0;
    auto add = [&](const service_id& service) {
        auto shortest = std::numeric_limits<double>::infinity();
        for (const auto& u : upstreams_.replicas(service)) {
            if (preference_of(*u, now) != preference::never) {
                shortest = std::min(shortest, u->expected_ms(now, cost_ms));
                slots += u->record().slots;
            }
        }
        expected_ms.push_back(shortest);
    };
    if (shards.empty()) {
        std::for_each(all.begin(), all.end(), add);
    } else {
        std::for_each(shards.begin(), shards.end(), [&](std::size_t i) { add(all.at(i)); });
    }
    auto needed = std::ceil(r.gather->min_shard_ratio * static_cast<double>(expected_ms.size()));
    auto slowest = expected_ms.begin() + static_cast<std::ptrdiff_t>(std::max(1.0, needed)) - 1;
    std::nth_element(expected_ms.begin(), slowest, expected_ms.end());
    query_load load;
    auto in_flight = admission(*r.gather).in_flight(now) * static_cast<double>(runners_);
    auto share_of_shards = static_cast<double>(expected_ms.size()) / static_cast<double>(all.size());
    load.in_flight_per_slot = slots > 0 ? in_flight * share_of_shards / slots : 0;
    load.expected = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(std::min(*slowest, MAX_EXPECTED_MS)));
    load.left = left;
    return load;
}

auto routing_state::preference_of(const upstream& u, time_point now) const -> preference {
    if (upstreams_.is_evacuated(u)) {
        return preference::never;
    }
    auto own = u.preference_at(now);
    return zones_.is_unresponsive(u.record().zone, now) ? std::max(own, preference::degraded) : own;
}

auto routing_state::is_served(const service_id& service, time_point now) const -> bool {
    const auto& replicas = upstreams_.replicas(service);
    return std::any_of(replicas.begin(), replicas.end(), [&](const shared_upstream& u) {
        return preference_of(*u, now) != preference::never && !zones_.is_unresponsive(u->record().zone, now);
    });
}

auto routing_state::is_served(const route& r, time_point now) const -> bool {
    auto serves = [&](const service_id& service) { return is_served(service, now); };
    if (!r.gather) {
        return std::any_of(r.targets.begin(), r.targets.end(),
                           [&](const auto& target) { return serves(target.service); });
    }
    const auto& shards = r.gather->shards;
    auto served = std::count_if(shards.begin(), shards.end(), serves);
    return static_cast<std::size_t>(served) >= r.gather->required_parts();
}

auto routing_state::time_until_served(const service_id& service, time_point now) const
    -> std::optional<duration> {
    std::optional<duration> shortest;
    for (const auto& u : upstreams_.replicas(service)) {
        auto is_usable = !u->is_gone(now) && !upstreams_.is_evacuated(*u) &&
                         !zones_.is_unresponsive(u->record().zone, now);
        if (is_usable) {
            auto wait = std::max(duration{}, u->paused_until() - now);
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

auto routing_state::time_until_served(const route& r, time_point now) const -> std::optional<duration> {
    std::vector<duration> waits;
    auto add = [&](const service_id& service) {
        if (auto wait = time_until_served(service, now)) {
            waits.push_back(*wait);
        }
    };
    if (r.gather) {
        std::for_each(r.gather->shards.begin(), r.gather->shards.end(), add);
    } else {
        std::for_each(r.targets.begin(), r.targets.end(), [&](const auto& target) { add(target.service); });
    }
    auto required = r.gather ? r.gather->required_parts() : 1;
    if (waits.size() < required) {
        return std::nullopt;
    }
    auto last_required = waits.begin() + static_cast<std::ptrdiff_t>(required - 1);
    std::nth_element(waits.begin(), last_required, waits.end());
    return *last_required;
}

auto routing_state::retry_after(result_code code, const route& r, double urgency, time_point now)
    -> duration {
    if (code == result_code::upstream_unreachable && zones_.is_cut_off(now)) {
        // Before that the load balancer would route the caller to this zone again.
        return std::max(policy_.retry_after, policy_.balancer_delay - zones_.cut_off_for(now));
    }
    if (code == result_code::upstream_unreachable || code == result_code::upstream_shedding) {
        return policy_.retry_after + time_until_served(r, now).value_or(duration{});
    }
    if (code == result_code::overloaded && r.gather) {
        return policy_.retry_after + shedder(*r.gather).extra_wait(urgency, random_(), now);
    }
    return policy_.retry_after;
}

auto routing_state::random_index(std::size_t count) -> std::size_t {
    auto at = static_cast<std::size_t>(random_() * static_cast<double>(count));
    return std::min(at, count - 1);
}

auto routing_state::admit_cold(const upstream& u, const service_rule* rule, time_point now) -> bool {
    if (!u.is_cold(now)) {
        cold_shares_.erase(u.id());
        return true;
    }
    if (rule == nullptr || rule->warm_up_rate <= 0) {
        return true;
    }
    auto found = cold_shares_.find(u.id());
    if (found == cold_shares_.end()) {
        found = cold_shares_.emplace(u.id(), warm_up_share{random_()}).first;
    }
    auto share = policy_.warm_up.used_share * rule->warm_up_rate / static_cast<double>(population_.count());
    return found->second.take(share, now);
}

}  // namespace eelgrassledge
