#include "eelgrassledge/membership/zone_coordinator.hpp"

#include <algorithm>

namespace eelgrassledge {

zone_coordinator::zone_coordinator(member_info self, coordinator_times times,
                                   std::vector<std::string> seed_peers, std::uint64_t random_seed)
    : self_(std::move(self)),
      times_(times),
      seed_peers_(std::move(seed_peers)),
      random_state_(random_seed | 1U) {}

auto zone_coordinator::jitter(duration limit) -> duration {
    random_state_ ^= random_state_ << 13U;
    random_state_ ^= random_state_ >> 7U;
    random_state_ ^= random_state_ << 17U;
    return duration{
        static_cast<duration::rep>(random_state_ % static_cast<std::uint64_t>(limit.count() + 1))};
}

auto zone_coordinator::lease_valid(time_point now) const -> bool {
    return role_ == role::reporter && now < lease_until_;
}

// A new reporter waits for a full lease time, because the store may have ended its predecessor's lease before
// the grants based on that lease expired.
auto zone_coordinator::predecessor_grants_expired(time_point now) const -> bool {
    return now >= reporter_since_ + times_.lease_ttl + times_.clock_margin;
}

auto zone_coordinator::available_grant(time_point now) const -> duration {
    if (!lease_valid(now) || !predecessor_grants_expired(now) || !assignment_current_) {
        return duration{0};
    }
    return std::min(times_.grant, lease_until_ - now);
}

auto zone_coordinator::update_document(const document_version& version) -> void {
    if (document_ && version.number <= document_->number) {
        return;
    }
    document_ = version;
    self_.in_force = version.number;
    ++version_;
}

auto zone_coordinator::update_assignment(const assignment& value) -> void {
    auto& current = assignments_[value.zone];
    if (value.number <= current.number) {
        return;
    }
    if (value.zone == self_.zone) {
        record_releases(current, value);
    }
    current = value;
    ++version_;
}

auto zone_coordinator::record_releases(const assignment& before, const assignment& after) -> void {
    for (const auto& [upstream, owner] : after.owners) {
        auto previous = before.owners.find(upstream);
        if (previous == before.owners.end() || previous->second == owner) {
            continue;
        }
        if (role_ == role::reporter && !pending_releases_.contains(upstream)) {
            pending_releases_[upstream] = {previous->second, after.number};
        }
        if (owner == self_.instance) {
            withheld_.insert(upstream);
        }
    }
}

auto zone_coordinator::erase_completed_releases(time_point now) -> void {
    auto is_complete = [&](const auto& item) {
        const auto& [upstream, pending] = item;
        if (pending.previous == self_.instance) {
            return std::ranges::find(own_busy_upstreams_, upstream) == own_busy_upstreams_.end();
        }
        auto member = members_.find(pending.previous);
        if (member == members_.end()) {
            return predecessor_grants_expired(now);
        }
        if (member->second.granted_until + times_.clock_margin <= now) {
            return true;
        }
        auto known = member->second.epochs.find(self_.zone);
        auto knows_reassignment =
            known != member->second.epochs.end() && known->second >= pending.reassigned_in;
        return knows_reassignment && !member->second.busy.contains(upstream);
    };
    auto previous_size = pending_releases_.size();
    std::erase_if(pending_releases_, is_complete);
    if (pending_releases_.size() != previous_size) {
        ++version_;
    }
}

auto zone_coordinator::withheld_from(const instance_id& member) const -> std::vector<upstream_id> {
    std::vector<upstream_id> upstreams;
    auto zone = assignments_.find(self_.zone);
    if (zone == assignments_.end()) {
        return upstreams;
    }
    for (const auto& [upstream, pending] : pending_releases_) {
        auto owner = zone->second.owners.find(upstream);
        if (owner != zone->second.owners.end() && owner->second == member) {
            upstreams.push_back(upstream);
        }
    }
    return upstreams;
}

auto zone_coordinator::owns_any(const instance_id& member) const -> bool {
    auto zone = assignments_.find(self_.zone);
    return zone != assignments_.end() &&
           std::ranges::any_of(zone->second.owners, [&](const auto& item) { return item.second == member; });
}

auto zone_coordinator::handover_complete() const -> bool {
    if (owns_any(self_.instance) || role_ == role::reporter) {
        return false;
    }
    return true;
}

auto zone_coordinator::authority(const upstream_id& upstream, time_point now) const -> send_authority {
    auto zone = assignments_.find(self_.zone);
    if (zone == assignments_.end()) {
        return {};
    }
    auto owner = zone->second.owners.find(upstream);
    if (owner == zone->second.owners.end() || owner->second != self_.instance) {
        return {};
    }
    if (role_ == role::reporter) {
        auto confirmed =
            predecessor_grants_expired(now) && assignment_current_ && !pending_releases_.contains(upstream);
        return {true, confirmed ? lease_until_ : time_point{}};
    }
    return {true, withheld_.contains(upstream) ? time_point{} : authority_until_};
}

auto zone_coordinator::inherited(const upstream_id& upstream) const -> std::optional<warm_up_state> {
    if (role_ == role::reporter) {
        auto known = warm_ups_.find(upstream);
        return known == warm_ups_.end() ? std::nullopt : std::optional{known->second.state};
    }
    auto found = inherited_.find(upstream);
    return found == inherited_.end() ? std::nullopt : std::optional{found->second};
}

auto zone_coordinator::leave() -> void {
    self_.leaving = true;
    ++version_;
}

auto zone_coordinator::report_warm_ups(std::vector<warm_up_report> reports) -> void {
    own_warm_ups_ = std::move(reports);
    if (role_ == role::reporter) {
        for (const auto& report : own_warm_ups_) {
            warm_ups_[report.upstream] = {report.state, self_.instance};
        }
    }
}

auto zone_coordinator::report_busy(std::vector<upstream_id> busy) -> void {
    own_busy_upstreams_ = std::move(busy);
}

auto zone_coordinator::report_suspect(fingerprint print, const suspicion& state, time_point now) -> void {
    merge_suspects({{print, state, duration{0}}}, now);
}

auto zone_coordinator::suspects(time_point now) const -> std::vector<suspect_report> {
    std::vector<suspect_report> reports;
    for (const auto& [print, entry] : suspects_) {
        if (now - entry.since < SUSPECT_LIFETIME) {
            reports.push_back({print, entry.state, now - entry.since});
        }
    }
    return reports;
}

auto zone_coordinator::merge_suspects(const std::vector<suspect_report>& reports, time_point now) -> void {
    for (const auto& report : reports) {
        auto [known, is_new] = suspects_.try_emplace(report.print);
        auto state = merged(known->second.state, report.state);
        if (is_new || state != known->second.state) {
            known->second = {state, now - report.age};
            ++version_;
        }
    }
    std::erase_if(suspects_, [&](const auto& item) { return now - item.second.since >= SUSPECT_LIFETIME; });
}

}  // namespace eelgrassledge
