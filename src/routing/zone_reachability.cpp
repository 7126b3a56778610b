#include "eelgrassledge/routing/zone_reachability.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// Unanswered attempts in a row from which a zone counts as unresponsive: fewer may be due to one or two
/// vanished upstreams.
constexpr std::uint32_t UNANSWERED_ATTEMPTS = 3;

/// Age from which an unanswered attempt is no longer evidence about the zone.
constexpr duration UNANSWERED_MAX_AGE = seconds{2};

/// Age of the latest traffic from which a zone counts as unused, for instance because it was evacuated.
constexpr duration TRAFFIC_MAX_AGE = seconds{10};

/// Fewest unresponsive zones from which this zone is considered the one that is cut off.
constexpr std::ptrdiff_t CUT_OFF_ZONES = 2;

}  // namespace

auto zone_reachability::is_unresponsive(const zone_traffic& traffic, time_point now) -> bool {
    return traffic.unanswered_in_row >= UNANSWERED_ATTEMPTS &&
           now - traffic.last_unanswered < UNANSWERED_MAX_AGE;
}

auto zone_reachability::answered(const zone_id& zone, time_point now) -> bool {
    if (zone == own_) {
        return false;
    }
    auto& traffic = others_[zone];
    auto was_unresponsive = is_unresponsive(traffic, now);
    traffic.last_answer = now;
    traffic.unanswered_in_row = 0;
    traffic.last_unconfirmed.clear();
    return was_unresponsive;
}

auto zone_reachability::unanswered(const zone_id& zone, time_point sent, time_point now) -> bool {
    if (zone == own_) {
        return false;
    }
    auto& traffic = others_[zone];
    auto answered_since = traffic.last_answer > sent;
    return !answered_since && count_unanswered(traffic, now);
}

auto zone_reachability::unconfirmed(const zone_id& zone, const instance_id& by, time_point sent,
                                    time_point now) -> bool {
    if (zone == own_) {
        return false;
    }
    auto& traffic = others_[zone];
    auto counted = traffic.last_unconfirmed.find(by);
    auto ran_with_counted = counted != traffic.last_unconfirmed.end() && sent < counted->second;
    if (traffic.last_answer > sent || ran_with_counted) {
        return false;
    }
    traffic.last_unconfirmed[by] = now;
    return count_unanswered(traffic, now);
}

auto zone_reachability::count_unanswered(zone_traffic& traffic, time_point now) -> bool {
    auto was_unresponsive = is_unresponsive(traffic, now);
    auto was_cut_off = is_cut_off(now);
    traffic.last_unanswered = now;
    ++traffic.unanswered_in_row;
    if (!was_cut_off && is_cut_off(now)) {
        cut_off_at_ = now;
    }
    return !was_unresponsive && is_unresponsive(traffic, now);
}

auto zone_reachability::is_unresponsive(const zone_id& zone, time_point now) const -> bool {
    auto found = others_.find(zone);
    return found != others_.end() && is_unresponsive(found->second, now);
}

auto zone_reachability::is_cut_off(time_point now) const -> bool {
    std::ptrdiff_t unresponsive = 0;
    for (const auto& [zone, traffic] : others_) {
        auto is_recent = now - std::max(traffic.last_answer, traffic.last_unanswered) < TRAFFIC_MAX_AGE;
        if (!is_recent) {
            continue;
        }
        if (!is_unresponsive(traffic, now)) {
            return false;
        }
        ++unresponsive;
    }
    return unresponsive >= CUT_OFF_ZONES;
}

auto zone_reachability::cut_off_for(time_point now) const -> duration {
    return is_cut_off(now) ? now - cut_off_at_ : duration{};
}

auto zone_reachability::unresponsive_zones(time_point now) const -> std::vector<zone_id> {
    std::vector<zone_id> unresponsive;
    for (const auto& [zone, traffic] : others_) {
        if (is_unresponsive(traffic, now)) {
            unresponsive.push_back(zone);
        }
    }
    return unresponsive;
}

}  // namespace eelgrassledge
