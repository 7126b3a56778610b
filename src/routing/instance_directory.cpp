#include "eelgrassledge/routing/instance_directory.hpp"

#include <algorithm>
#include <set>

namespace eelgrassledge {

namespace {

/// Shortest and longest time for which an instance that did not answer is not used: a restart takes about a
/// second, a network partition longer.
constexpr duration MIN_AVOIDANCE = milliseconds{500};
constexpr duration MAX_AVOIDANCE = seconds{4};

/// Share of the largest capacity in a zone from which an instance is eligible for work of other instances.
constexpr double ELIGIBLE_SHARE = 0.5;

}  // namespace

auto instance_directory::update(instance_record record) -> bool {
    if (record.id == self_.id) {
        return false;
    }
    auto [place, is_new] = others_.try_emplace(record.id);
    place->second.record = std::move(record);
    return is_new;
}

auto instance_directory::remove(const instance_id& id) -> void {
    others_.erase(id);
}

auto instance_directory::failed(const instance_id& id, time_point now) -> void {
    auto found = others_.find(id);
    if (found == others_.end() || now < found->second.avoid_until) {
        return;
    }
    auto& known = found->second;
    known.avoid_for = std::clamp(2 * known.avoid_for, MIN_AVOIDANCE, MAX_AVOIDANCE);
    known.avoid_until = now + known.avoid_for;
}

auto instance_directory::answered(const instance_id& id) -> void {
    auto found = others_.find(id);
    if (found != others_.end()) {
        found->second.avoid_for = {};
    }
}

auto instance_directory::count() const -> std::size_t {
    return others_.size() + 1;
}

auto instance_directory::is_usable(const instance_id& id, time_point now) const -> bool {
    auto found = others_.find(id);
    return id == self_.id || (found != others_.end() && now >= found->second.avoid_until);
}

auto instance_directory::others() const -> std::vector<instance_record> {
    std::vector<instance_record> found;
    found.reserve(others_.size());
    for (const auto& [id, known] : others_) {
        found.push_back(known.record);
    }
    return found;
}

auto instance_directory::all_in(const zone_id& zone) const -> std::vector<instance_record> {
    std::vector<instance_record> found;
    if (self_.zone == zone) {
        found.push_back(self_);
    }
    for (const auto& [id, known] : others_) {
        if (known.record.zone == zone) {
            found.push_back(known.record);
        }
    }
    return found;
}

auto instance_directory::eligible_in(const zone_id& zone, time_point now) const
    -> std::vector<instance_record> {
    auto found = all_in(zone);
    double largest = 0;
    for (const auto& record : found) {
        largest = std::max(largest, record.capacity);
    }
    std::erase_if(found, [&](const instance_record& record) {
        return record.capacity < ELIGIBLE_SHARE * largest || !is_usable(record.id, now);
    });
    return found;
}

auto instance_directory::eligible_count(time_point now) const -> std::size_t {
    std::set<zone_id> zones{self_.zone};
    for (const auto& [id, known] : others_) {
        zones.insert(known.record.zone);
    }
    std::size_t count = 0;
    for (const auto& zone : zones) {
        count += eligible_in(zone, now).size();
    }
    return count;
}

auto instance_directory::is_self_eligible(time_point now) const -> bool {
    auto found = eligible_in(self_.zone, now);
    return std::any_of(found.begin(), found.end(),
                       [&](const instance_record& record) { return record.id == self_.id; });
}

}  // namespace eelgrassledge
