#include "eelgrassledge/membership/assignment.hpp"

#include <algorithm>
#include <boost/container_hash/hash.hpp>

namespace eelgrassledge {

namespace {

/// Number of upstreams assigned to each eligible member.
using load_map = std::map<instance_id, std::size_t>;

auto eligible_members(const document& doc, const zone_id& zone, const std::vector<member_info>& members)
    -> load_map {
    load_map loads;
    for (const auto& member : members) {
        if (member.zone == zone && member.broker && !member.leaving && doc.instance_is_in(member.instance)) {
            loads[member.instance] = 0;
        }
    }
    return loads;
}

auto upstreams_in(const document& doc, const zone_id& zone) -> std::vector<upstream_id> {
    std::vector<upstream_id> upstreams;
    for (const auto& [name, upstream] : doc.upstreams) {
        if (upstream.zone == zone) {
            upstreams.push_back(name);
        }
    }
    return upstreams;
}

auto rendezvous_score(const upstream_id& upstream, const instance_id& member) -> std::size_t {
    std::size_t seed = 0;
    boost::hash_combine(seed, upstream.value());
    boost::hash_combine(seed, member.value());
    return seed;
}

/// The member with the highest score among those that own fewer than `limit` upstreams.
auto best_member_below(const upstream_id& upstream, const load_map& loads, std::size_t limit) -> instance_id {
    const instance_id* best = nullptr;
    std::size_t best_score = 0;
    for (const auto& [member, load] : loads) {
        auto score = rendezvous_score(upstream, member);
        if (load < limit && (best == nullptr || score > best_score)) {
            best = &member;
            best_score = score;
        }
    }
    return best == nullptr ? instance_id{} : *best;
}

}  // namespace

auto assign_upstreams(const document& doc, const zone_id& zone, const std::vector<member_info>& members,
                      const std::map<upstream_id, instance_id>& previous)
    -> std::map<upstream_id, instance_id> {
    auto loads = eligible_members(doc, zone, members);
    auto upstreams = upstreams_in(doc, zone);
    std::map<upstream_id, instance_id> owners;
    if (loads.empty()) {
        return owners;
    }
    auto max_per_member = (upstreams.size() + loads.size() - 1) / loads.size();
    for (const auto& upstream : upstreams) {
        auto previous_owner = previous.find(upstream);
        if (previous_owner == previous.end()) {
            continue;
        }
        auto owner = loads.find(previous_owner->second);
        if (owner != loads.end() && owner->second < max_per_member) {
            owners[upstream] = owner->first;
            ++owner->second;
        }
    }
    for (const auto& upstream : upstreams) {
        if (!owners.contains(upstream)) {
            auto owner = best_member_below(upstream, loads, max_per_member);
            owners[upstream] = owner;
            ++loads[owner];
        }
    }
    return owners;
}

}  // namespace eelgrassledge
