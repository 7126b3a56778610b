#include "eelgrassledge/routing/quota_client.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Longest time for which a denial is remembered: an allocator that has room again must be asked soon.
constexpr duration MAX_DENIAL_MEMORY = seconds{1};

/// How long after it was granted a returned grant may be used. The limit of a window then moves by at most
/// this time.
constexpr duration RETURNED_LIFETIME = seconds{2};

/// Most returned grants that are kept for a team.
constexpr std::size_t MAX_RETURNED = 64;

/// Time without requests after which a team is forgotten.
constexpr duration IDLE_TIME = seconds{10};

}  // namespace

auto quota_client::next_zone(const team& owner, const quota_split& split, inquiry& progress, time_point now)
    -> std::optional<zone_id> {
    auto& state = teams_[owner.name];
    state.used = now;
    auto may_ask = [&](const zone_id& zone) {
        auto is_asked = std::find(progress.asked.begin(), progress.asked.end(), zone) != progress.asked.end();
        if (is_asked || share_of(owner, split, zone).is_empty()) {
            return false;
        }
        auto denied = state.denials.find(zone);
        if (denied == state.denials.end() || now >= denied->second.ask_again) {
            return true;
        }
        auto wait = denied->second.expected_grant - now;
        progress.shortest_wait = std::min(progress.shortest_wait.value_or(wait), wait);
        return false;
    };
    auto order = split.zones;
    auto put_first = [&](const zone_id& zone) {
        auto found = std::find(order.begin(), order.end(), zone);
        if (found != order.end()) {
            std::rotate(order.begin(), found, found + 1);
        }
    };
    put_first(own_zone_);
    if (state.last_granted) {
        put_first(*state.last_granted);
    }
    auto chosen = std::find_if(order.begin(), order.end(), may_ask);
    if (chosen == order.end()) {
        return std::nullopt;
    }
    progress.asked.push_back(*chosen);
    return *chosen;
}

auto quota_client::answered(const team& owner, const zone_id& zone, const quota_decision& decision,
                            inquiry& progress, time_point now) -> void {
    auto& state = teams_[owner.name];
    switch (decision.verdict) {
        case quota_verdict::granted:
            state.last_granted = zone;
            state.denials.erase(zone);
            break;
        case quota_verdict::denied:
            state.denials[zone] = {now + std::min(decision.wait, MAX_DENIAL_MEMORY), now + decision.wait};
            progress.shortest_wait = std::min(progress.shortest_wait.value_or(decision.wait), decision.wait);
            if (state.last_granted == zone) {
                state.last_granted.reset();
            }
            break;
        case quota_verdict::unavailable:
            if (state.last_granted == zone) {
                state.last_granted.reset();
            }
            break;
    }
}

auto quota_client::conclude(const inquiry& progress) -> quota_decision {
    if (!progress.shortest_wait) {
        return {};
    }
    return {quota_verdict::denied, *progress.shortest_wait};
}

auto quota_client::give_back(const team_id& owner, time_point granted, time_point now) -> void {
    auto& state = teams_[owner];
    state.used = now;
    state.returned.push_back(granted);
    if (state.returned.size() > MAX_RETURNED) {
        state.returned.pop_front();
    }
}

auto quota_client::take_returned(const team_id& owner, time_point now) -> std::optional<time_point> {
    auto found = teams_.find(owner);
    if (found == teams_.end()) {
        return std::nullopt;
    }
    auto& returned = found->second.returned;
    std::erase_if(returned, [&](time_point granted) { return now - granted > RETURNED_LIFETIME; });
    if (returned.empty()) {
        return std::nullopt;
    }
    auto granted = returned.front();
    returned.pop_front();
    return granted;
}

auto quota_client::sweep(time_point now) -> void {
    std::erase_if(teams_, [&](const auto& entry) { return now - entry.second.used > IDLE_TIME; });
}

}  // namespace eelgrassledge
