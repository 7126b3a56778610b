#include "eelgrassledge/membership/assignment.hpp"

#include <algorithm>
#include <boost/container_hash/hash.hpp>

namespace eelgrassledge {

namespace {

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
    std::vector<upstream_id> names;
    for (const auto& [name, upstream] : doc.upstreams) {
        if (upstream.zone == zone) {
            names.push_back(name);
        }
    }
    return names;
}

auto rendezvous_score(const upstream_id& upstream, const instance_id& member) -> std::size_t {
    std::size_t seed = 0;
    boost::hash_combine(seed, upstream.value());
    boost::hash_combine(seed, member.value());
    return seed;
}

auto winner_below(const upstream_id& upstream, const load_map& loads, std::size_t share) -> instance_id {
    const instance_id* best = nullptr;
    std::size_t best_score = 0;
    for (const auto& [member, load] : loads) {
        auto score = rendezvous_score(upstream, member);
        if (load < share && (best == nullptr || score > best_score)) {
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
    auto share = (upstreams.size() + loads.size() - 1) / loads.size();
    for (const auto& upstream : upstreams) {
        auto before = previous.find(upstream);
        if (before == previous.end()) {
            continue;
        }
        auto owner = loads.find(before->second);
        if (owner != loads.end() && owner->second < share) {
            owners[upstream] = owner->first;
            ++owner->second;
        }
    }
    for (const auto& upstream : upstreams) {
        if (!owners.contains(upstream)) {
            auto owner = winner_below(upstream, loads, share);
            owners[upstream] = owner;
            ++loads[owner];
        }
    }
    return owners;
}

}  // namespace eelgrassledge
