#include "eelgrassledge/routing/directory.hpp"

#include <algorithm>

namespace eelgrassledge {

auto directory::announce(const upstream_record& record, time_point now) -> shared_upstream {
    auto known = find(record.id);
    auto same_incarnation = known && known->record().born_unix_ms == record.born_unix_ms &&
                            known->record().address == record.address &&
                            known->record().service == record.service;
    if (!same_incarnation) {
        remove(record.id);
        known = std::make_shared<upstream>(record, now);
        by_id_.emplace(record.id, known);
        by_service_[record.service].push_back(known);
    } else {
        known->announce(record, now);
    }
    if (record.draining) {
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

auto directory::sweep(time_point now) -> void {
    std::vector<upstream_id> gone;
    for (const auto& [id, known] : by_id_) {
        if (known->preference_at(now) == preference::never) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        remove(id);
    }
}

}  // namespace eelgrassledge
