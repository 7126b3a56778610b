// Syncs of the zone coordinator with other daemons: which peers to sync with, and the content of requests and
// replies.

#include <algorithm>

#include "eelgrassledge/membership/zone_coordinator.hpp"

namespace eelgrassledge {

namespace {

/// Time between two syncs with another zone's reporter, with a seed, or with a member of the same zone that
/// is not its reporter.
constexpr duration REMOTE_SYNC_INTERVAL = milliseconds{1000};
/// Time between two syncs that a reporter sends to a member with outdated state, so that the member syncs at
/// once.
constexpr duration MEMBER_NOTIFICATION_INTERVAL = milliseconds{100};

}  // namespace

auto zone_coordinator::live_members(time_point now) const -> std::vector<member_info> {
    std::vector<member_info> live{self_};
    for (const auto& [name, member] : members_) {
        auto timed_out = now - member.last_sync > times_.member_timeout;
        auto may_have_authority = member.granted_until + times_.clock_margin > now;
        if (name != self_.instance && (!timed_out || may_have_authority)) {
            live.push_back(member.info);
        }
    }
    std::ranges::sort(live, {}, &member_info::instance);
    return live;
}

auto zone_coordinator::members(time_point now) const -> std::vector<member_info> {
    if (role_ == role::reporter) {
        return live_members(now);
    }
    auto zone = assignments_.find(self_.zone);
    return zone == assignments_.end() ? std::vector<member_info>{self_} : zone->second.members;
}

auto zone_coordinator::reporter_addresses() const -> std::vector<std::string> {
    std::vector<std::string> addresses;
    for (const auto& [zone, value] : assignments_) {
        for (const auto& member : value.members) {
            if (zone != self_.zone && member.instance == value.reporter) {
                addresses.push_back(member.peer_address);
            }
        }
    }
    return addresses;
}

auto zone_coordinator::outdated_members() const -> std::vector<std::string> {
    std::vector<std::string> addresses;
    auto zone = assignments_.find(self_.zone);
    auto current_epoch = zone == assignments_.end() ? epoch{} : zone->second.number;
    auto newest_revision = document_ ? document_->number : revision{};
    for (const auto& [name, member] : members_) {
        auto known = member.epochs.find(self_.zone);
        auto epoch_outdated = known == member.epochs.end() || known->second < current_epoch;
        if (epoch_outdated || member.info.in_force < newest_revision) {
            addresses.push_back(member.info.peer_address);
        }
    }
    return addresses;
}

auto zone_coordinator::sync_interval_to(const std::string& address) const -> duration {
    if (role_ == role::follower) {
        return address == reporter_address_ ? times_.sync_interval : REMOTE_SYNC_INTERVAL;
    }
    auto is_member = std::ranges::any_of(
        members_, [&](const auto& item) { return item.second.info.peer_address == address; });
    return is_member ? MEMBER_NOTIFICATION_INTERVAL : REMOTE_SYNC_INTERVAL;
}

auto zone_coordinator::due_syncs(time_point now) -> std::vector<std::string> {
    auto reporter_timed_out =
        role_ == role::follower && last_reporter_contact_ + times_.reporter_timeout <= now;
    std::vector<std::string> candidates;
    if (role_ == role::reporter) {
        candidates = reporter_addresses();
        std::ranges::copy(outdated_members(), std::back_inserter(candidates));
    } else if (!reporter_address_.empty()) {
        candidates.push_back(reporter_address_);
    }
    if (reporter_timed_out || !document_) {
        std::ranges::copy(seed_peers_, std::back_inserter(candidates));
        auto zone = assignments_.find(self_.zone);
        if (zone != assignments_.end()) {
            for (const auto& member : zone->second.members) {
                candidates.push_back(member.peer_address);
            }
        }
        std::ranges::copy(reporter_addresses(), std::back_inserter(candidates));
    }
    std::vector<std::string> due;
    for (const auto& address : candidates) {
        auto& next_sync = next_sync_[address];
        if (address == self_.peer_address || next_sync > now) {
            continue;
        }
        next_sync = now + sync_interval_to(address);
        due.push_back(address);
    }
    return due;
}

auto zone_coordinator::make_sync_request(time_point now) const -> sync_request {
    sync_request request;
    request.from = self_;
    request.in_force = document_ ? document_->number : revision{};
    for (const auto& [zone, value] : assignments_) {
        request.epochs[zone] = value.number;
    }
    request.wants_grant = role_ == role::follower;
    request.warm_ups = own_warm_ups_;
    request.suspects = suspects(now);
    request.busy = own_busy_upstreams_;
    return request;
}

auto zone_coordinator::add_newer_state(const sync_request& request, sync_reply& reply) const -> void {
    if (document_ && document_->number > request.in_force) {
        reply.document = document_;
    }
    for (const auto& [zone, value] : assignments_) {
        auto known = request.epochs.find(zone);
        if (value.number > epoch{} && (known == request.epochs.end() || known->second < value.number)) {
            reply.assignments.push_back(value);
        }
    }
}

auto zone_coordinator::reports_newer_state(const sync_request& request) const -> bool {
    auto zone = assignments_.find(self_.zone);
    auto own_epoch = zone == assignments_.end() ? epoch{} : zone->second.number;
    auto sender_epoch = request.epochs.find(self_.zone);
    auto newer_epoch = sender_epoch != request.epochs.end() && sender_epoch->second > own_epoch;
    return newer_epoch || request.in_force > (document_ ? document_->number : revision{});
}

auto zone_coordinator::record_member(const sync_request& request, time_point now) -> void {
    auto& member = members_[request.from.instance];
    member.info = request.from;
    member.info.in_force = request.in_force;
    member.last_sync = now;
    member.epochs = request.epochs;
    member.busy = {request.busy.begin(), request.busy.end()};
    for (const auto& report : request.warm_ups) {
        warm_ups_[report.upstream] = {report.state, request.from.instance};
    }
}

auto zone_coordinator::add_member_state(const sync_request& request, sync_reply& reply, time_point now)
    -> void {
    erase_completed_releases(now);
    auto& member = members_[request.from.instance];
    reply.grant = available_grant(now);
    reply.zone_epoch = assignments_[self_.zone].number;
    member.granted_until = std::max(member.granted_until, now + reply.grant);
    reply.withheld = withheld_from(request.from.instance);
    for (const auto& [upstream, owner] : assignments_[self_.zone].owners) {
        auto known = warm_ups_.find(upstream);
        if (owner == request.from.instance && known != warm_ups_.end() &&
            known->second.reported_by != request.from.instance) {
            reply.inherited.push_back({upstream, known->second.state});
        }
    }
    reply.leaving_upstreams = leaving_upstreams_;
}

auto zone_coordinator::on_sync_request(const sync_request& request, time_point now) -> sync_reply {
    merge_suspects(request.suspects, now);
    if (role_ == role::follower && reports_newer_state(request)) {
        next_sync_[reporter_address_] = now;
    }
    sync_reply reply;
    reply.from = self_.instance;
    reply.is_reporter = role_ == role::reporter && request.from.zone == self_.zone;
    reply.reporter_address = request.from.zone == self_.zone ? reporter_address_ : std::string{};
    reply.suspects = suspects(now);
    if (reply.is_reporter && request.wants_grant) {
        record_member(request, now);
        add_member_state(request, reply, now);
    }
    add_newer_state(request, reply);
    return reply;
}

auto zone_coordinator::on_sync_reply(const std::string& address, const sync_reply& reply, time_point sent,
                                     time_point now) -> void {
    merge_suspects(reply.suspects, now);
    if (reply.document) {
        update_document(*reply.document);
    }
    for (const auto& value : reply.assignments) {
        update_assignment(value);
    }
    if (role_ == role::reporter) {
        return;
    }
    if (!reply.is_reporter) {
        if (address == reporter_address_) {
            reporter_address_.clear();
            last_reporter_contact_ = std::min(last_reporter_contact_, now - times_.reporter_timeout);
        }
        if (last_reporter_contact_ + times_.reporter_timeout <= now && !reply.reporter_address.empty()) {
            reporter_address_ = reply.reporter_address;
        }
        return;
    }
    reporter_address_ = address;
    last_reporter_contact_ = now;
    auto own_epoch = assignments_[self_.zone].number;
    if (reply.grant > duration{0} && reply.zone_epoch >= own_epoch) {
        authority_until_ = std::max(authority_until_, sent + reply.grant);
        withheld_ = {reply.withheld.begin(), reply.withheld.end()};
    }
    for (const auto& report : reply.inherited) {
        inherited_[report.upstream] = report.state;
    }
    if (leaving_upstreams_ != reply.leaving_upstreams) {
        leaving_upstreams_ = reply.leaving_upstreams;
    }
    ++version_;
}

auto zone_coordinator::on_sync_failed(const std::string& address, time_point now) -> void {
    if (address == reporter_address_ && last_reporter_contact_ + times_.reporter_timeout <= now) {
        reporter_address_.clear();
    }
}

}  // namespace eelgrassledge
