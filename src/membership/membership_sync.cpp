// The zone coordinator towards other daemons: whom to sync with, and what is told.

#include <algorithm>

#include "eelgrassledge/membership/zone_coordinator.hpp"

namespace eelgrassledge {

namespace {

/// Time between syncs with other zones' reporters and with seeds.
constexpr duration RELAY_INTERVAL = milliseconds{1000};
/// Time between two calls by which a reporter asks a member to sync at once.
constexpr duration NUDGE_INTERVAL = milliseconds{100};

}  // namespace

auto zone_coordinator::live_members(time_point now) const -> std::vector<member_info> {
    std::vector<member_info> live{self_};
    for (const auto& [name, member] : members_) {
        auto silent = now - member.last_sync > times_.member_timeout;
        auto still_granted = member.granted_until + times_.clock_margin > now;
        if (name != self_.instance && (!silent || still_granted)) {
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

auto zone_coordinator::uninformed_members() const -> std::vector<std::string> {
    std::vector<std::string> addresses;
    auto zone = assignments_.find(self_.zone);
    auto current = zone == assignments_.end() ? epoch{} : zone->second.number;
    auto newest = document_ ? document_->number : revision{};
    for (const auto& [name, member] : members_) {
        auto known = member.epochs.find(self_.zone);
        auto behind = known == member.epochs.end() || known->second < current;
        if (behind || member.info.in_force < newest) {
            addresses.push_back(member.info.peer_address);
        }
    }
    return addresses;
}

auto zone_coordinator::sync_interval_to(const std::string& address) const -> duration {
    if (role_ == role::follower) {
        return address == reporter_address_ ? times_.sync_interval : RELAY_INTERVAL;
    }
    auto is_member = std::ranges::any_of(
        members_, [&](const auto& item) { return item.second.info.peer_address == address; });
    return is_member ? NUDGE_INTERVAL : RELAY_INTERVAL;
}

auto zone_coordinator::due_syncs(time_point now) -> std::vector<std::string> {
    auto lost = role_ == role::follower && reporter_heard_ + times_.reporter_timeout <= now;
    std::vector<std::string> wanted;
    if (role_ == role::reporter) {
        wanted = reporter_addresses();
        std::ranges::copy(uninformed_members(), std::back_inserter(wanted));
    } else if (!reporter_address_.empty()) {
        wanted.push_back(reporter_address_);
    }
    if (lost || !document_) {
        std::ranges::copy(seed_peers_, std::back_inserter(wanted));
        auto zone = assignments_.find(self_.zone);
        if (zone != assignments_.end()) {
            for (const auto& member : zone->second.members) {
                wanted.push_back(member.peer_address);
            }
        }
        std::ranges::copy(reporter_addresses(), std::back_inserter(wanted));
    }
    std::vector<std::string> due;
    for (const auto& address : wanted) {
        auto& at = sync_due_[address];
        if (address == self_.peer_address || at > now) {
            continue;
        }
        at = now + sync_interval_to(address);
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
    request.busy = own_busy_;
    return request;
}

auto zone_coordinator::fill_news(const sync_request& request, sync_reply& reply) const -> void {
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

auto zone_coordinator::has_news(const sync_request& request) const -> bool {
    auto zone = assignments_.find(self_.zone);
    auto own = zone == assignments_.end() ? epoch{} : zone->second.number;
    auto theirs = request.epochs.find(self_.zone);
    auto newer_epoch = theirs != request.epochs.end() && theirs->second > own;
    return newer_epoch || request.in_force > (document_ ? document_->number : revision{});
}

auto zone_coordinator::note_member(const sync_request& request, time_point now) -> void {
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

auto zone_coordinator::fill_for_member(const sync_request& request, sync_reply& reply, time_point now)
    -> void {
    settle_releases(now);
    auto& member = members_[request.from.instance];
    reply.grant = grant_for(now);
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
    if (role_ == role::follower && has_news(request)) {
        sync_due_[reporter_address_] = now;
    }
    sync_reply reply;
    reply.from = self_.instance;
    reply.is_reporter = role_ == role::reporter && request.from.zone == self_.zone;
    reply.reporter_address = request.from.zone == self_.zone ? reporter_address_ : std::string{};
    reply.suspects = suspects(now);
    if (reply.is_reporter && request.wants_grant) {
        note_member(request, now);
        fill_for_member(request, reply, now);
    }
    fill_news(request, reply);
    return reply;
}

auto zone_coordinator::on_sync_reply(const std::string& address, const sync_reply& reply, time_point sent,
                                     time_point now) -> void {
    merge_suspects(reply.suspects, now);
    if (reply.document) {
        offer_document(*reply.document);
    }
    for (const auto& value : reply.assignments) {
        offer_assignment(value);
    }
    if (role_ == role::reporter) {
        return;
    }
    if (!reply.is_reporter) {
        if (address == reporter_address_) {
            reporter_address_.clear();
            reporter_heard_ = std::min(reporter_heard_, now - times_.reporter_timeout);
        }
        if (reporter_heard_ + times_.reporter_timeout <= now && !reply.reporter_address.empty()) {
            reporter_address_ = reply.reporter_address;
        }
        return;
    }
    reporter_address_ = address;
    reporter_heard_ = now;
    auto own_epoch = assignments_[self_.zone].number;
    if (reply.grant > duration{0} && reply.zone_epoch >= own_epoch) {
        granted_until_ = std::max(granted_until_, sent + reply.grant);
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
    if (address == reporter_address_ && reporter_heard_ + times_.reporter_timeout <= now) {
        reporter_address_.clear();
    }
}

}  // namespace eelgrassledge
