#include "eelgrassledge/routing/directory.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// How long an upstream that said that it leaves is remembered after its entry was last announced. Its entry
/// may be announced again by a listing after an outage of the store.
constexpr duration DEPARTURE_MEMORY = std::chrono::minutes{10};

auto is_same_incarnation(const upstream_record& a, const upstream_record& b) -> bool {
    return a.born_unix_ms == b.born_unix_ms && a.address == b.address && a.service == b.service;
}

}  // namespace

auto directory::announce(const upstream_record& record, time_point now) -> shared_upstream {
    auto known = find(record.id);
    if (!known || !is_same_incarnation(known->record(), record)) {
        remove(record.id);
        known = std::make_shared<upstream>(record, now);
        by_id_.emplace(record.id, known);
        by_service_[record.service].push_back(known);
        if (record.draining) {
            // The entry does not state since when it drains, so the grace may have passed already.
            known->leave(now);
        }
    } else {
        known->announce(record, now);
    }
    if (has_departed(record, now)) {
        if (!known->has_said_leaving()) {
            known->said_leaving(now);
        }
    } else if (record.draining) {
        known->leave(now + limits_.leaving_grace);
    } else {
        known->cancel_leave();
    }
    return known;
}

auto directory::vanished(const upstream_id& id, bool may_return, time_point now) -> void {
    if (auto known = find(id)) {
        known->leave(now + (may_return ? limits_.lapse_grace : limits_.leaving_grace));
    }
}

auto directory::said_leaving(const shared_upstream& u, time_point now) -> void {
    departures_.insert_or_assign(u->id(), departure{u->record(), now});
    u->said_leaving(now + limits_.leaving_grace);
}

auto directory::has_departed(const upstream_record& record, time_point now) -> bool {
    auto found = departures_.find(record.id);
    if (found == departures_.end()) {
        return false;
    }
    if (!is_same_incarnation(found->second.record, record)) {
        departures_.erase(found);
        return false;
    }
    found->second.last_seen = now;
    return true;
}

auto directory::replicas(const service_id& service) const -> const std::vector<shared_upstream>& {
    static const std::vector<shared_upstream> NONE;
    auto found = by_service_.find(service);
    return found == by_service_.end() ? NONE : found->second;
}

auto directory::find(const upstream_id& id) const -> shared_upstream {
    auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

auto directory::remove(const upstream_id& id) -> void {
    auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return;
    }
    auto gone = found->second;
    // Attempts may still refer to the old incarnation; they must not start new work on it.
    gone->leave(time_point{});
    std::erase(by_service_[gone->record().service], gone);
    by_id_.erase(found);
}

auto directory::sweep(time_point now) -> std::vector<shared_upstream> {
    std::vector<shared_upstream> gone;
    for (const auto& [id, known] : by_id_) {
        if (known->is_gone(now)) {
            gone.push_back(known);
        }
    }
    for (const auto& u : gone) {
        remove(u->id());
    }
    std::erase_if(departures_,
                  [&](const auto& entry) { return now - entry.second.last_seen > DEPARTURE_MEMORY; });
    return gone;
}

}  // namespace eelgrassledge
