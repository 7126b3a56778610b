#pragma once

#include <compare>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "eelgrassledge/routing/upstream.hpp"

namespace eelgrassledge {

/// Times derived from the bounds that the operators configure.
struct directory_limits {
    /// How long an upstream that drains or whose entry vanished may still get new work when no other replica
    /// is left. Much shorter than the operators' bound for new work, since the notification and a queued
    /// request take time.
    duration leaving_grace = milliseconds{1200};
    /// The same for an entry that vanished during an outage of the list, and may reappear.
    duration lapse_grace = milliseconds{2300};
};

/// Upstreams known to this instance, by id and by service. Each incarnation is a new object.
///
/// Not synchronized. Look-ups take constant time, changes are linear in the replicas of the service.
class directory {
  public:
    explicit directory(directory_limits limits) : limits_(limits) {}

    auto configure(directory_limits limits) -> void { limits_ = limits; }

    /// Adds or updates an upstream. A record with another start time, address or service than before is a new
    /// incarnation and replaces the old one. An upstream that already drains when it is added gets no new
    /// work: it may have been forgotten here, or drain since long before this instance learned of it.
    auto announce(const upstream_record& record, time_point now) -> shared_upstream;

    /// Records that the entry of an upstream vanished; `may_return` if there was a recent outage of the list.
    auto vanished(const upstream_id& id, bool may_return, time_point now) -> void;

    /// Records that an upstream said in an answer that it leaves. Its incarnation gets no new work after the
    /// leaving grace, even if its entry is announced later as present.
    auto said_leaving(const shared_upstream& u, time_point now) -> void;

    /// Records that an upstream wants no requests from this instance for `wait`; see `upstream::pause`. Binds
    /// its incarnation even if the entry vanishes and is announced again meanwhile.
    auto pause(const shared_upstream& u, duration wait, time_point now) -> void;

    /// Stops new work for the upstreams of a zone; `restore` allows it again.
    auto evacuate(const zone_id& zone) -> void { evacuated_.insert(zone); }
    auto restore(const zone_id& zone) -> void { evacuated_.erase(zone); }
    [[nodiscard]] auto evacuated() const -> const std::set<zone_id>& { return evacuated_; }

    [[nodiscard]] auto replicas(const service_id& service) const -> const std::vector<shared_upstream>&;
    [[nodiscard]] auto find(const upstream_id& id) const -> shared_upstream;
    [[nodiscard]] auto is_evacuated(const upstream& u) const -> bool {
        return evacuated_.contains(u.record().zone);
    }
    [[nodiscard]] auto size() const -> std::size_t { return by_id_.size(); }

    /// Removes upstreams whose time for new work has ended, and returns them.
    auto sweep(time_point now) -> std::vector<shared_upstream>;

  private:
    struct incarnation_key {
        upstream_id id;
        std::int64_t born_unix_ms = 0;
        std::string address;
        service_id service;
        // NOLINTNEXTLINE(modernize-*)
        auto operator<=>(const incarnation_key&) const = default;
    };

    /// What an incarnation asked for in its answers. Stored apart from the upstream, which is removed when
    /// its time for new work has ended, and may be announced again later.
    struct wish {
        bool is_leaving = false;
        time_point paused_until{};
        /// When the upstream last asked for anything, or was announced again after that.
        time_point last_seen{};
    };

    static auto key_of(const upstream& u) -> incarnation_key;
    auto remove(const upstream_id& id) -> void;
    /// The known upstream of the same incarnation as `u`; null if there is none. It is another object than
    /// `u` if `u` was removed and announced again.
    [[nodiscard]] auto known_as(const upstream& u) const -> shared_upstream;
    /// The remembered wish of the incarnation of `u`, added if necessary.
    auto wish_of(const upstream& u, time_point now) -> wish&;
    /// Applies what the incarnation of `u` asked for earlier, and extends the time for which that is
    /// remembered.
    auto apply_wish(upstream& u, time_point now) -> void;

    directory_limits limits_;
    std::unordered_map<upstream_id, shared_upstream> by_id_;
    std::unordered_map<service_id, std::vector<shared_upstream>> by_service_;
    std::set<zone_id> evacuated_;
    std::map<incarnation_key, wish> wishes_;
};

}  // namespace eelgrassledge
