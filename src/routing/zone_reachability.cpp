#include "eelgrassledge/routing/zone_reachability.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Silent attempts in a row from which a zone counts as silent: one or two upstreams may have vanished.
constexpr std::uint32_t SILENT_ATTEMPTS = 3;

/// Age from which a silence says nothing of the present.
constexpr duration SILENCE_AGE = seconds{2};

/// Age from which a zone counts as one without traffic, for instance because it was evacuated.
constexpr duration TRAFFIC_AGE = seconds{10};

/// Fewest silent zones by which this zone is the one that is cut off.
constexpr std::ptrdiff_t CUT_OFF_ZONES = 2;

}  // namespace

auto zone_reachability::is_unresponsive(const zone_traffic& traffic, time_point now) -> bool {
    return traffic.silences_since_answer >= SILENT_ATTEMPTS && now - traffic.last_silence < SILENCE_AGE;
}

auto zone_reachability::answered(const zone_id& zone, time_point now) -> bool {
    if (zone == own_) {
        return false;
    }
    auto& traffic = others_[zone];
    auto was_silent = is_unresponsive(traffic, now);
    traffic.last_answer = now;
    traffic.silences_since_answer = 0;
    return was_silent;
}

auto zone_reachability::unanswered(const zone_id& zone, time_point now) -> bool {
    if (zone == own_) {
        return false;
    }
    auto& traffic = others_[zone];
    auto was_silent = is_unresponsive(traffic, now);
    auto was_cut_off = is_cut_off(now);
    traffic.last_silence = now;
    ++traffic.silences_since_answer;
    if (!was_cut_off && is_cut_off(now)) {
        cut_off_at_ = now;
    }
    return !was_silent && is_unresponsive(traffic, now);
}

auto zone_reachability::is_unresponsive(const zone_id& zone, time_point now) const -> bool {
    auto found = others_.find(zone);
    return found != others_.end() && is_unresponsive(found->second, now);
}

auto zone_reachability::is_cut_off(time_point now) const -> bool {
    std::ptrdiff_t silent = 0;
    for (const auto& [zone, traffic] : others_) {
        auto is_recent = now - std::max(traffic.last_answer, traffic.last_silence) < TRAFFIC_AGE;
        if (!is_recent) {
            continue;
        }
        if (!is_unresponsive(traffic, now)) {
            return false;
        }
        ++silent;
    }
    return silent >= CUT_OFF_ZONES;
}

auto zone_reachability::cut_off_for(time_point now) const -> duration {
    return is_cut_off(now) ? now - cut_off_at_ : duration{};
}

auto zone_reachability::unresponsive_zones(time_point now) const -> std::vector<zone_id> {
    std::vector<zone_id> silent;
    for (const auto& [zone, traffic] : others_) {
        if (is_unresponsive(traffic, now)) {
            silent.push_back(zone);
        }
    }
    return silent;
}

}  // namespace eelgrassledge
