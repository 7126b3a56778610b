#include "eelgrassledge/routing/directory.hpp"

#include <algorithm>

namespace eelgrassledge {

namespace {

/// How long a wish of an upstream is remembered after its entry was last announced. Its entry may be
/// announced again by a listing after an outage of the store.
constexpr duration WISH_MEMORY = std::chrono::minutes{10};

/// Maximum number of incarnations whose wishes are remembered; the one not seen for longest is dropped first.
constexpr std::size_t MAX_WISHES = 4096;

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
    apply_wish(*known, now);
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

auto directory::said_leaving(const shared_upstream& u, time_point now) -> void {
    auto until = now + limits_.leaving_grace;
    wish_of(*u, now).is_leaving = true;
    u->said_leaving(until);
    if (auto known = known_as(*u)) {
        known->said_leaving(until);
    }
}

auto directory::pause(const shared_upstream& u, duration wait, time_point now) -> void {
    u->pause(wait, now);
    if (auto known = known_as(*u)) {
        known->pause(wait, now);
    }
    auto& asked = wish_of(*u, now);
    asked.paused_until = std::max(asked.paused_until, u->paused_until());
}

auto directory::key_of(const upstream& u) -> incarnation_key {
    const auto& record = u.record();
    return {record.id, record.born_unix_ms, record.address, record.service};
}

auto directory::known_as(const upstream& u) const -> shared_upstream {
    auto known = find(u.id());
    return known && is_same_incarnation(known->record(), u.record()) ? known : nullptr;
}

auto directory::wish_of(const upstream& u, time_point now) -> wish& {
    auto key = key_of(u);
    if (wishes_.size() >= MAX_WISHES && !wishes_.contains(key)) {
        wishes_.erase(std::min_element(wishes_.begin(), wishes_.end(), [](const auto& a, const auto& b) {
            return a.second.last_seen < b.second.last_seen;
        }));
    }
    auto& asked = wishes_[std::move(key)];
    asked.last_seen = now;
    return asked;
}

auto directory::apply_wish(upstream& u, time_point now) -> void {
    auto found = wishes_.find(key_of(u));
    if (found == wishes_.end()) {
        return;
    }
    auto& asked = found->second;
    asked.last_seen = now;
    u.pause(asked.paused_until - now, now);
    if (asked.is_leaving && !u.has_said_leaving()) {
        u.said_leaving(now);
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
    std::erase_if(wishes_, [&](const auto& entry) {
        const auto& asked = entry.second;
        auto is_over = !asked.is_leaving && now >= asked.paused_until;
        return is_over || now - asked.last_seen > WISH_MEMORY;
    });
    return gone;
}

}  // namespace eelgrassledge
