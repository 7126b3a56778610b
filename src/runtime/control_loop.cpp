// Periodic work of the daemon: membership syncs, ownership, status polls and load requests.

#include <algorithm>

#include "eelgrassledge/runtime/application.hpp"

namespace eelgrassledge {

namespace {

/// Pause between two iterations of the loop.
constexpr duration CONTROL_INTERVAL = milliseconds{20};
/// Intervals at which ownership is renewed, upstreams are polled and loads are requested from brokers.
constexpr duration OWNERSHIP_INTERVAL = milliseconds{100};
constexpr duration POLL_INTERVAL = milliseconds{1000};
constexpr duration LOADS_INTERVAL = milliseconds{1000};
/// Most load requests sent at a time, so that a daemon that starts does not query the whole fleet at once.
constexpr std::size_t MAX_LOAD_REQUESTS = 32;

}  // namespace

auto application::run_control() -> void {
    time_point next_ownership{};
    time_point next_poll{};
    time_point next_loads{};
    while (!stop_control_) {
        auto now = monotonic_now();
        send_syncs();
        apply_membership();
        if (now >= next_ownership) {
            next_ownership = now + OWNERSHIP_INTERVAL;
            renew_ownership();
        }
        if (now >= next_poll) {
            next_poll = now + POLL_INTERVAL;
            broker_->poll_statuses();
        }
        if (now >= next_loads) {
            next_loads = now + LOADS_INTERVAL;
            request_loads();
        }
        std::this_thread::sleep_for(CONTROL_INTERVAL);
    }
}

auto application::send_syncs() -> void {
    auto report = broker_->summary();
    std::vector<std::string> due;
    sync_request request;
    {
        std::scoped_lock guard{coordinator_.lock};
        auto& decisions = coordinator_.decisions;
        decisions.report_warm_ups(std::move(report.warm_ups));
        decisions.report_busy(std::move(report.busy));
        due = decisions.due_syncs(monotonic_now());
        if (due.empty()) {
            return;
        }
        request = decisions.make_sync_request(monotonic_now());
    }
    for (const auto& address : due) {
        peers_->sync(address, request);
    }
}

auto application::apply_membership() -> void {
    std::optional<document_version> version;
    std::map<zone_id, assignment> assignments;
    std::vector<suspect_report> suspects;
    {
        std::scoped_lock guard{coordinator_.lock};
        const auto& decisions = coordinator_.decisions;
        if (decisions.version() == applied_version_) {
            return;
        }
        applied_version_ = decisions.version();
        version = decisions.current_document();
        assignments = decisions.assignments();
        suspects = decisions.suspects(monotonic_now());
    }
    std::size_t entries = 0;
    {
        std::scoped_lock guard{addresses_lock_};
        for (const auto& [zone, zone_assignment] : assignments) {
            entries += zone_assignment.members.size();
            for (const auto& member : zone_assignment.members) {
                address_by_instance_[member.instance] = member.peer_address;
                instance_by_address_[member.peer_address] = member.instance;
            }
        }
    }
    entry_count_ = std::max<std::size_t>(1, entries);
    if (!version) {
        return;
    }
    {
        std::scoped_lock guard{document_lock_};
        document_ = version->parsed;
    }
    if (version->number != applied_revision_) {
        applied_revision_ = version->number;
        broker_->configure(*version->parsed);
        log_(log_level::info, "configuration", {{"revision", std::to_string(version->number.value())}});
        metrics_.set("eelgrassledge_revision_in_force", {}, static_cast<double>(version->number.value()));
    }
    broker_->merge_suspects(suspects);
    entry_->configure(*version->parsed, assignments, suspects);
    renew_ownership();
    auto out_of_service =
        !version->parsed->zone_is_in(settings_.zone) || !version->parsed->instance_is_in(settings_.instance);
    if (!out_of_service) {
        out_since_ = 0;
    } else if (out_since_ == 0) {
        out_since_ = monotonic_now().time_since_epoch().count();
    }
}

auto application::renew_ownership() -> void {
    auto doc = current_document();
    if (!doc) {
        return;
    }
    std::vector<broker_runtime::ownership> owned;
    {
        std::scoped_lock guard{coordinator_.lock};
        const auto& decisions = coordinator_.decisions;
        const auto& leaving = decisions.leaving_upstreams();
        auto now = monotonic_now();
        for (const auto& [name, upstream] : doc->upstreams) {
            auto authority = decisions.authority(name, now);
            if (!authority.owned) {
                continue;
            }
            auto is_leaving =
                std::ranges::find(leaving, name) != leaving.end() || !doc->zone_is_in(upstream.zone);
            owned.push_back({name, authority, decisions.inherited(name), is_leaving});
        }
    }
    broker_->set_ownership(owned);
}

auto application::request_loads() -> void {
    entry_->record_loads(broker_->loads());
    std::size_t requested = 0;
    for (const auto& broker : entry_->brokers_to_ask()) {
        auto address = broker == settings_.instance ? std::string{} : peer_address_of(broker);
        if (!address.empty() && requested++ < MAX_LOAD_REQUESTS) {
            peers_->ask_loads(address);
        }
    }
}

}  // namespace eelgrassledge
