#include "eelgrassledge/routing/gather_placement.hpp"

#include <algorithm>
#include <map>

namespace eelgrassledge {

namespace {

/// Minimum size of a group: with fewer shards the additional hop costs more than it saves.
constexpr std::size_t MIN_GROUP_SHARDS = 4;

}  // namespace

auto gather_placement::zones_of(const service_id& shard, time_point now) const -> std::vector<zone_id> {
    std::vector<zone_id> zones;
    for (const auto& u : state_.upstreams().replicas(shard)) {
        auto usable = state_.preference_of(*u, now) == preference::normal;
        if (usable && std::find(zones.begin(), zones.end(), u->record().zone) == zones.end()) {
            zones.push_back(u->record().zone);
        }
    }
    return zones;
}

auto gather_placement::choose_runner(const zone_id& zone, const instance_directory& instances, time_point now)
    -> std::optional<instance_record> {
    auto candidates = instances.eligible_in(zone, now);
    auto is_self = [&](const instance_record& record) { return record.id == instances.self().id; };
    if (candidates.empty() || std::any_of(candidates.begin(), candidates.end(), is_self)) {
        return std::nullopt;
    }
    return candidates[state_.random_index(candidates.size())];
}

auto gather_placement::plan(const gather_rule& gather, const instance_directory& instances, time_point now)
    -> std::vector<shard_group> {
    std::map<zone_id, std::vector<std::size_t>> by_zone;
    for (std::size_t i = 0; i < gather.shards.size(); ++i) {
        for (const auto& zone : zones_of(gather.shards[i], now)) {
            by_zone[zone].push_back(i);
        }
    }
    std::vector<shard_group> groups;
    std::vector<bool> placed(gather.shards.size(), false);
    const auto& own = instances.self().zone;
    while (!by_zone.empty()) {
        // This instance's zone first, then the zone with most of the remaining shards; ties are broken
        // randomly.
        auto chosen = by_zone.find(own);
        if (chosen == by_zone.end()) {
            double most = 0;
            for (auto it = by_zone.begin(); it != by_zone.end(); ++it) {
                auto weight = static_cast<double>(it->second.size()) + state_.random();
                if (weight > most) {
                    most = weight;
                    chosen = it;
                }
            }
        }
        auto zone = chosen->first;
        auto shards = std::move(chosen->second);
        by_zone.erase(chosen);
        std::erase_if(shards, [&](std::size_t i) { return placed[i]; });
        if (shards.size() >= MIN_GROUP_SHARDS) {
            if (auto runner = choose_runner(zone, instances, now)) {
                groups.push_back({*runner, shards});
            }
        }
        for (auto i : shards) {
            placed[i] = true;
        }
        for (auto& [other, remaining] : by_zone) {
            std::erase_if(remaining, [&](std::size_t i) { return placed[i]; });
        }
    }
    return groups;
}

}  // namespace eelgrassledge
